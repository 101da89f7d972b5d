package membership

// broadcast is the queue of records to be spread. Each is sent a bounded number of times, the least sent first and among
// these the newest first, so that news overtakes what has been around.
type broadcast struct {
	items map[string]*broadcastItem
	// levels holds the keys by how often they were sent. An entry whose item has moved on is skipped when met.
	levels     [][]broadcastEntry
	generation uint64
}

type broadcastItem struct {
	// generation tells the valid entry of the item from those left behind.
	generation uint64
	// full asks for all of a member's fields.
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

// add queues key as never sent. full stays set while the key is queued.
func (b *broadcast) add(key string, full bool) {
	item := b.items[key]
	if item == nil {
		item = &broadcastItem{}
		b.items[key] = item
	}
	item.full = item.full || full
	b.place(key, item, 0)
}

// drop takes key out of the queue.
func (b *broadcast) drop(key string) { delete(b.items, key) }

func (b *broadcast) place(key string, item *broadcastItem, level int) {
	b.generation++
	item.generation = b.generation
	for len(b.levels) <= level {
		b.levels = append(b.levels, nil)
	}
	b.levels[level] = append(b.levels[level], broadcastEntry{key: key, generation: item.generation})
}

// fill offers the records to add in order until one does not fit. encode returns nil for a key that is no more. A record
// sent limit times leaves the queue.
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
		b.place(moved.key, item, moved.level+1)
	}
}

type sentItem struct {
	key   string
	level int
}

// fillLevel sends from the newest entry of a level down, and returns the entries that stay. Sent items are moved only
// afterwards, so that no datagram holds a record twice.
func (b *broadcast) fillLevel(
	level int,
	sent *[]sentItem,
	encode func(key string, full bool) []byte,
	add func(record []byte) bool,
) (kept []broadcastEntry, fits bool) {
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
