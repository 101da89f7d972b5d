package fleet

import "time"

// departureMemory is how long departures are remembered: longer than any request or run that was begun before.
const departureMemory = time.Minute

// departures remembers engines that leave or are gone. The zero value is empty. The mutex of the directory guards it.
type departures struct {
	// learnedAt is when this process learned of each departure.
	learnedAt map[string]time.Time
	purgedAt  time.Time
	// watches holds the functions to call at departures, by engine.
	watches map[string]map[*watch]bool
}

// watch is a function that is called when an engine leaves.
type watch struct{ call func() }

// record records that an engine leaves or is gone, and calls the functions that wait for it.
func (d *departures) record(id string, now time.Time) {
	if _, known := d.learnedAt[id]; known {
		return
	}
	d.purge(now)
	if d.learnedAt == nil {
		d.learnedAt = make(map[string]time.Time)
	}
	d.learnedAt[id] = now
	for waiting := range d.watches[id] {
		waiting.call()
	}
	delete(d.watches, id)
}

// purge drops departures that are older than departureMemory.
func (d *departures) purge(now time.Time) {
	if now.Sub(d.purgedAt) < departureMemory {
		return
	}
	d.purgedAt = now
	for id, learnedAt := range d.learnedAt {
		if now.Sub(learnedAt) >= departureMemory {
			delete(d.learnedAt, id)
		}
	}
}

// watch has a function called at the departure of an engine.
func (d *departures) watch(id string, call func()) *watch {
	if d.watches == nil {
		d.watches = make(map[string]map[*watch]bool)
	}
	if d.watches[id] == nil {
		d.watches[id] = make(map[*watch]bool)
	}
	added := &watch{call: call}
	d.watches[id][added] = true
	return added
}

func (d *departures) unwatch(id string, added *watch) {
	delete(d.watches[id], added)
	if len(d.watches[id]) == 0 {
		delete(d.watches, id)
	}
}

// OnDeparture calls a function once when this process learns that an engine leaves or is gone, unless cancel is called before. It
// returns true instead if that is known already. The function must not call methods of the directory.
func (d *Directory) OnDeparture(id string, call func()) (cancel func(), leaves bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.departures.learnedAt[id]; known {
		return nil, true
	}
	added := d.departures.watch(id, call)
	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.departures.unwatch(id, added)
	}, false
}

// noteState records whether an engine that was added or updated leaves. The mutex must be held.
func (d *Directory) noteState(engine Engine) {
	if engine.Draining {
		d.departures.record(engine.ID, time.Now())
		return
	}
	delete(d.departures.learnedAt, engine.ID)
}
