// Package enginelist keeps a short list of engines in the store, for the many processes that only send requests to engines.
//
// An engine's own record is long, since it tells of each model, and changes with each load of weights. If every process read all of them,
// the store would give processes times engines times their size at each start. Only processes that act on the models of engines read them:
// those that own partitions, whose number does not grow with the fleet. These see to it that the list holds what they read, and all others
// read just the list, and of that the pools that requests are sent to.
//
// Nobody owns the list. Each entry tells the offset of the engine's own record that it was made of, so that a reader drops what is older
// than it has, and whoever reads the engines' own records finds what is missing, out of date or too much, and mends it. One process, the
// owner of the partition in a group, does so at once; the others after a random time, unless somebody has by then.
package enginelist

import (
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// keyComplete is the key of the record which says that the list of a partition was written whole. It sorts before the keys of engines.
const keyComplete = "!complete"

// List is the list as the store has it, beside what this process reads of engines' own records. It is safe for concurrent use.
type List struct {
	directory  *fleet.Directory
	partitions int

	mutex sync.Mutex
	// listed holds the entries of the store by engine, or some of them. known holds the partitions of which enough was read to send requests,
	// whole those of which all was.
	listed map[string]listed
	known  map[int]bool
	whole  map[int]bool
	// followers bring the partitions that are being read, readTo is up to where each was read.
	followers map[int]follow.Reader
	readTo    map[int]int64
	// complete holds the partitions that were written whole, completeTo the offset below which this process wrote that last.
	complete   map[int]bool
	completeTo map[int]int64
	// pools are those that requests are sent to, nil while that is not known.
	pools map[string]bool
	// own holds the engines by their own records, below ownEnd. They count while reading is set; what is listed beside them is too much once
	// settled is set too, lapsedFor after since.
	own     map[string]sighting
	ownEnd  int64
	reading bool
	settled bool
	since   time.Time
	// gone holds the engines whose own records were seen to be dropped.
	gone map[string]bool
	// differences holds the engines whose entry may not be as it should.
	differences map[string]*difference
}

// listed is an entry of the store.
type listed struct {
	sighting
	// newest is the highest offset that was seen in an entry of the engine: a late writer may have put an older one after it.
	newest int64
}

// NewList returns an empty list that tells a directory which engines there are.
func NewList(directory *fleet.Directory, partitions int) *List {
	directory.SetPartial(true)
	return &List{
		directory: directory, partitions: partitions, listed: make(map[string]listed), known: make(map[int]bool),
		whole: make(map[int]bool), complete: make(map[int]bool), completeTo: make(map[int]int64), followers: make(map[int]follow.Reader), readTo: make(map[int]int64),
		own: make(map[string]sighting), gone: make(map[string]bool), differences: make(map[string]*difference),
	}
}

// SetPools says which pools requests are sent to.
func (l *List) SetPools(pools map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pools = pools
	l.compareAll()
	l.tellKnown()
}

// Own takes an engine's own record.
func (l *List) Own(engine fleet.Engine, offset int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	engine.Versions = nil
	l.own[engine.ID] = sighting{engine, offset}
	delete(l.gone, engine.ID)
	l.compare(engine.ID)
}

// OwnGone takes that an engine's own record was dropped.
func (l *List) OwnGone(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.own, id)
	l.gone[id] = true
	l.compare(id)
}

// OwnRead takes that the engines' own records were read up to an offset. From the first time on they count, and not the list.
func (l *List) OwnRead(end int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ownEnd = end
	if l.reading {
		return
	}
	l.reading, l.settled, l.since = true, false, time.Now()
	l.directory.SetPartial(false)
	l.compareAll()
}

// OwnUnread takes that the engines' own records are not read any more. From here on the list counts.
func (l *List) OwnUnread() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.reading {
		return
	}
	l.reading = false
	l.directory.SetPartial(true)
	for id := range l.own {
		if _, exists := l.listed[id]; !exists {
			l.directory.Remove(id)
		}
	}
	for _, found := range l.listed {
		l.directory.Upsert(found.engine)
	}
	clear(l.own)
	clear(l.gone)
	clear(l.differences)
}

// apply takes a record of a partition of the list.
func (l *List) apply(partition int, record keyedlog.Record) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id := idOf(record.Key)
	switch {
	case record.Key == keyComplete:
		l.complete[partition] = record.Value != nil
		l.known[partition] = true
		l.tellKnown()
		return nil
	case record.Value == nil:
		l.drop(id)
		return nil
	}
	found, err := decode(id, record.Value)
	if err != nil {
		return err
	}
	l.put(found)
	return nil
}

// caughtUp takes that the newest entries of a partition were read, all of them if whole is set. What is listed beside them is not in the
// store any more, or was left out.
func (l *List) caughtUp(partition int, seen map[string]bool, end int64, whole bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, found := range l.listed {
		if !seen[id] && PartitionOf(found.engine.Pool, l.partitions).Number == partition {
			l.drop(id)
		}
	}
	// Of a partition without any record nobody has written what there is.
	l.known[partition] = l.known[partition] || end > 0
	l.whole[partition] = whole
	l.tellKnown()
}

// read takes what brings a partition, from now on.
func (l *List) read(partition int, follower follow.Reader) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.followers[partition] = follower
}

// follower returns what brings a partition, nil if it is not read.
func (l *List) follower(partition int) follow.Reader {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.followers[partition]
}

// advanced takes that all entries of a partition below an offset were read.
func (l *List) advanced(partition int, end int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.readTo[partition] = end
}

// unread takes that a partition is not read any more.
func (l *List) unread(partition int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.whole, partition)
	delete(l.followers, partition)
}

// put takes an entry. The mutex must be held.
func (l *List) put(found sighting) {
	id := found.engine.ID
	newest := max(found.offset, l.listed[id].newest)
	l.listed[id] = listed{found, newest}
	if l.counts(id) && found.offset == newest {
		l.directory.Upsert(found.engine)
	}
	l.compare(id)
}

// drop takes that an entry was dropped. The mutex must be held.
func (l *List) drop(id string) {
	delete(l.listed, id)
	if l.counts(id) {
		l.directory.Remove(id)
	}
	delete(l.gone, id)
	l.compare(id)
}

// counts tells whether this process goes by the list as to an engine: it does not read the engines' own records, or has just begun to and
// has not met the engine's. The mutex must be held.
func (l *List) counts(id string) bool {
	_, exists := l.own[id]
	return !l.reading || !l.settled && !exists && !l.gone[id]
}

// tellKnown tells the directory that all engines are known that requests are sent to, once they are. The mutex must be held.
func (l *List) tellKnown() {
	if l.pools == nil {
		return
	}
	for pool := range l.pools {
		if !l.known[PartitionOf(pool, l.partitions).Number] {
			return
		}
	}
	l.directory.SetSynced()
}
