package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/uptime"
)

// Told is what a process tells others of one engine.
type Told struct {
	// Engine is the engine's id.
	Engine string
	// Pace is the usual time between two events of a stream there, 0 if it was not measured lately.
	Pace time.Duration
	// Held is how many places items of that process hold there.
	Held int
}

const (
	// heldFor is how long another process's word on what it holds counts after it came: it is renewed three times in that time, so
	// that one which was not renewed is of a process that is gone or cut off.
	heldFor = 1500 * time.Millisecond
	// paceFor is how long its word on paces counts, and how long after the last event of an engine its pace is told. What an engine
	// usually takes belongs to its machine; steps of a trainer follow each other within tens of seconds.
	paceFor = 30 * time.Second
	// heldMost is how long work waits beside places that others hold by their word: a word that nobody renews has aged by then, so
	// that whatever is still told may be wrong, and the engine itself is asked.
	heldMost = 2 * time.Second
	// askEvery is how often an engine is asked so: words are right but for the moment that they take, and a call that is turned away costs
	// the engine as much as one that is taken at first. With 250 ms, 131 of 295 items turned away with 503 in one run were such.
	askEvery = time.Second
	// mergeEvery is how often what others tell is looked through for what has aged.
	mergeEvery = 100 * time.Millisecond
)

// suspended tells how long the machine has been suspended.
var suspended uptime.Meter = uptime.Suspended

// telling is what one process told last.
type telling struct {
	engines []Told
	at      uptime.Mark
	// recovered says that it may have been told long before it was read.
	recovered bool
}

// others is what other processes tell of engines, by their names. The zero value is empty.
type others struct {
	tellings map[string]telling
	// paces and held sum up what is not too old, as of merged.
	paces  map[string]time.Duration
	held   map[string]int
	merged time.Time
	// asked is when an engine was asked last that is full by others' word.
	asked time.Time
}

// SetTold takes what another process tells of engines in place of all that it told before; no engines end its word. A word that was
// recovered, read after the fact, says nothing of what is held now.
func (d *Directory) SetTold(process string, engines []Told, recovered bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.others.tellings == nil {
		d.others.tellings = make(map[string]telling)
	}
	if len(engines) == 0 {
		delete(d.others.tellings, process)
	} else {
		d.others.tellings[process] = telling{engines: engines, at: suspended.Mark(), recovered: recovered}
	}
	d.others.merge(time.Now())
	d.changed.Notify()
}

// mayAsk tells whether work asks an engine that is full by others' word. One piece of work at a time does, so that work does not wait for
// good because of a wrong word, and full engines are not beset where the word is right.
func (o *others) mayAsk(want Want, now time.Time) bool {
	return !want.Since.IsZero() && now.Sub(want.Since) >= heldMost && now.Sub(o.asked) >= askEvery
}

// look sums up anew if that was not done just now.
func (o *others) look(now time.Time) {
	if len(o.tellings) > 0 && now.Sub(o.merged) >= mergeEvery {
		o.merge(now)
	}
}

// merge sums up what is not too old, and forgets what is.
func (o *others) merge(now time.Time) {
	o.merged = now
	o.held = make(map[string]int)
	paces := make(map[string][]time.Duration)
	for process, told := range o.tellings {
		age := told.at.Age()
		if age >= paceFor {
			delete(o.tellings, process)
			continue
		}
		for _, engine := range told.engines {
			if engine.Pace > 0 {
				paces[engine.Engine] = append(paces[engine.Engine], engine.Pace)
			}
			if age < heldFor && !told.recovered {
				o.held[engine.Engine] += engine.Held
			}
		}
	}
	o.paces = make(map[string]time.Duration, len(paces))
	for id, known := range paces {
		slices.Sort(known)
		o.paces[id] = known[(len(known)-1)/2]
	}
}

// Tell returns what this process has to tell of engines, in order of their ids: where its items hold so many places, and what it measured
// lately.
func (d *Directory) Tell(held map[string]int) []Told {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var told []Told
	for id, found := range d.engines {
		next := Told{Engine: id, Held: held[id]}
		if !found.paced.IsZero() && now.Sub(found.paced) < paceFor {
			next.Pace = found.pace.Usual()
		}
		if next.Pace > 0 || next.Held > 0 {
			told = append(told, next)
		}
	}
	slices.SortFunc(told, func(a, b Told) int { return strings.Compare(a.Engine, b.Engine) })
	return told
}

// goesByOwn tells whether what was measured here of an engine counts rather than others' word: it was measured lately, or they have none. The
// mutex must be held, and others looked through.
func (d *Directory) goesByOwn(found *entry, now time.Time) bool {
	return found.pace.Usual() > 0 && (now.Sub(found.paced) < paceFor || d.others.paces[found.engine.ID] == 0)
}

// usualPace returns an engine's usual pace: what was measured here, else the median of what others tell, 0 if nobody knows it. The mutex
// must be held, and others looked through.
func (d *Directory) usualPace(found *entry, now time.Time) time.Duration {
	if d.goesByOwn(found, now) {
		return found.pace.Usual()
	}
	return d.others.paces[found.engine.ID]
}

// outlook returns what is to be expected of an engine: by what was measured here, else by the median of what others tell. The mutex must
// be held, and others looked through.
func (d *Directory) outlook(found *entry, now time.Time) policy.Outlook {
	if d.goesByOwn(found, now) {
		return found.pace.Outlook(now)
	}
	return policy.Steady(d.others.paces[found.engine.ID])
}

// UsualPaces returns the paces of a pool's engines as far as they are known, by what was measured here lately or else by others' word.
func (d *Directory) UsualPaces(pool string) map[string]time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.others.look(now)
	paces := make(map[string]time.Duration)
	for id, found := range d.engines {
		if found.engine.Pool != pool {
			continue
		}
		if pace := d.usualPace(found, now); pace > 0 {
			paces[id] = pace
		}
	}
	return paces
}

// Hearsay is what the directory knows by others' word alone.
type Hearsay struct {
	// Engines is of how many engines only others know the pace, Held how many places others hold.
	Engines int
	Held    int
	// Newest is how old the newest word is, 0 if there is none.
	Newest time.Duration
}

// Hearsay returns what is known by others' word.
func (d *Directory) Hearsay() Hearsay {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.others.look(time.Now())
	var known Hearsay
	for id, found := range d.engines {
		if found.pace.Value() == 0 && d.others.paces[id] > 0 {
			known.Engines++
		}
		known.Held += d.others.held[id]
	}
	first := true
	for _, told := range d.others.tellings {
		if age := told.at.Age(); first || age < known.Newest {
			known.Newest, first = age, false
		}
	}
	return known
}
