package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/uptime"
)

// EngineView is what a process reports to others of one engine.
type EngineView struct {
	// Engine is the engine's id.
	Engine string
	// Pace is the usual time between two events of a stream there, 0 if it was not measured lately.
	Pace time.Duration
	// Held is how many of the engine's places items of that process hold.
	Held int
}

const (
	// heldTTL is how long the places that a peer reports count after its view came. Views are renewed three times in that time, so that
	// a peer whose view is older is gone or cut off.
	heldTTL = 1500 * time.Millisecond
	// paceTTL is how long the paces that a peer reports count, and how long after an engine's last event its pace is reported. The usual
	// pace belongs to the engine's machine, and steps of a trainer follow each other within tens of seconds.
	paceTTL = 30 * time.Second
	// probeAfter is how long work waits for places that peers report to hold before it is sent to the engine all the same, since the views
	// may be wrong. It is longer than heldTTL, so that views of peers that are gone have expired by then.
	probeAfter = 2 * time.Second
	// probeInterval is the least time between two such probes. Views are mostly right, and an engine spends as much on a call that it
	// turns away as on the start of one that it takes: with 250 ms, 131 of 295 items turned away with 503 are probes.
	probeInterval = time.Second
	// mergeInterval is how often the views of peers are summed up again, without those that have expired: well below heldTTL.
	mergeInterval = 100 * time.Millisecond
)

// suspended tells how long the machine has been suspended: views age in that time too.
var suspended uptime.Meter = uptime.Suspended

// peerView is the last view of one process.
type peerView struct {
	engines []EngineView
	// at is when it was read.
	at uptime.Mark
	// recovered says that it may have been written long before that.
	recovered bool
}

// peers holds what other processes report of engines. The zero value is empty.
type peers struct {
	// views maps processes to their views.
	views map[string]peerView
	// paces and held map engines to their median pace and the places held there, of the views that had not expired at merged.
	paces  map[string]time.Duration
	held   map[string]int
	merged time.Time
	// probedAt is when work was last sent to an engine that is full by the views.
	probedAt time.Time
}

// SetPeerView replaces the view of another process; no engines remove it. The places of a recovered view, which may be long out of date,
// don't count.
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

// mayProbe tells whether work may be sent to an engine that is full by the views of peers. One piece of work in each probeInterval may, so
// that no work waits for good because of a wrong view, and few calls reach full engines.
func (p *peers) mayProbe(want Want, now time.Time) bool {
	return !want.Since.IsZero() && now.Sub(want.Since) >= probeAfter && now.Sub(p.probedAt) >= probeInterval
}

// refresh sums the views up again if the sums are older than mergeInterval.
func (p *peers) refresh(now time.Time) {
	if len(p.views) > 0 && now.Sub(p.merged) >= mergeInterval {
		p.merge(now)
	}
}

// merge sums up the views that have not expired, and drops the others.
func (p *peers) merge(now time.Time) {
	p.merged = now
	p.held = make(map[string]int)
	paces := make(map[string][]time.Duration)
	for process, view := range p.views {
		age := view.at.Age()
		if age >= paceTTL {
			delete(p.views, process)
			continue
		}
		for _, engine := range view.engines {
			if engine.Pace > 0 {
				paces[engine.Engine] = append(paces[engine.Engine], engine.Pace)
			}
			if age < heldTTL && !view.recovered {
				p.held[engine.Engine] += engine.Held
			}
		}
	}
	p.paces = make(map[string]time.Duration, len(paces))
	for id, known := range paces {
		p.paces[id] = policy.Median(known)
	}
}

// LocalView returns this process's view of engines, in order of their ids: the places that its items hold there, as given, and the paces
// that it has measured within paceTTL.
func (d *Directory) LocalView(held map[string]int) []EngineView {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var views []EngineView
	for id, found := range d.engines {
		next := EngineView{Engine: id, Held: held[id]}
		if !found.pacedAt.IsZero() && now.Sub(found.pacedAt) < paceTTL {
			next.Pace = found.pace.Usual()
		}
		if next.Pace > 0 || next.Held > 0 {
			views = append(views, next)
		}
	}
	slices.SortFunc(views, func(a, b EngineView) int { return strings.Compare(a.Engine, b.Engine) })
	return views
}

// measuredHere tells whether the pace that was measured here counts before that of peers: it was measured lately, or they have none. The
// mutex must be held, and peers refreshed.
func (d *Directory) measuredHere(found *entry, now time.Time) bool {
	return found.pace.Usual() > 0 && (now.Sub(found.pacedAt) < paceTTL || d.peers.paces[found.engine.ID] == 0)
}

// usualPace returns an engine's usual pace as it was measured here lately, else the median of its peers' views, 0 if neither is known. The
// mutex must be held, and peers refreshed.
func (d *Directory) usualPace(found *entry, now time.Time) time.Duration {
	if d.measuredHere(found, now) {
		return found.pace.Usual()
	}
	return d.peers.paces[found.engine.ID]
}

// outlook returns what is to be expected of an engine by the pace that was measured here, else by the median of its peers' views. The mutex
// must be held, and peers refreshed.
func (d *Directory) outlook(found *entry, now time.Time) policy.Outlook {
	if d.measuredHere(found, now) {
		return found.pace.Outlook(now)
	}
	return policy.Steady(d.peers.paces[found.engine.ID])
}

// UsualPaces returns the usual paces of a pool's engines, by id, as far as they are known here or from peers.
func (d *Directory) UsualPaces(pool string) map[string]time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.peers.refresh(now)
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

// PeerSummary counts what the directory knows from peers alone.
type PeerSummary struct {
	// Engines counts engines whose pace only peers know, Held the places that peers hold.
	Engines int
	Held    int
	// Newest is the age of the newest view, 0 if there is none.
	Newest time.Duration
}

// PeerSummary returns what is known from peers.
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
	for _, view := range d.peers.views {
		if age := view.at.Age(); first || age < known.Newest {
			known.Newest, first = age, false
		}
	}
	return known
}
