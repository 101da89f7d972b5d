package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// smoothing is the weight of a new measurement in an exponentially smoothed value.
	smoothing = 0.2
	// avoidBase is how long an engine is the last choice after a first failure; it doubles with each further one, up to
	// avoidMax.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 4 * time.Second
)

// Acquire picks an engine for a piece of work and counts it as in flight there. The caller must call Release.
func (d *Directory) Acquire(want Want) (Engine, bool) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	want.probing = d.peers.mayProbe(want, now)
	picked, ok := Pick(d.candidates(want, now), want, now)
	if !ok {
		d.checkFirstSuspected(want, now)
		return Engine{}, false
	}
	d.begin(picked.Engine, want, now)
	return picked.Engine, true
}

// HasFreeSlot reports whether a piece of work would get an engine, given the slots known to be held by other processes.
// Nothing is acquired.
func (d *Directory) HasFreeSlot(want Want) bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, found := Pick(d.candidates(want, now), want, now)
	return found
}

// Exists reports whether any engine may run the work, whether it has a free slot or not.
func (d *Directory) Exists(want Want) bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, found := range d.engines {
		if fits(d.effectiveEngine(found), want) && !now.Before(found.loadingUntil[want.Model]) && !slices.Contains(want.Exclude, found.engine.ID) {
			return true
		}
	}
	return false
}

// Assign assigns engines to pieces of work, in order, and counts each as in flight at its engine. An empty ID means that
// the work has to wait.
func (d *Directory) Assign(wants []Want) []Engine {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	assigned := make([]Engine, len(wants))
	sets := make(map[WorkKind]*candidateSet)
	for i, want := range wants {
		key := want.Kind()
		set, ok := sets[key]
		if !ok {
			set = newCandidateSet(d.candidates(want, now), want)
			sets[key] = set
		}
		want.probing = d.peers.mayProbe(want, now)
		if assigned[i], ok = set.assign(want, now); !ok {
			if !set.exhausted {
				set.exhausted = true
				d.checkFirstSuspected(want, now)
			}
			continue
		}
		if d.begin(assigned[i], want, now) {
			// There is one trial at a time, whatever the kind of work, and a cold engine takes no more than its rate.
			clear(sets)
		}
	}
	return assigned
}

// WorkKind is the part of the requirements that pieces of work share if the same engines may run them.
type WorkKind struct {
	Pool, Model              string
	MinVersion, ExactVersion int64
	// Anywhere means that the work is not bound to regions; otherwise Regions names the allowed ones.
	Anywhere bool
	Regions  string
}

// Kind returns the kind of a piece of work.
func (w Want) Kind() WorkKind {
	return WorkKind{
		Pool: w.Pool, Model: w.Model, MinVersion: w.MinVersion, ExactVersion: w.ExactVersion,
		Anywhere: w.Regions == nil, Regions: strings.Join(w.Regions, " "),
	}
}

// candidateSet holds the engines with free slots for work of one kind: own are those assigned to its model or to none,
// others those assigned to other models, which take it only at times. In a large pool most engines are others.
type candidateSet struct {
	stats  candidateStats
	own    []Candidate
	others []Candidate
	// exhausted means that a piece of work got no engine of the set.
	exhausted bool
}

func newCandidateSet(candidates []Candidate, want Want) *candidateSet {
	want.Exclude, want.HealthyOnly = nil, false
	set := &candidateSet{stats: newCandidateStats(candidates, want)}
	for _, candidate := range candidates {
		if !mayRun(candidate, want) || !withinShare(candidate.InFlight, candidate, want) {
			continue
		}
		if foreign(candidate, want) {
			set.others = append(set.others, candidate)
		} else {
			set.own = append(set.own, candidate)
		}
	}
	return set
}

