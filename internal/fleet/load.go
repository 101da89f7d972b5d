package fleet

import "time"

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
	picked, ok := Pick(d.candidates(want, now), want)
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

// Better tells whether an engine that is not slow has room for work that runs on a slow one.
func (d *Directory) Better(id string, want Want) bool {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current, ok := d.engines[id]
	if !ok || current.pace == 0 {
		return false
	}
	candidates := d.candidates(want, now)
	typical := medianPace(candidates)
	if typical == 0 || float64(current.pace) <= slowFactor*float64(typical) {
		return false
	}
	picked, found := Pick(candidates, want)
	return found && picked.Engine.ID != id && !picked.Avoided && float64(picked.Pace) <= slowFactor*float64(typical)
}

func (d *Directory) candidates(want Want, now time.Time) []Candidate {
	candidates := make([]Candidate, 0, len(d.engines))
	for _, found := range d.engines {
		if found.engine.Pool != want.Pool {
			continue
		}
		candidates = append(candidates, Candidate{
			Engine: found.engine, InFlight: found.inFlight, Avoided: now.Before(found.avoidUntil),
			Loading: now.Before(found.loading[want.Model]), Pace: found.pace, Latency: found.latency,
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
		found.pace = smooth(found.pace, gap)
	}
}

// Pace returns the smoothed time between events of an engine, 0 if unknown.
func (d *Directory) Pace(id string) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		return found.pace
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
