package route

import "sync"

// ownerCache remembers the owners that peers hinted, by key. It holds at most limit keys and drops any one for a new one.
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
		for victim := range c.addresses {
			delete(c.addresses, victim)
			break
		}
	}
	c.addresses[key] = address
}

// remove drops the owner of key if it is address; an empty address drops any.
func (c *ownerCache) remove(key, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if address == "" || c.addresses[key] == address {
		delete(c.addresses, key)
	}
}