// assign assigns an engine to a piece of work and counts the work there; it returns false if no engine takes the work
// now.
func (s *candidateSet) assign(want Want, now time.Time) (Engine, bool) {
	from := &s.own
	index, bestCost, ok := choose(s.own, s.stats, want, now)
	if foreignAllowed(s.stats, want, now) {
		if other, cost, found := choose(s.others, s.stats, want, now); found && (!ok || isBetter(s.others[other], cost, s.own[index], bestCost)) {
			from, index, ok = &s.others, other, true
		}
	}
	if !ok {
		return Engine{}, false
	}
	candidates := *from
	engine := candidates[index].Engine
	candidates[index].InFlight++
	if candidates[index].IdleConnections > 0 {
		candidates[index].IdleConnections--
	}
	if !withinShare(candidates[index].InFlight, candidates[index], want) {
		*from = slices.Delete(candidates, index, index+1)
	}
	return engine, true
}

// mayImprove returns the pace forecast of the engine at which work runs, and whether any engine of the pool is fast
// enough for a move to pay, regardless of what may run there. It avoids checking each engine: a pool may have thousands,
// and items poll four times a second. The mutex must be held.
func (d *Directory) mayImprove(id string, want Want, now time.Time) (forecast policy.Forecast, ok bool) {
	found, ok := d.engines[id]
	if !ok {
		return policy.Forecast{}, false
	}
	forecast = found.pace.Forecast(now)
	fastest := policy.ConstantPace(d.paceOf(want.Pool, "", now).fastest)
	return forecast, policy.WorthMoving(want.Events, forecast, fastest, want.Slack)
}

// AcquireBetter picks an engine at which running work would end so much earlier that moving it pays, and counts it as in
// flight there. The caller must call Release.
func (d *Directory) AcquireBetter(id string, want Want) (Engine, bool) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current, ok := d.mayImprove(id, want, now)
	if !ok {
		return Engine{}, false
	}
	want.Since = time.Time{}
	want.OwnOnly = true
	want.Exclude = []string{id}
	// The work already runs and is not sent as a trial. Engines that failed are idle, and would be picked before working ones.
	want.HealthyOnly = true
	candidates := d.candidates(want, now)
	picked, found := Pick(candidates, want, now)
	if !found || !policy.WorthMoving(want.Events, current, picked.Forecast, want.Slack) {
		return Engine{}, false
	}
	d.begin(picked.Engine, want, now)
	return picked.Engine, true
}

// SuitableEngines returns the engines that would take a piece of work now if this process released one of its slots there, and
// at which the work would end about as early as at the fastest one: moving it to the fastest would not pay. If a run at any
// other engine yielded its slot, the work would keep waiting and less urgent work would take the slot.
func (d *Directory) SuitableEngines(want Want) map[string]bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	candidates := d.candidates(want, now)
	stats := newCandidateStats(candidates, want)
	fastest := policy.ConstantPace(stats.fastest)
	suitable := make(map[string]bool)
	for _, candidate := range candidates {
		candidate.InFlight = max(0, candidate.InFlight-1)
		if takes(candidate, stats, want, now) && !candidate.Avoided && !candidate.Ejected && !policy.WorthMoving(want.Events, candidate.Forecast, fastest, want.Slack) {
			suitable[candidate.Engine.ID] = true
		}
	}
	return suitable
}

// takes reports whether an engine takes a piece of work now. It returns false if the work should wait for a faster engine.
func takes(candidate Candidate, stats candidateStats, want Want, now time.Time) bool {
	if !mayRun(candidate, want) || !modelAllows(candidate, stats, want, now) || !hasFreeSlot(candidate, want) {
		return false
	}
	delay := policy.Delay(want.Events, candidate.Forecast, stats.fastest, want.Slack)
	return !policy.KeepsWaiting(now.Sub(want.Since), delay)
}

// BetterEngines returns the engines, full or not, at which running work would end so much earlier that moving it pays.
func (d *Directory) BetterEngines(id string, want Want) map[string]bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current, ok := d.mayImprove(id, want, now)
	if !ok {
		return nil
	}
	want.Exclude = []string{id}
	candidates := d.candidates(want, now)
	stats := newCandidateStats(candidates, want)
	faster := make(map[string]bool)
	for _, candidate := range candidates {
		if !mayRun(candidate, want) || candidate.Avoided || candidate.Ejected || stats.hasOwn && foreign(candidate, want) {
			continue
		}
		if policy.WorthMoving(want.Events, current, candidate.Forecast, want.Slack) {
			faster[candidate.Engine.ID] = true
		}
	}
	return faster
}

