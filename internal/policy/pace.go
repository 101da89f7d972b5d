package policy

import "time"

// Pace measures the time between two events of a stream on one engine. The current pace is the median of the last gaps, so that one load
// of weights or one long prompt, at which all streams of the engine pause together, does not count as slowness. The usual pace is the
// median of the current pace over the last seconds, so that a slowdown by other work on the engine's machine changes it only if it
// lasts. The zero value has measured nothing. It is not safe for concurrent use.
type Pace struct {
	gaps   [paceGaps]time.Duration
	count  int
	median time.Duration
	stale  bool

	// samples are past values of the current pace, usual is their median.
	samples [paceSamples]time.Duration
	sampled int
	usual   time.Duration
	// sampledAt is when the last sample was taken, addedAt when the last gap came, slowedAt since when the engine has been slower than
	// usual, zero while it is not.
	sampledAt time.Time
	addedAt   time.Time
	slowedAt  time.Time
}

const (
	// paceGaps is how many gaps count: more than twice the streams of an engine that all pause once.
	paceGaps = 32
	// sampleInterval is the time between two samples: well below the slowdowns of some tenths of a second that samples must show.
	sampleInterval = 100 * time.Millisecond
	// paceSamples is how many samples the usual pace is taken from: 6 s of streaming, so that a slowdown of up to 3 s does not change it.
	paceSamples = 60
	// slowedFactor is how many times its usual pace an engine takes while it is slowed. Paces differ by a tenth from one median to the
	// next.
	slowedFactor = 1.25
)

// Add records a gap that ended now.
func (p *Pace) Add(gap time.Duration, now time.Time) {
	p.gaps[p.count%paceGaps] = gap
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
	p.samples[p.sampled%paceSamples] = pace
	p.sampled++
	p.sampledAt = now
	p.usual = Median(p.samples[:min(p.sampled, paceSamples)])
	switch {
	case float64(pace) < slowedFactor*float64(p.usual):
		p.slowedAt = time.Time{}
	case p.slowedAt.IsZero():
		p.slowedAt = now
	}
}

// Seed sets the usual pace that another process has measured, unless a gap was added before. Samples replace it one by one.
func (p *Pace) Seed(usual time.Duration) {
	if p.count > 0 || usual <= 0 {
		return
	}
	for i := range p.samples {
		p.samples[i] = usual
	}
	p.sampled, p.usual = paceSamples, usual
}

// Value returns the current pace, 0 if nothing was measured.
func (p *Pace) Value() time.Duration {
	if p.stale {
		p.median, p.stale = Median(p.gaps[:min(p.count, paceGaps)]), false
	}
	return p.median
}

// Usual returns the usual pace, 0 if nothing is known.
func (p *Pace) Usual() time.Duration {
	if p.usual == 0 {
		return p.Value()
	}
	return p.usual
}

// Outlook returns what is to be expected of the engine. An engine that is quicker than usual counts as usual: events that waited for
// their reader come at once. A slowdown is over if no gap came since for as long as it had lasted.
func (p *Pace) Outlook(now time.Time) Outlook {
	outlook := Steady(p.Usual())
	if p.slowedAt.IsZero() {
		return outlook
	}
	unheard := now.Sub(p.addedAt)
	if slowed := p.addedAt.Sub(p.slowedAt) - unheard; slowed > 0 {
		outlook.Now, outlook.Slowed = max(p.Value(), outlook.Usual), slowed
	}
	return outlook
}
