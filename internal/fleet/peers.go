package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/uptime"
)

// Told is what a process tells others of one engine.
type EngineView struct {
	// Engine is the engine's id.
	Engine string
	// Pace is the usual time between two events of a stream there, 0 if it was not measured lately.
	Pace time.Duration
	// Held is how many places items of that process hold there.
	Held int
}

const (
	// heldTTL is how long another process's word on what it holds counts after it came: it is renewed three times in that time, so
	// that one which was not renewed is of a process that is gone or cut off.
	heldTTL = 1500 * time.Millisecond
	// paceTTL is how long its word on paces counts, and how long after the last event of an engine its pace is told. What an engine
	// usually takes belongs to its machine; steps of a trainer follow each other within tens of seconds.
	paceTTL = 30 * time.Second
	// probeAfter is how long work waits beside places that others hold by their word: a word that nobody renews has aged by then, so
	// that whatever is still told may be wrong, and the engine itself is asked.
	probeAfter = 2 * time.Second
	// probeInterval is how often an engine is asked so: words are right but for the moment that they take, and a call that is turned away costs
	// the engine as much as one that is taken at first. With 250 ms, 131 of 295 items turned away with 503 in one run were such.
	probeInterval = time.Second
	// mergeInterval is how often what others tell is looked through for what has aged.
	mergeInterval = 100 * time.Millisecond
)

// suspended tells how long the machine has been suspended.
var suspended uptime.Meter = uptime.Suspended

// peerView is what one process told last.
type peerView struct {
	engines []EngineView
	at      uptime.Mark
	// recovered says that it may have been told long before it was read.
	recovered bool
}

// peers is what other processes tell of engines, by their names. The zero value is empty.
type peers struct {
	views map[string]peerView
	// paces and held sum up what is not too old, as of merged.
	paces  map[string]time.Duration
	held   map[string]int
	merged time.Time
	// probedAt is when an engine was asked last that is full by others' word.
	probedAt time.Time
}

// SetPeerView takes what another process tells of engines in place of all that it told before; no engines end its word. A word that was
// recovered, read after the fact, says nothing of what is held now.
func (d *Directory) SetPeerView(process string, engines []EngineView, recovered bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.peers.views == nil {
		d.peers.views = make(map[string]peerView)
	}
	if len(engines) == 0 {
		delete(d.peers.views, process)
	} else {
		d.peers.views[process] = peerView{engines: engines, at: suspended.Mark(), recovered: recovered}
	}
	d.peers.merge(time.Now())
	d.changed.Notify()
}

// mayProbe tells whether work asks an engine that is full by others' word. One piece of work at a time does, so that work does not wait for
// good because of a wrong word, and full engines are not beset where the word is right.
func (p *peers) mayProbe(want Want, now time.Time) bool {
	return !want.Since.IsZero() && now.Sub(want.Since) >= probeAfter && now.Sub(p.probedAt) >= probeInterval
}

// refresh sums up anew if that was not done just now.
func (p *peers) refresh(now time.Time) {
	if len(p.views) > 0 && now.Sub(p.merged) >= mergeInterval {
		p.merge(now)
	}
}

// merge sums up what is not too old, and forgets what is.
func (p *peers) merge(now time.Time) {
	p.merged = now
	p.held = make(map[string]int)
	paces := make(map[string][]time.Duration)
	for process, told := range p.views {
		age := told.at.Age()
		if age >= paceTTL {
			delete(p.views, process)
			continue
		}
		for _, engine := range told.engines {
			if engine.Pace > 0 {
				paces[engine.Engine] = append(paces[engine.Engine], engine.Pace)
			}
			if age < heldTTL && !told.recovered {
				p.held[engine.Engine] += engine.Held
			}
		}
	}
	p.paces = make(map[string]time.Duration, len(paces))
	for id, known := range paces {
		slices.Sort(known)
		p.paces[id] = known[(len(known)-1)/2]
	}
}

// LocalView returns what this process has to tell of engines, in order of their ids: where its items hold so many places, and what it measured
// lately.
func (d *Directory) LocalView(held map[string]int) []EngineView {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var told []EngineView
	for id, found := range d.engines {
		next := EngineView{Engine: id, Held: held[id]}
		if !found.paced.IsZero() && now.Sub(found.paced) < paceTTL {
			next.Pace = found.pace.Usual()
		}
		if next.Pace > 0 || next.Held > 0 {
			told = append(told, next)
		}
	}
	slices.SortFunc(told, func(a, b EngineView) int { return strings.Compare(a.Engine, b.Engine) })
	return told
}

// usualPace returns an engine's usual pace: what was measured here first, else the median of what others tell, 0 if nobody knows it. The
// mutex must be held, and others looked through.
func (d *Directory) usualPace(found *entry) time.Duration {
	if own := found.pace.Usual(); own > 0 {
		return own
	}
	return d.peers.paces[found.engine.ID]
}

// outlook returns what is to be expected of an engine: by what was measured here, else by the median of what others tell. The mutex must
// be held, and others looked through.
func (d *Directory) outlook(found *entry, now time.Time) policy.Outlook {
	if found.pace.Usual() > 0 {
		return found.pace.Outlook(now)
	}
	return policy.Steady(d.peers.paces[found.engine.ID])
}

// UsualPaces returns the paces of a pool's engines as far as they are known, by what was measured here or else by others' word.
func (d *Directory) UsualPaces(pool string) map[string]time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers.refresh(time.Now())
	paces := make(map[string]time.Duration)
	for id, found := range d.engines {
		if found.engine.Pool != pool {
			continue
		}
		if pace := d.usualPace(found); pace > 0 {
			paces[id] = pace
		}
	}
	return paces
}

// PeerSummary is what the directory knows by others' word alone.
type PeerSummary struct {
	// Engines is of how many engines only others know the pace, Held how many places others hold.
	Engines int
	Held    int
	// Newest is how old the newest word is, 0 if there is none.
	Newest time.Duration
}

// PeerSummary returns what is known by others' word.
func (d *Directory) PeerSummary() PeerSummary {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers.refresh(time.Now())
	var known PeerSummary
	for id, found := range d.engines {
		if found.pace.Value() == 0 && d.peers.paces[id] > 0 {
			known.Engines++
		}
		known.Held += d.peers.held[id]
	}
	first := true
	for _, told := range d.peers.views {
		if age := told.at.Age(); first || age < known.Newest {
			known.Newest, first = age, false
		}
	}
	return known
}
