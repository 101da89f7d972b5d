package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/uptime"
)

// EngineView is the report of one process on one engine, for other processes.
type EngineView struct {
	// Engine is the engine's ID.
	Engine string
	// Pace is the usual time between two events of a stream there, 0 if it was not measured recently.
	Pace time.Duration
	// Held is the number of the engine's slots that items of that process hold.
	Held int
}

const (
	// heldTTL is how long the slots that a peer reports count after its view was received. Views are renewed three times
	// in that time, so that a peer whose view is older has died or is disconnected.
	heldTTL = 1500 * time.Millisecond
	// paceTTL is how long the paces that a peer reports count, and how long after an engine's last event its pace is
	// reported. The usual pace depends on the engine's machine, and steps of a trainer follow each other within tens of
	// seconds.
	paceTTL = 30 * time.Second
	// probeAfter is how long work waits for slots that peers report to hold before it is sent to the engine
	// nevertheless, since the views may be wrong. It is longer than heldTTL, so that views of dead peers have expired by
	// then.
	probeAfter = 2 * time.Second
	// probeInterval is the minimum time between two such probes. Views are mostly right, and an engine spends as much on
	// a call that it rejects as on the start of one that it accepts: with 250 ms, 131 of 295 items rejected with 503
	// were probes.
	probeInterval = time.Second
	// mergeInterval is the interval at which the views of peers are summed up again, without expired ones. It is well
	// below heldTTL.
	mergeInterval = 100 * time.Millisecond
)

// suspended returns how long the machine has been suspended: views age in that time too.
var suspended uptime.Meter = uptime.Suspended

// peerView is the last view of one process.
type peerView struct {
	engines    []EngineView
	receivedAt uptime.Mark
	// recovered means that it may have been written long before it was received.
	recovered bool
}

// peers holds the reports of other processes on engines. The zero value is empty.
type peers struct {
	// views maps processes to their views.
	views map[string]peerView
	// paces and held map engines to their median pace and to the slots held there, over the views that had not expired
	// at mergedAt.
	paces    map[string]time.Duration
	held     map[string]int
	mergedAt time.Time
	// probedAt is when work was last sent to an engine that is full according to the views.
	probedAt time.Time
}

// SetPeerView replaces the view of another process; an empty list of engines removes it. The slots of a recovered view,
// which may be long out of date, don't count.
func (d *Directory) SetPeerView(process string, engines []EngineView, recovered bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.peers.views == nil {
		d.peers.views = make(map[string]peerView)
	}
	if len(engines) == 0 {
		delete(d.peers.views, process)
	} else {
		d.peers.views[process] = peerView{engines: engines, receivedAt: suspended.Mark(), recovered: recovered}
	}
	d.peers.merge(time.Now())
	d.changed.Notify()
}

// mayProbe reports whether work may be sent to an engine that is full according to the views of peers. One piece of work
// per probeInterval may, so that no work waits indefinitely because of a wrong view, and few calls reach full engines.
func (p *peers) mayProbe(want Want, now time.Time) bool {
	return !want.Since.IsZero() && now.Sub(want.Since) >= probeAfter && now.Sub(p.probedAt) >= probeInterval
}

// refresh sums the views up again if the sums are older than mergeInterval.
func (p *peers) refresh(now time.Time) {
	if len(p.views) > 0 && now.Sub(p.mergedAt) >= mergeInterval {
		p.merge(now)
	}
}

// merge sums up the views that have not expired, and removes the others.
func (p *peers) merge(now time.Time) {
	p.mergedAt = now
	p.held = make(map[string]int)
	paces := make(map[string][]time.Duration)
	for process, view := range p.views {
		age := view.receivedAt.Age()
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
	for id, values := range paces {
		p.paces[id] = policy.Median(values)
	}
}

// LocalView returns this process's view of engines, in order of their IDs: the slots that its items hold there, given by
// the caller, and the paces that it has measured within paceTTL.
func (d *Directory) LocalView(held map[string]int) []EngineView {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var views []EngineView
	for id, found := range d.engines {
		view := EngineView{Engine: id, Held: held[id]}
		if !found.paceMeasuredAt.IsZero() && now.Sub(found.paceMeasuredAt) < paceTTL {
			view.Pace = found.pace.Usual()
		}
		if view.Pace > 0 || view.Held > 0 {
			views = append(views, view)
		}
	}
	slices.SortFunc(views, func(a, b EngineView) int { return strings.Compare(a.Engine, b.Engine) })
	return views
}

// usesLocalPace reports whether the locally measured pace takes precedence over that of peers: it was measured recently,
// or they have none. The mutex must be held, and peers refreshed.
func (d *Directory) usesLocalPace(found *entry, now time.Time) bool {
	return found.pace.Usual() > 0 && (now.Sub(found.paceMeasuredAt) < paceTTL || d.peers.paces[found.engine.ID] == 0)
}

// usualPace returns an engine's usual pace as measured here recently, else the median of the peers' views, 0 if neither
// is known. The mutex must be held, and peers refreshed.
func (d *Directory) usualPace(found *entry, now time.Time) time.Duration {
	if d.usesLocalPace(found, now) {
		return found.pace.Usual()
	}
	return d.peers.paces[found.engine.ID]
}

// forecast returns the pace forecast of an engine, from the locally measured pace or else from the median of the peers'
// views. The mutex must be held, and peers refreshed.
func (d *Directory) forecast(found *entry, now time.Time) policy.Forecast {
	if d.usesLocalPace(found, now) {
		return found.pace.Forecast(now)
	}
	return policy.ConstantPace(d.peers.paces[found.engine.ID])
}

// forecastFor returns the pace forecast of an engine for a piece of work, with the engine's coldness taken into account.
// The mutex must be held, and peers refreshed.
func (d *Directory) forecastFor(found *entry, want Want, now time.Time) policy.Forecast {
	forecast := d.forecast(found, now)
	limit, limited := d.coldLimits[found.engine.Pool]
	if !limited {
		return forecast
	}
	return policy.ColdForecast(forecast, want.Events, found.engine.Slots, limit.Rate, found.coldUntil().Sub(now))
}

// UsualPaces returns the known usual paces of a pool's engines, measured here or by peers, by engine ID.
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

// PeerSummary summarizes what the directory knows from peers only.
type PeerSummary struct {
	// Engines is the number of engines whose pace only peers know, Held the number of slots that peers hold.
	Engines int
	Held    int
	// Newest is the age of the newest view, 0 if there is none.
	Newest time.Duration
}

// PeerSummary returns a summary of the views of peers.
func (d *Directory) PeerSummary() PeerSummary {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers.refresh(time.Now())
	var summary PeerSummary
	for id, found := range d.engines {
		if found.pace.Value() == 0 && d.peers.paces[id] > 0 {
			summary.Engines++
		}
		summary.Held += d.peers.held[id]
	}
	first := true
	for _, view := range d.peers.views {
		if age := view.receivedAt.Age(); first || age < summary.Newest {
			summary.Newest, first = age, false
		}
	}
	return summary
}
