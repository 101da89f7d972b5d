package policy

import "time"

// Pace measures the time between two events of a stream on one engine. The current pace is the median of the last gaps,
// so that a weight load or a long prompt, which pauses all streams of the engine at once, does not count as slowness.
// The usual pace is the median of the current pace over the last seconds, so that a slowdown by other load on the
// engine's machine changes it only if it lasts. The zero value has no measurements. A Pace is not safe for concurrent
// use.
type Pace struct {
	gaps   [gapWindow]time.Duration
	count  int
	median time.Duration
	stale  bool

	// samples are past values of the current pace, usual is their median.
	samples [sampleWindow]time.Duration
	sampled int
	usual   time.Duration
	// sampledAt is when the last sample was taken and addedAt when the last gap was added. slowedAt is since when the
	// engine has been slower than usual, zero while it is not.
	sampledAt time.Time
	addedAt   time.Time
	slowedAt  time.Time
}

const (
	// gapWindow is the number of gaps that count: more than twice the streams of an engine, which may all pause once.
	gapWindow = 32
	// sampleInterval is the time between two samples: well below the slowdowns of some tenths of a second that samples
	// must show.
	sampleInterval = 100 * time.Millisecond
	// sampleWindow is the number of samples for the usual pace: 6 s of streaming, so that a slowdown of up to 3 s does
	// not change it.
	sampleWindow = 60
	// slowedFactor is the multiple of its usual pace from which an engine counts as slowed. Medians vary by a tenth from
	// one to the next.
	slowedFactor = 1.25
)

// Add records a gap that ended now.
func (p *Pace) Add(gap time.Duration, now time.Time) {
	p.gaps[p.count%gapWindow] = gap
	p.count++
	p.stale = true
	if p.addedAt.IsZero() {
		p.sampledAt = now
	}
	p.addedAt = now
	if now.Sub(p.sampledAt) >= sampleInterval {
		p.sample(now)
	}
}

// sample records the current pace, and whether the engine is slowed.
func (p *Pace) sample(now time.Time) {
	pace := p.Value()
	p.samples[p.sampled%sampleWindow] = pace
	p.sampled++
	p.sampledAt = now
	p.usual = Median(p.samples[:min(p.sampled, sampleWindow)])
	switch {
	case float64(pace) < slowedFactor*float64(p.usual):
		p.slowedAt = time.Time{}
	case p.slowedAt.IsZero():
		p.slowedAt = now
	}
}

// Seed sets the usual pace from the measurement of another process, unless a gap was added before. Samples replace it
// one by one.
func (p *Pace) Seed(usual time.Duration) {
	if p.count > 0 || usual <= 0 {
		return
	}
	for i := range p.samples {
		p.samples[i] = usual
	}
	p.sampled, p.usual = sampleWindow, usual
}

// Value returns the current pace, 0 if nothing was measured.
func (p *Pace) Value() time.Duration {
	if p.stale {
		p.median, p.stale = Median(p.gaps[:min(p.count, gapWindow)]), false
	}
	return p.median
}

// Usual returns the usual pace, 0 if it is not known.
func (p *Pace) Usual() time.Duration {
	if p.usual == 0 {
		return p.Value()
	}
	return p.usual
}

// Forecast returns the pace forecast of the engine. An engine that is faster than usual counts as usual, because events
// that waited for their reader arrive at once. A slowdown counts as over once no gap was added for as long as it had
// lasted.
func (p *Pace) Forecast(now time.Time) Forecast {
	forecast := ConstantPace(p.Usual())
	if p.slowedAt.IsZero() {
		return forecast
	}
	sinceLastGap := now.Sub(p.addedAt)
	if slowed := p.addedAt.Sub(p.slowedAt) - sinceLastGap; slowed > 0 {
		forecast.Current, forecast.SlowedFor = max(p.Value(), forecast.Usual), slowed
	}
	return forecast
}