// TypicalPace returns the median usual pace of a pool's engines, 0 if none is known.
func (d *Directory) TypicalPace(pool string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.paceOf(pool, "", time.Now()).typical
}

// FastestPace returns the shortest usual pace of the engines of a pool that serve a model, restricted to those assigned
// to the model if there are any; 0 if none is known.
func (d *Directory) FastestPace(pool, model string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.paceOf(pool, model, time.Now()).fastest
}

// paceInterval is the interval at which the paces of a pool are recomputed. Each item requests them several times a
// second, and they change slowly, as medians over many events.
const paceInterval = 100 * time.Millisecond

// poolModel identifies the engines of a pool that serve a model, all of the pool if the model is empty.
type poolModel struct {
	pool, model string
}

// poolPace holds the statistics of such engines, and when they were computed.
type poolPace struct {
	candidateStats
	at time.Time
}

// paceOf returns the statistics of the engines of a pool that serve a model. The mutex must be held.
func (d *Directory) paceOf(pool, model string, now time.Time) candidateStats {
	key := poolModel{pool, model}
	cached, ok := d.paces[key]
	if !ok || now.Sub(cached.at) >= paceInterval {
		want := Want{Pool: pool, Model: model, MinVersion: 1}
		cached = poolPace{candidateStats: newCandidateStats(d.candidates(want, now), want), at: now}
		d.paces[key] = cached
	}
	return cached.candidateStats
}

// candidates returns the current state of the engines that are considered for a piece of work and fit it. The mutex must
// be held.
func (d *Directory) candidates(want Want, now time.Time) []Candidate {
	var candidates []Candidate
	assigned := d.assigned[want.Pool]
	region := d.regions[want.Zone]
	d.peers.refresh(now)
	for _, found := range d.considered(want) {
		engine := d.effectiveEngine(found)
		if !fits(engine, want) {
			continue
		}
		state := found.breaker.State(now)
		trial := state == policy.BreakerHalfOpen
		candidates = append(candidates, Candidate{
			Engine: engine, AssignedModel: assigned[engine.ID], OtherRegion: region != "" && engine.Region != "" && engine.Region != region,
			InFlight: found.inFlight, PeerHeld: d.peers.held[engine.ID],
			IdleConnections: found.idleConnections,
			Avoided:         now.Before(found.avoidUntil), ColdLimited: d.coldLimited(found, want, now), Cold: d.isCold(found, now),
			Loading: now.Before(found.loadingUntil[want.Model]), Forecast: d.forecastFor(found, want, now), Latency: found.latency,
			Ejected: state == policy.BreakerOpen || trial && want.NoTrial && !found.breaker.TrialOverdue(now), Trial: trial,
		})
	}
	return candidates
}

// Release removes a piece of work from those in flight at an engine.
func (d *Directory) Release(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok && found.inFlight > 0 {
		found.inFlight--
		if found.inFlight == 0 {
			found.cold.silentSince = time.Time{}
		}
		d.changed.Notify()
	}
}

// RecordGap records the time between two events of a stream.
func (d *Directory) RecordGap(id string, gap time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		now := time.Now()
		if found.pace.Usual() == 0 {
			found.pace.Seed(d.peers.paces[id])
		}
		found.pace.Add(gap, now)
		found.cold.silentSince = time.Time{}
		found.paceMeasuredAt = now
	}
}

// Pace returns the current time between events of an engine, 0 if unknown.
func (d *Directory) Pace(id string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		return found.pace.Value()
	}
	return 0
}

// SmoothedLatency returns the lowest smoothed latency of a pool's engines, 0 if none is known.
func (d *Directory) SmoothedLatency(pool string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var lowest time.Duration
	for _, found := range d.poolOf(pool).order {
		if found.latency > 0 && (lowest == 0 || found.latency < lowest) {
			lowest = found.latency
		}
	}
	return lowest
}

func smooth(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return old + time.Duration(smoothing*float64(measured-old))
}
