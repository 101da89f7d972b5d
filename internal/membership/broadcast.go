package membership

// broadcast is the queue of records to be gossiped. Each record is sent a limited number of times. Records that were
// sent the fewest times come first and among these the newest, so that new updates are sent before older ones.
type broadcast struct {
	items map[string]*broadcastItem
	// levels holds the queued keys, indexed by the number of times they were sent. An entry whose generation differs
	// from its item's is stale and is skipped.
	levels     [][]broadcastEntry
	generation uint64
}

type broadcastItem struct {
	// generation identifies the valid entry of the item; entries of other generations are stale.
	generation uint64
	// full reports whether to send the full record of a member rather than a stateRecord.
	full bool
}

type broadcastEntry struct {
	key        string
	generation uint64
}

func newBroadcast() *broadcast {
	return &broadcast{items: make(map[string]*broadcastItem)}
}

func (b *broadcast) empty() bool { return len(b.items) == 0 }

// add queues key with a send count of 0. full stays set while the key is queued.
func (b *broadcast) add(key string, full bool) {
	item := b.items[key]
	if item == nil {
		item = &broadcastItem{}
		b.items[key] = item
	}
	item.full = item.full || full
	b.enqueue(key, item, 0)
}

// remove deletes key from the queue.
func (b *broadcast) remove(key string) { delete(b.items, key) }

func (b *broadcast) enqueue(key string, item *broadcastItem, level int) {
	b.generation++
	item.generation = b.generation
	for len(b.levels) <= level {
		b.levels = append(b.levels, nil)
	}
	b.levels[level] = append(b.levels[level], broadcastEntry{key: key, generation: item.generation})
}

// fill passes the queued records to add, in order, until one does not fit. encode returns nil for a key that no
// longer exists. A record that was sent limit times is removed from the queue.
func (b *broadcast) fill(limit int, encode func(key string, full bool) []byte, add func(record []byte) bool) {
	var sent []sentItem
	for level := range b.levels {
		kept, fits := b.fillLevel(level, &sent, encode, add)
		b.levels[level] = kept
		if !fits {
			break
		}
	}
	for _, moved := range sent {
		item := b.items[moved.key]
		if moved.level+1 >= limit {
			delete(b.items, moved.key)
			continue
		}
		b.enqueue(moved.key, item, moved.level+1)
	}
}

type sentItem struct {
	key   string
	level int
}

// fillLevel sends the entries of a level from the newest to the oldest and returns those that remain. Sent items are
// moved to the next level only afterwards, so that no datagram contains a record twice.
func (b *broadcast) fillLevel(
	level int,
	sent *[]sentItem,
	encode func(key string, full bool) []byte,
	add func(record []byte) bool,
) (remaining []broadcastEntry, fits bool) {
	entries := b.levels[level]
	for position := len(entries) - 1; position >= 0; position-- {
		entry := entries[position]
		item := b.items[entry.key]
		if item == nil || item.generation != entry.generation {
			continue
		}
		record := encode(entry.key, item.full)
		if record == nil {
			delete(b.items, entry.key)
			continue
		}
		if !add(record) {
			return entries[:position+1], false
		}
		*sent = append(*sent, sentItem{key: entry.key, level: level})
	}
	return entries[:0], true
}
