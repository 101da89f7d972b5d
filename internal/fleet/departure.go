package fleet

import "time"

// departureMemory is how long departures are remembered: longer than any request or run that was begun before.
const departureMemory = time.Minute

// Departure is what this process has learned of an engine that leaves or is gone.
type Departure struct {
	// LearnedAt is when the process learned of it.
	LearnedAt time.Time
	// Gone means that the engine is no longer recorded. Otherwise it has announced that it leaves.
	Gone bool
}

// departures remembers engines that leave or are gone. The zero value is empty. The mutex of the directory guards it.
type departures struct {
	byID     map[string]Departure
	purgedAt time.Time
}

// record records that an engine leaves or is gone. The time of what was learned first is kept.
func (d *departures) record(id string, gone bool, now time.Time) {
	d.purge(now)
	if d.byID == nil {
		d.byID = make(map[string]Departure)
	}
	found, known := d.byID[id]
	if !known {
		found.LearnedAt = now
	}
	found.Gone = found.Gone || gone
	d.byID[id] = found
}

// purge drops departures that are older than departureMemory.
func (d *departures) purge(now time.Time) {
	if now.Sub(d.purgedAt) < departureMemory {
		return
	}
	d.purgedAt = now
	for id, found := range d.byID {
		if now.Sub(found.LearnedAt) >= departureMemory {
			delete(d.byID, id)
		}
	}
}

// Departure returns what is known of the departure of an engine, false if it does not leave as far as is known.
func (d *Directory) Departure(id string) (Departure, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.departures.byID[id]
	return found, ok
}

// noteState records whether an engine that was added or updated leaves. The mutex must be held.
func (d *Directory) noteState(engine Engine) {
	if engine.Draining {
		d.departures.record(engine.ID, false, time.Now())
		return
	}
	delete(d.departures.byID, engine.ID)
}
