// Package enginelist keeps a short list of engines in the store, for the many processes that only send requests to
// engines.
//
// An engine's own record is long, because it describes each model, and changes with each load of weights. If every
// process read all own records, the store would deliver processes times engines times the record size at each start.
// Only processes that act on the models of engines read them: those that own partitions, whose number does not grow
// with the fleet. These processes keep the list consistent with the own records. All others read only the list, and of
// that only the pools that requests are sent to.
//
// No process owns the list. Each entry contains the offset of the engine's own record that it was made from, so that a
// reader drops entries that are older than what it has. Every process that reads the engines' own records detects
// entries that are missing, out of date or stale, and repairs them: the owner of the partition in a group, called its
// primary, at once, the others after a random time if the difference still exists then.
package enginelist

import (
	"maps"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// keyComplete is the key of the record that says that the list of a partition was written completely. It sorts before
// the keys of engines.
const keyComplete = "!complete"

// List holds the list as read from the store, and the engines' own records that this process reads. It is safe for
// concurrent use.
type List struct {
	directory  *fleet.Directory
	partitions int

	mutex sync.Mutex
	// listed holds entries of the store by engine, not necessarily all. known holds the partitions of which enough was
	// read to send requests, whole those that were read completely.
	listed map[string]listedEntry
	known  map[int]bool
	whole  map[int]bool
	// followers holds the readers of the partitions that are being read, readTo the offset up to which each was read.
	followers map[int]follow.Reader
	readTo    map[int]int64
	// complete holds the partitions that were written completely, completeTo the offset below which this process last
	// wrote the record that says so.
	complete   map[int]bool
	completeTo map[int]int64
	// pools holds the pools whose engines are listed, nil while they are not known; required holds those of them whose
	// engines have to be known before requests are served.
	pools    map[string]bool
	required map[string]bool
	// ownRecords holds the engines by their own records, read up to ownRecordsEnd. They are used while readsOwnRecords
	// is set. Entries without an own record are stale once settled is set too, lapsedGrace after readingSince.
	ownRecords      map[string]engineState
	ownRecordsEnd   int64
	readsOwnRecords bool
	settled         bool
	readingSince    time.Time
	// gone holds the engines whose own records were dropped while they were read, with the offset of the last one: entries made from it
	// or earlier ones are out of date. lapsed holds those whose own records were dropped just after an outage of the store and may be
	// written again.
	gone   map[string]int64
	lapsed map[string]bool
	// differences holds the engines whose entries may not match their own records.
	differences map[string]*difference
}

// listedEntry is an entry of the store.
type listedEntry struct {
	engineState
	// newest is the highest offset that was seen in an entry of the engine: a delayed writer may have written an older
	// entry after it.
	newest int64
}

// NewList returns an empty list that keeps the engines of a directory up to date.
func NewList(directory *fleet.Directory, partitions int) *List {
	directory.SetPartial(true)
	return &List{
		directory: directory, partitions: partitions, listed: make(map[string]listedEntry), known: make(map[int]bool),
		whole: make(map[int]bool), complete: make(map[int]bool), completeTo: make(map[int]int64), followers: make(map[int]follow.Reader), readTo: make(map[int]int64),
		ownRecords: make(map[string]engineState), gone: make(map[string]int64), lapsed: make(map[string]bool), differences: make(map[string]*difference),
	}
}

// SetPools sets the pools whose engines are listed, and those of them whose engines have to be known before requests are
// served. An earlier version may not list the other pools.
func (l *List) SetPools(pools, required map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pools, l.required = pools, required
	l.compareAll()
	l.publishKnown()
}

// PutOwnRecord adds or replaces an engine's own record.
func (l *List) PutOwnRecord(engine fleet.Engine, offset int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	engine.Versions = nil
	if !l.directory.LimitsCold(engine.Pool) {
		// No reader uses the time, and each change of it would be written.
		engine.ColdUntil = time.Time{}
	}
	l.ownRecords[engine.ID] = engineState{engine, offset}
	delete(l.gone, engine.ID)
	delete(l.lapsed, engine.ID)
	l.compare(engine.ID)
}

// SetLapsed notes that an engine's own record was dropped just after an outage of the store, and may be written again. Until then
// this process leaves the engine's entry as it is: a process that was not cut off knows whether the engine is gone.
func (l *List) SetLapsed(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lapsed[id] = true
	l.compare(id)
}

// RemoveOwnRecord notes that an engine's own record was dropped from the store.
func (l *List) RemoveOwnRecord(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.removeOwnRecord(id)
	l.compare(id)
}

// removeOwnRecord removes an engine's own record. The mutex must be held.
func (l *List) removeOwnRecord(id string) {
	if len(l.gone) >= maxGone {
		l.forgetUnlisted()
	}
	l.gone[id] = l.ownRecords[id].offset
	delete(l.ownRecords, id)
	delete(l.lapsed, id)
}

// OwnRecordsReadTo notes that the engines' own records were read up to an offset. From the first call on they are used
// instead of the list.
func (l *List) OwnRecordsReadTo(end int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ownRecordsEnd = end
	if l.readsOwnRecords {
		return
	}
	l.readsOwnRecords, l.settled, l.readingSince = true, false, time.Now()
	l.directory.SetPartial(false)
	l.compareAll()
}

// outdatedLifetime is how long an entry that is out of date is not used after the own records are no longer read: much longer than
// another process takes to repair it.
const outdatedLifetime = 10 * time.Second

// maxGone is the number of engines that are gone from which on those that are not listed are forgotten.
const maxGone = 1000

// forgetUnlisted forgets the engines that are gone and of which no entry is out of date. The mutex must be held.
func (l *List) forgetUnlisted() {
	maps.DeleteFunc(l.gone, func(id string, _ int64) bool { return !l.outdated(id) })
}

// ForgetOwnRecords notes that the engines' own records are not read any more. From here on the list is used, except for entries of
// engines that are known to be gone.
func (l *List) ForgetOwnRecords() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.readsOwnRecords {
		return
	}
	l.readsOwnRecords = false
	l.directory.SetPartial(true)
	for id := range l.ownRecords {
		if _, exists := l.listed[id]; !exists {
			l.directory.Forget(id)
		}
	}
	for id, found := range l.listed {
		if !l.outdated(id) {
			l.directory.Upsert(found.engine)
		}
	}
	clear(l.ownRecords)
	l.forgetUnlisted()
	if len(l.gone) > 0 {
		time.AfterFunc(outdatedLifetime, l.useOutdated)
	}
	clear(l.lapsed)
	clear(l.differences)
}

