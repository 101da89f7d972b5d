package engine

import (
	"io"
	"math"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// tokenTolerance absorbs rounding when credits are summed up.
const tokenTolerance = 1e-6

// stepSeconds is the time of one decode step. The caller holds the lock.
func (e *Engine) stepSeconds() float64 {
	step := e.config.BaseStep + time.Duration(len(e.running))*e.config.PerStreamStep
	return step.Seconds() * e.faults.slowness
}

// advance works out progress up to now under the batch as it stands, and ends streams that are whole. Everything that
// changes the batch, the versions or the speed calls it first. The caller holds the lock.
func (e *Engine) advance() {
	now := time.Now()
	from := later(e.advancedTo, e.pausedUntil)
	e.advancedTo = now
	if e.faults.hang != nil || !now.After(from) {
		return
	}
	elapsed := now.Sub(from).Seconds()
	step := e.stepSeconds()
	for _, running := range slices.Clone(e.running) {
		e.progress(running, elapsed, step)
		if running.whole() {
			e.send(running)
			e.remove(running)
			running.outbox.finish(io.EOF, false)
		}
	}
}

// progress gives one stream its elapsed seconds: prefill first, then one token per step.
func (e *Engine) progress(running *stream, elapsed, step float64) {
	spent := min(running.prefill, elapsed)
	running.prefill -= spent
	running.credit += (elapsed - spent) / step
	count := int(running.credit + tokenTolerance)
	running.credit = max(running.credit-float64(count), 0)
	index := running.produced
	count = running.produce(count, e.served[running.model])
	if count > 0 && e.config.Observer != nil {
		e.config.Observer.Produced(e.config.ID, running.key.requestID, running.key.attempt, index, count, e.served[running.model])
	}
}

// settle fills free slots, then plans the next tick. Everything that has called advance calls it at the end. The caller
// holds the lock.
func (e *Engine) settle() {
	e.preempt()
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.run(next)
	}
	e.plan()
	e.history.Record(e.status())
}

// run gives a stream a slot and works out its prefill.
func (e *Engine) run(next *stream) {
	if !next.started {
		next.started = true
		if e.config.Observer != nil {
			e.config.Observer.Started(e.config.ID, next.key.requestID, next.key.attempt, next.hash, time.Now())
		}
	}
	uncached := e.cache.admit(next.prompt) + next.produced
	if e.imports.take(next) {
		uncached = 0
	}
	next.prefill = float64(uncached) * e.config.PrefillPerToken.Seconds() * e.faults.slowness
	e.running = append(e.running, next)
}

// preempt sends the last of the running streams back to wait for each waiting stream of higher priority that has no
// slot. They keep their tokens.
func (e *Engine) preempt() {
	if e.config.NoPreemption {
		return
	}
	for _, candidate := range slices.Clone(e.waiting) {
		if len(e.running) < e.config.Slots {
			return
		}
		victim := slices.MaxFunc(e.running, compareStreams)
		if victim.priority >= candidate.priority {
			return
		}
		e.send(victim)
		e.running = slices.DeleteFunc(e.running, func(other *stream) bool { return other == victim })
		e.waiting = slices.DeleteFunc(e.waiting, func(other *stream) bool { return other == candidate })
		e.enqueue(victim)
		e.run(candidate)
	}
}

// onTick sends what the running streams have produced.
func (e *Engine) onTick() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.life.Err() != nil {
		return
	}
	e.advance()
	if !time.Now().Before(e.nextTick) {
		e.sendAll()
		e.nextTick = time.Now().Add(e.config.ChunkInterval)
	}
	e.settle()
}

// sendAll sends what every running stream has produced. The caller holds the lock.
func (e *Engine) sendAll() {
	for _, running := range e.running {
		e.send(running)
	}
}

// send puts what a stream has produced into its outbox, through the faults of delivery.
func (e *Engine) send(sender *stream) {
	if sender.sent == sender.produced && !sender.whole() {
		return
	}
	chunk := sender.unsent(e.served[sender.model])
	e.deliver(sender, chunk)
}

// plan sets the timer to the next chunk interval or the earliest end of a stream, whichever comes first.
func (e *Engine) plan() {
	if e.tick != nil {
		e.tick.Stop()
	}
	if len(e.running) == 0 || e.faults.hang != nil || e.life.Err() != nil {
		return
	}
	now := time.Now()
	if e.nextTick.Before(now) {
		e.nextTick = now.Add(e.config.ChunkInterval)
	}
	wake := e.nextTick
	if end := e.earliestEnd(now); end.Before(wake) {
		wake = end
	}
	e.tick = time.AfterFunc(wake.Sub(now), e.onTick)
}

func (e *Engine) earliestEnd(now time.Time) time.Time {
	step := e.stepSeconds()
	least := math.Inf(1)
	for _, running := range e.running {
		remaining := float64(running.length-running.produced) - running.credit
		least = min(least, running.prefill+remaining*step)
	}
	// One nanosecond more than needed, so that rounding never falls short of the last token.
	return later(now, e.pausedUntil).Add(time.Duration(least*float64(time.Second)) + 1)
}

// deliver passes a chunk on, or doubles, reorders, delays or strays it as the faults say.
func (e *Engine) deliver(sender *stream, chunk platform.Chunk) {
	sender.outbox.put(e.disturb(sender, chunk)...)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
