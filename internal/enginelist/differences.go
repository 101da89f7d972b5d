package enginelist

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// backupDelay and MaxBackupDelay limit how long a process that is not the primary of a partition leaves a difference to
	// others: a random time between them. A primary's append is read back within 0.4 s.
	backupDelay    = 400 * time.Millisecond
	MaxBackupDelay = 700 * time.Millisecond
	// rewriteDelay is how long a completed append is given to be read back. A failed one is repeated after retryDelay
	// to MaxRetryDelay.
	rewriteDelay  = time.Second
	retryDelay    = 200 * time.Millisecond
	MaxRetryDelay = 400 * time.Millisecond
	// lapsedGrace is how long a process that has begun to read the engines' own records keeps entries of the list that
	// have no such record. Records that lapsed while the store was down are back within some 2 s of its return, and a
	// process that has just begun to read can't detect whether it was down.
	lapsedGrace = 2 * time.Second
)

// difference describes an engine whose entry in the list may not match the engine's own record.
type difference struct {
	// backupAt is when this process repairs the entry if it is not the primary, retryAt when it may write the repair
	// again.
	backupAt, retryAt time.Time
	// lastWritten is what this process last wrote for the engine, nil for nothing; wroteRemoval is set if it wrote that
	// the engine is gone. Either lies below the offset writtenEnd.
	lastWritten  *engineState
	wroteRemoval bool
	writtenEnd   int64
}

// settle treats engines that are listed but have no own record as gone, lapsedGrace after the own records were first
// read. The mutex must be held.
func (l *List) settle(now time.Time) {
	if l.settled || now.Sub(l.readingSince) < lapsedGrace {
		return
	}
	l.settled = true
	for id := range l.listed {
		if _, exists := l.ownRecords[id]; !exists {
			l.directory.Remove(id)
		}
	}
	l.compareAll()
}

// compareAll records all engines whose entries may not match their own records. The mutex must be held.
func (l *List) compareAll() {
	for id := range l.ownRecords {
		l.compare(id)
	}
	for id := range l.listed {
		l.compare(id)
	}
}

// compare records an engine if its entry does not match its own record, and forgets its difference otherwise. The mutex
// must be held.
func (l *List) compare(id string) {
	if !l.readsOwnRecords || l.upToDate(id) {
		delete(l.differences, id)
		return
	}
	if l.differences[id] == nil {
		l.differences[id] = &difference{backupAt: time.Now().Add(backupDelay + rand.N(MaxBackupDelay-backupDelay))}
	}
}

// upToDate reports whether the entry of an engine matches the engine's own record. The mutex must be held.
func (l *List) upToDate(id string) bool {
	entry, isListed := l.listed[id]
	own, exists := l.ownRecords[id]
	_, isGone := l.gone[id]
	switch {
	case l.lapsed[id]:
		return true
	case !exists:
		// An entry that was made from an own record that was not read here yet is not stale.
		return !isListed || !l.settled && !isGone || entry.offset >= l.ownRecordsEnd
	case !l.pools[own.engine.Pool]:
		return true
	default:
		return isListed && entry.covers(own)
	}
}

// overdue returns the partitions that this process is not the primary of and that have entries which have differed for
// long enough for it to repair them.
func (l *List) overdue(primary func(partition int) bool) []int {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.readsOwnRecords {
		return nil
	}
	overdue := make(map[int]bool)
	for id, found := range l.differences {
		if number := l.partitionOf(id); !primary(number) && !now.Before(found.backupAt) && l.writable(id, number, found, now) {
			overdue[number] = true
		}
	}
	return slices.Collect(maps.Keys(overdue))
}

// writable reports whether an entry may be written: its partition was read whole, and either the engine's own record
// contains a change that this process has not written, or what this process wrote has been read back. Before that it is
// unknown whether the entry is missing, and all readers of the list would read it again. The mutex must be held.
func (l *List) writable(id string, partition int, found *difference, now time.Time) bool {
	readBack := !now.Before(found.retryAt) && found.writtenEnd <= l.readTo[partition]
	return l.whole[partition] && (readBack || l.hasChange(id, found))
}

// hasChange reports whether an engine's own record contains a change that this process has not written. The mutex must
// be held.
func (l *List) hasChange(id string, found *difference) bool {
	own, exists := l.ownRecords[id]
	if !exists {
		return !found.wroteRemoval
	}
	return found.lastWritten == nil || found.wroteRemoval || !found.lastWritten.covers(own)
}

// repairs returns the records that bring the selected partitions of the list up to date. The primary of a partition
// repairs differences at once, other processes those that have existed for long enough.
func (l *List) repairs(selected, primary func(partition int) bool) map[int][]keyedlog.Record {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.readsOwnRecords {
		return nil
	}
	l.settle(now)
	repairs := make(map[int][]keyedlog.Record)
	unfinished := make(map[int]bool)
	for id, found := range l.differences {
		number := l.partitionOf(id)
		unfinished[number] = true
		if !selected(number) || !l.writable(id, number, found, now) || now.Before(found.backupAt) && !primary(number) {
			continue
		}
		found.retryAt = now.Add(rewriteDelay)
		own, exists := l.ownRecords[id]
		found.lastWritten, found.wroteRemoval = &own, !exists
		if record, ok := l.repair(id); ok {
			repairs[number] = append(repairs[number], record)
		}
	}
	for pool := range l.pools {
		number := PartitionOf(pool, l.partitions).Number
		if selected(number) && primary(number) && l.whole[number] && !l.complete[number] && !unfinished[number] && l.completeTo[number] <= l.readTo[number] {
			repairs[number] = []keyedlog.Record{{Key: keyComplete, Value: []byte{1}}}
		}
	}
	return repairs
}

// markWritten notes that records of a partition were written below an offset.
func (l *List) markWritten(partition int, records []keyedlog.Record, end int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, record := range records {
		if record.Key == keyComplete {
			l.completeTo[partition] = end
		} else if found := l.differences[idOf(record.Key)]; found != nil {
			found.writtenEnd = end
		}
	}
}

// markFailed notes that records were not written, and schedules them for a retry.
func (l *List) markFailed(records []keyedlog.Record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	retryAt := time.Now().Add(retryDelay + rand.N(MaxRetryDelay-retryDelay))
	for _, record := range records {
		if found := l.differences[idOf(record.Key)]; found != nil {
			found.retryAt = retryAt
		}
	}
}

// repair returns the record that the entry of an engine should be, false if it can't be encoded. The mutex must be
// held.
func (l *List) repair(id string) (keyedlog.Record, bool) {
	own, exists := l.ownRecords[id]
	if !exists {
		return keyedlog.Record{Key: keyOf(id)}, true
	}
	value, err := own.encode()
	return keyedlog.Record{Key: keyOf(id), Value: value}, err == nil
}

// partitionOf returns the partition of a known engine. The mutex must be held.
func (l *List) partitionOf(id string) int {
	if own, exists := l.ownRecords[id]; exists {
		return PartitionOf(own.engine.Pool, l.partitions).Number
	}
	return PartitionOf(l.listed[id].engine.Pool, l.partitions).Number
}