// outdated reports whether the entry of an engine is older than the news that the engine is gone. The mutex must be held.
func (l *List) outdated(id string) bool {
	last, isGone := l.gone[id]
	entry, isListed := l.listed[id]
	return isGone && isListed && entry.offset <= last
}

// useOutdated has the list used for all engines again, unless the own records are read.
func (l *List) useOutdated() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.readsOwnRecords {
		return
	}
	clear(l.gone)
	for _, found := range l.listed {
		l.directory.Upsert(found.engine)
	}
}

// apply applies a record of a partition of the list. It returns what the record says of an engine that leaves or is gone, nil if
// there is no such engine, it was listed as such before, or this process reads the engines' own records.
func (l *List) apply(partition int, record keyedlog.Record) (*departure, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	id := idOf(record.Key)
	before, isListed := l.listed[id]
	switch {
	case record.Key == keyComplete:
		l.complete[partition] = record.Value != nil
		l.known[partition] = true
		l.publishKnown()
		return nil, nil
	case record.Value == nil:
		l.dropEntry(id)
		if !isListed || l.readsOwnRecords {
			return nil, nil
		}
		return &departure{engineState: before.engineState, gone: true}, nil
	}
	found, err := decode(id, record.Value)
	if err != nil {
		return nil, err
	}
	l.putEntry(found)
	if l.readsOwnRecords || !found.engine.Draining || isListed && before.engine.Draining {
		return nil, nil
	}
	return &departure{engineState: found}, nil
}

// caughtUp notes that the newest entries of a partition were read, all of them if whole is set. Listed engines that are
// not among them were dropped from the store or left out of the read.
func (l *List) caughtUp(partition int, seen map[string]bool, end int64, whole bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, found := range l.listed {
		if seen[id] || PartitionOf(found.engine.Pool, l.partitions).Number != partition {
			continue
		}
		if whole {
			l.dropEntry(id)
		} else {
			l.forgetEntry(id)
		}
	}
	// An empty partition has not been written yet, so it is not known.
	l.known[partition] = l.known[partition] || end > 0
	l.whole[partition] = whole
	l.publishKnown()
}

// attach sets the reader of a partition.
func (l *List) attach(partition int, follower follow.Reader) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.followers[partition] = follower
}

// follower returns the reader of a partition, nil if the partition is not being read.
func (l *List) follower(partition int) follow.Reader {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.followers[partition]
}

// setReadTo notes that all entries of a partition below an offset were read.
func (l *List) setReadTo(partition int, end int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.readTo[partition] = end
}

// detach notes that a partition is not read any more.
func (l *List) detach(partition int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.whole, partition)
	delete(l.followers, partition)
}

// putEntry adds or replaces an entry. The mutex must be held.
func (l *List) putEntry(found engineState) {
	id := found.engine.ID
	newest := max(found.offset, l.listed[id].newest)
	l.listed[id] = listedEntry{found, newest}
	if l.usesList(id) && found.offset == newest && !l.outdated(id) {
		l.directory.Upsert(found.engine)
	}
	l.compare(id)
}

// dropEntry removes an entry that was dropped from the store. If the engine's own record lapsed, the process that dropped the entry
// knows that the engine is gone. The mutex must be held.
func (l *List) dropEntry(id string) {
	delete(l.listed, id)
	if l.lapsed[id] {
		l.removeOwnRecord(id)
		l.directory.Remove(id)
	}
	if l.usesList(id) {
		l.directory.Remove(id)
	}
	l.compare(id)
}

// forgetEntry removes an entry that this process no longer reads. The mutex must be held.
func (l *List) forgetEntry(id string) {
	if l.usesList(id) {
		l.directory.Forget(id)
	}
	l.dropEntry(id)
}

// usesList reports whether the directory's data of an engine is based on the list: this process does not read the
// engines' own records, or has just begun to and has not read this engine's. The mutex must be held.
func (l *List) usesList(id string) bool {
	_, exists := l.ownRecords[id]
	_, isGone := l.gone[id]
	return !l.readsOwnRecords || !l.settled && !exists && !isGone
}

// publishKnown marks the directory as known once all engines that requests are sent to are known. The mutex must be
// held.
func (l *List) publishKnown() {
	if l.pools == nil {
		return
	}
	for pool := range l.required {
		if !l.known[PartitionOf(pool, l.partitions).Number] {
			return
		}
	}
	l.directory.SetSynced()
}
