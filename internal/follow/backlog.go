package follow

import "github.com/hillfork/hillfork/internal/keyedlog"

// pageShare is how many bytes a page of newest records takes for each byte of them: it holds them as text.
const pageShare = 4.0 / 3

// backlog bounds what a process reads of the records that it has missed while it was cut off, where only the newest of each key matters: as
// many bytes as the newest records take, then these. So it never reads more than twice what it needs, without knowing what it has missed. Where
// a large record is written again and again, hundreds of processes that come back together would each read all its versions. The zero value
// is that of a process that has read nothing.
type backlog struct {
	// sizes holds the bytes of each key's newest record, newest is their sum.
	sizes  map[string]int
	newest int
	// open says that the process is behind since it was cut off, and has read so many bytes since.
	open bool
	read int
}

// note takes a record that was read.
func (b *backlog) note(record keyedlog.Record) {
	if b.sizes == nil {
		b.sizes = make(map[string]int)
	}
	size := len(record.Key) + len(record.Value)
	b.newest += size - b.sizes[record.Key]
	b.sizes[record.Key] = size
	b.read += size
}

// begin takes that the process was cut off, end that it has missed nothing any more.
func (b *backlog) begin() { b.open, b.read = true, 0 }
func (b *backlog) end()   { b.open = false }

// left is how many bytes the next read may bring, 0 for no bound.
func (b *backlog) left() int {
	if !b.open {
		return 0
	}
	return max(1, int(pageShare*float64(b.newest))-b.read)
}

// spent tells whether the newest records take no more than what has been read since the process was cut off.
func (b *backlog) spent() bool {
	return b.open && float64(b.read) >= pageShare*float64(b.newest)
}
