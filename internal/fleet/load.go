package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// smoothing is the weight of a new measurement in a smoothed one.
	smoothing = 0.2
	// avoidBase is how long an engine is tried last after a first failure; it doubles with each further one.
	avoidBase = 500 * time.Millisecond
	avoidMax  = 4 * time.Second
)

// Acquire picks an engine for a piece of work and counts it as in flight there. Release must follow.
func (d *Directory) Acquire(want Want) (Engine, bool) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	want.probing = d.peers.mayProbe(want, now)
	picked, ok := Pick(d.candidates(want, now), want, now)
	if !ok {
		return Engine{}, false
	}
	d.begin(picked.Engine, want, now)
	return picked.Engine, true
}

// HasRoom tells whether a piece of work would be given an engine, by what is known of places that others hold. Nothing is begun.
func (d *Directory) HasRoom(want Want) bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, found := Pick(d.candidates(want, now), want, now)
	return found
}

// Exists tells whether any engine may run the work, with or without room.
func (d *Directory) Exists(want Want) bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, found := range d.engines {
		if fits(d.standing(found), want) && !now.Before(found.loading[want.Model]) && !slices.Contains(want.Exclude, found.engine.ID) {
			return true
		}
	}
	return false
}

// Assign gives engines to pieces of work, the first ones first, and counts each as in flight where it goes. An empty id says
// that the work has to wait.
func (d *Directory) Assign(wants []Want) []Engine {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	given := make([]Engine, len(wants))
	surveys := make(map[kind]*surveyed)
	for i, want := range wants {
		key := kind{want.Pool, want.Model, want.MinVersion, want.ExactVersion, want.Regions == nil, strings.Join(want.Regions, " ")}
		found, ok := surveys[key]
		if !ok {
			found = newSurveyed(d.candidates(want, now), want)
			surveys[key] = found
		}
		want.probing = d.peers.mayProbe(want, now)
		if given[i], ok = found.take(want, now); ok {
			if d.begin(given[i], want, now) {
				// One trial at a time, whichever kind of work it is, and no more than a cold engine bears.
				clear(surveys)
			}
		}
	}
	return given
}

// kind is what pieces of work have in common that the same engines may run.
type kind struct {
	pool, model       string
	minVersion, exact int64
	// anywhere says that no regions are bound, regions names those that are.
	anywhere bool
	regions  string
}

// surveyed holds the engines with room for work of one kind: those that are kept up to date for its model or for none, and the others,
// which are open to it at times only. In a large pool most are others.
type surveyed struct {
	known  survey
	own    []Candidate
	others []Candidate
}

func newSurveyed(candidates []Candidate, want Want) *surveyed {
	want.Exclude = nil
	found := &surveyed{known: newSurvey(candidates, want)}
	for _, candidate := range candidates {
		if !mayRun(candidate, want) || !hasPlace(candidate.InFlight, candidate, want) {
			continue
		}
		if foreign(candidate, want) {
			found.others = append(found.others, candidate)
		} else {
			found.own = append(found.own, candidate)
		}
	}
	return found
}

// take gives an engine to a piece of work and counts the work there, false if none takes it now.
func (s *surveyed) take(want Want, now time.Time) (Engine, bool) {
	from := &s.own
	place, best, ok := choose(s.own, s.known, want, now)
	if foreignOpen(s.known, want, now) {
		if other, cost, found := choose(s.others, s.known, want, now); found && (!ok || better(s.others[other], cost, s.own[place], best)) {
			from, place, ok = &s.others, other, true
		}
	}
	if !ok {
		return Engine{}, false
	}
	room := *from
	engine := room[place].Engine
	room[place].InFlight++
	if !hasPlace(room[place].InFlight, room[place], want) {
		*from = slices.Delete(room, place, place+1)
	}
	return engine, true
}

// improvable returns the outlook of the engine at which work runs, and whether any engine of the pool is quick enough for a move to pay,
// whatever may run there. That spares the look at each engine: a pool may have thousands, and items ask four times a second. The mutex must
// be held.
func (d *Directory) improvable(id string, want Want, now time.Time) (outlook policy.Outlook, ok bool) {
	current, ok := d.engines[id]
	if !ok {
		return policy.Outlook{}, false
	}
	outlook = current.pace.Outlook(now)
	quickest := policy.Steady(d.paceOf(want.Pool, "", now).quickest)
	return outlook, policy.WorthMoving(want.Events, outlook, quickest, want.Slack)
}

// AcquireBetter picks an engine at which work that runs elsewhere ends so much earlier that it is worth moving, and counts it as
// in flight there. Release must follow.
func (d *Directory) AcquireBetter(id string, want Want) (Engine, bool) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	outlook, ok := d.improvable(id, want, now)
	if !ok {
		return Engine{}, false
	}
	want.Since = time.Time{}
	want.OwnOnly = true
	want.Exclude = []string{id}
	candidates := d.candidates(want, now)
	for _, candidate := range candidates {
		// It runs where it is, and tries no engine. Such ones are idle, and would be picked before those that work.
		if candidate.Avoided || candidate.Trial {
			want.Exclude = append(want.Exclude, candidate.Engine.ID)
		}
	}
	picked, found := Pick(candidates, want, now)
	if !found || !policy.WorthMoving(want.Events, outlook, picked.Outlook, want.Slack) {
		return Engine{}, false
	}
	d.begin(picked.Engine, want, now)
	return picked.Engine, true
}

