package route

import "sync"

// ownerCache caches the owners that peers hinted, by key. It holds at most limit keys and evicts an arbitrary one for a new key.
type ownerCache struct {
	limit int

	mutex     sync.Mutex
	addresses map[string]string
}

func newOwnerCache(limit int) *ownerCache {
	return &ownerCache{limit: limit, addresses: make(map[string]string)}
}

func (c *ownerCache) get(key string) (string, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	address, known := c.addresses[key]
	return address, known
}

func (c *ownerCache) put(key, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.addresses[key]; !known && len(c.addresses) >= c.limit {
		for evicted := range c.addresses {
			delete(c.addresses, evicted)
			break
		}
	}
	c.addresses[key] = address
}

// remove removes the owner of key if it is address. An empty address removes any owner.
func (c *ownerCache) remove(key, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if address == "" || c.addresses[key] == address {
		delete(c.addresses, key)
	}
}
