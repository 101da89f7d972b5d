package follow

import "github.com/hillfork/hillfork/internal/keyedlog"

// pageOverhead is the ratio of the bytes of a page of newest records to the bytes of the records themselves: a page
// encodes them as text.
const pageOverhead = 4.0 / 3

// backlog limits what a process reads of the records that it missed while it was disconnected from the store, where
// only the newest record of each key matters: at most as many bytes as the newest records take; after that the follower
// reads the newest records instead. A process therefore never reads more than twice what it needs, without knowing what
// it has missed. Without the limit, where a large record is rewritten often, hundreds of processes that reconnect at
// the same time would each read all its versions. The zero value is the state of a process that has read nothing.
type backlog struct {
	// sizes holds the size in bytes of each key's newest record; newestBytes is their sum.
	sizes       map[string]int
	newestBytes int
	// behind is set from a disconnection until the process has caught up; readBytes counts the bytes read since the
	// disconnection.
	behind    bool
	readBytes int
}

// add accounts for a record that was read.
func (b *backlog) add(record keyedlog.Record) {
	if b.sizes == nil {
		b.sizes = make(map[string]int)
	}
	size := len(record.Key) + len(record.Value)
	b.newestBytes += size - b.sizes[record.Key]
	b.sizes[record.Key] = size
	b.readBytes += size
}

// start records that the process was disconnected; stop records that it has caught up.
func (b *backlog) start() { b.behind, b.readBytes = true, 0 }
func (b *backlog) stop()  { b.behind = false }

// remaining returns how many bytes the next read may return, 0 for no limit.
func (b *backlog) remaining() int {
	if !b.behind {
		return 0
	}
	return max(1, int(pageOverhead*float64(b.newestBytes))-b.readBytes)
}

// exhausted reports whether at least as many bytes were read since the disconnection as reading the newest records
// takes.
func (b *backlog) exhausted() bool {
	return b.behind && float64(b.readBytes) >= pageOverhead*float64(b.newestBytes)
}