// Suitable returns the engines at which a piece of work would end no later than at the quickest one, but for what moving it would
// cost, full or not.
func (d *Directory) Suitable(want Want) map[string]bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	candidates := d.candidates(want, now)
	quickest := policy.Steady(newSurvey(candidates, want).quickest)
	suitable := make(map[string]bool)
	for _, candidate := range candidates {
		if mayRun(candidate, want) && !candidate.Avoided && !candidate.Ejected &&
			!policy.WorthMoving(want.Events, candidate.Outlook, quickest, want.Slack) {
			suitable[candidate.Engine.ID] = true
		}
	}
	return suitable
}

// Better returns the engines at which work that runs elsewhere ends so much earlier that moving it pays, full or not.
func (d *Directory) Better(id string, want Want) map[string]bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	outlook, ok := d.improvable(id, want, now)
	if !ok {
		return nil
	}
	want.Exclude = []string{id}
	candidates := d.candidates(want, now)
	known := newSurvey(candidates, want)
	better := make(map[string]bool)
	for _, candidate := range candidates {
		if !mayRun(candidate, want) || candidate.Avoided || candidate.Ejected || known.own && foreign(candidate, want) {
			continue
		}
		if policy.WorthMoving(want.Events, outlook, candidate.Outlook, want.Slack) {
			better[candidate.Engine.ID] = true
		}
	}
	return better
}

// TypicalPace returns the median usual pace of a pool's engines, 0 if none is known.
func (d *Directory) TypicalPace(pool string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.paceOf(pool, "", time.Now()).typical
}

// QuickestPace returns the least usual pace of the engines of a pool that serve a model, and are kept up to date for it if any is; 0 if
// none is known.
func (d *Directory) QuickestPace(pool, model string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.paceOf(pool, model, time.Now()).quickest
}

// paceEvery is how often the paces of a pool are looked at: each item asks for them several times a second, and they change with the
// smoothed gaps of many events.
const paceEvery = 100 * time.Millisecond

// poolModel names the engines of a pool that serve a model, all of the pool if that is empty.
type poolModel struct {
	pool, model string
}

// poolPace is what such engines have in common, and when it was looked at.
type poolPace struct {
	survey
	at time.Time
}

// paceOf returns the paces of the engines of a pool that serve a model. The mutex must be held.
func (d *Directory) paceOf(pool, model string, now time.Time) survey {
	key := poolModel{pool, model}
	known, ok := d.paces[key]
	if !ok || now.Sub(known.at) >= paceEvery {
		want := Want{Pool: pool, Model: model, MinVersion: 1}
		known = poolPace{survey: newSurvey(d.candidates(want, now), want), at: now}
		d.paces[key] = known
	}
	return known.survey
}

// candidates returns the engines that are considered for a piece of work and fit it, as they stand. The mutex must be held.
func (d *Directory) candidates(want Want, now time.Time) []Candidate {
	var candidates []Candidate
	dealt := d.dealt[want.Pool]
	d.peers.refresh(now)
	for _, found := range d.considered(want) {
		engine := d.standing(found)
		if !fits(engine, want) {
			continue
		}
		state := found.breaker.State(now)
		trial := state == policy.BreakerHalfOpen
		candidates = append(candidates, Candidate{
			Engine: engine, Dealt: dealt[engine.ID], InFlight: found.inFlight, Elsewhere: d.peers.held[engine.ID],
			Avoided: now.Before(found.avoidUntil), Spared: d.spared(found, want, now),
			Loading: now.Before(found.loading[want.Model]), Outlook: d.outlook(found, now), Latency: found.latency,
			Ejected: state == policy.BreakerOpen || trial && want.NoTrial && !found.breaker.TrialOverdue(now), Trial: trial,
		})
	}
	return candidates
}

// Release counts a piece of work as no longer in flight.
func (d *Directory) Release(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok && found.inFlight > 0 {
		found.inFlight--
		d.changed.Notify()
	}
}

// Paced records the time between two events of a stream.
func (d *Directory) Paced(id string, gap time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		now := time.Now()
		if found.pace.Usual() == 0 {
			found.pace.Seed(d.peers.paces[id])
		}
		found.pace.Add(gap, now)
		found.pacedAt = now
	}
}

// Pace returns the time between events of an engine now, 0 if unknown.
func (d *Directory) Pace(id string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		return found.pace.Value()
	}
	return 0
}

// SmoothedLatency returns the smallest smoothed latency of a pool's engines, 0 if none is known.
func (d *Directory) SmoothedLatency(pool string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var least time.Duration
	for _, found := range d.poolOf(pool).order {
		if found.latency > 0 && (least == 0 || found.latency < least) {
			least = found.latency
		}
	}
	return least
}

func smooth(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return old + time.Duration(smoothing*float64(measured-old))
}
