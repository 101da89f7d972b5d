package fleet

import (
	"slices"
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
	picked, ok := Pick(d.candidates(want, now), want, now)
	if !ok {
		return Engine{}, false
	}
	d.engines[picked.Engine.ID].inFlight++
	return picked.Engine, true
}

// Exists tells whether any engine may run the work, with or without room.
func (d *Directory) Exists(want Want) bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, candidate := range d.candidates(want, now) {
		if mayRun(candidate, want) {
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
		key := kind{want.Pool, want.Model, want.MinVersion, want.ExactVersion}
		found, ok := surveys[key]
		if !ok {
			found = newSurveyed(d.candidates(want, now), want)
			surveys[key] = found
		}
		place, ok := choose(found.room, found.known, want, now)
		if !ok {
			continue
		}
		given[i] = found.room[place].Engine
		d.engines[given[i].ID].inFlight++
		found.take(place, want)
	}
	return given
}

// kind is what pieces of work have in common that the same engines may run.
type kind struct {
	pool, model       string
	minVersion, exact int64
}

// surveyed holds the engines with room for work of one kind.
type surveyed struct {
	known survey
	room  []Candidate
}

func newSurveyed(candidates []Candidate, want Want) *surveyed {
	want.Exclude = nil
	found := &surveyed{known: newSurvey(candidates, want)}
	for _, candidate := range candidates {
		if mayRun(candidate, want) && hasRoom(candidate, want) {
			found.room = append(found.room, candidate)
		}
	}
	return found
}

// take counts work at the engine at a place.
func (s *surveyed) take(place int, want Want) {
	s.room[place].InFlight++
	if !hasRoom(s.room[place], want) {
		s.room = slices.Delete(s.room, place, place+1)
	}
}

// AcquireBetter picks an engine at which work that runs elsewhere ends so much earlier that it is worth moving, and counts it as
// in flight there. Release must follow.
func (d *Directory) AcquireBetter(id string, want Want) (Engine, bool) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current, ok := d.engines[id]
	if !ok || current.pace.Value() == 0 {
		return Engine{}, false
	}
	want.Since = time.Time{}
	want.OwnOnly = true
	want.Exclude = []string{id}
	picked, found := Pick(d.candidates(want, now), want, now)
	if !found || picked.Avoided || picked.Pace == 0 || !policy.WorthMoving(want.Events, current.pace.Value(), picked.Pace) {
		return Engine{}, false
	}
	d.engines[picked.Engine.ID].inFlight++
	return picked.Engine, true
}

// Suitable returns the engines at which a piece of work would end no later than at the quickest one, but for what moving it would
// cost, full or not.
func (d *Directory) Suitable(want Want) map[string]bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	candidates := d.candidates(want, now)
	quickest := newSurvey(candidates, want).quickest
	suitable := make(map[string]bool)
	for _, candidate := range candidates {
		if mayRun(candidate, want) && !candidate.Avoided && !policy.WorthMoving(want.Events, candidate.Pace, quickest) {
			suitable[candidate.Engine.ID] = true
		}
	}
	return suitable
}

// TypicalPace returns the median pace of a pool's engines, 0 if none is known.
func (d *Directory) TypicalPace(pool string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return newSurvey(d.candidates(Want{Pool: pool}, time.Now()), Want{Pool: pool}).typical
}

func (d *Directory) candidates(want Want, now time.Time) []Candidate {
	candidates := make([]Candidate, 0, len(d.engines))
	dealt := d.dealt[want.Pool]
	for _, found := range d.engines {
		if found.engine.Pool != want.Pool {
			continue
		}
		candidates = append(candidates, Candidate{
			Engine: found.engine, Dealt: dealt[found.engine.ID], InFlight: found.inFlight, Avoided: now.Before(found.avoidUntil),
			Loading: now.Before(found.loading[want.Model]), Pace: found.pace.Value(), Latency: found.latency,
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

// Failed records that an engine failed a piece of work; it is tried last for a while.
func (d *Directory) Failed(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok {
		return
	}
	found.avoidUntil = time.Now().Add(min(avoidMax, avoidBase<<min(found.failures, 3)))
	found.failures++
}

// Succeeded records a whole answer and how long it took.
func (d *Directory) Succeeded(id string, latency time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		found.failures = 0
		found.avoidUntil = time.Time{}
		found.latency = smooth(found.latency, latency)
	}
}

// Paced records the time between two events of a stream.
func (d *Directory) Paced(id string, gap time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		found.pace.Add(gap)
	}
}

// Pace returns the time between events of an engine, 0 if unknown.
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
	for _, found := range d.engines {
		if found.engine.Pool == pool && found.latency > 0 && (least == 0 || found.latency < least) {
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
