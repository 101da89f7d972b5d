package engine

import (
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// LoadMode says how a load ends.
type LoadMode int

// Ends of a load.
const (
	// LoadSucceeds ends on the version asked for.
	LoadSucceeds LoadMode = iota
	// LoadKeepsOld answers an error and stays on the old version.
	LoadKeepsOld
	// LoadUnasked answers success and ends on another version.
	LoadUnasked
	// LoadHalf answers an error and ends on the version asked for.
	LoadHalf
)

// LoadFailure is how the next load ends. Version is that of LoadUnasked.
type LoadFailure struct {
	Mode    LoadMode
	Version uint64
}

// Disorder says how likely, 0 to 1, the sending of a chunk goes wrong in each way.
type Disorder struct {
	// Duplicate sends a chunk twice.
	Duplicate float64
	// Reorder sends a chunk after the one that follows it.
	Reorder float64
	// Stray sends a chunk of another running stream as well.
	Stray float64
}

// faults is how an engine fails at present. It is under the engine's lock.
type faults struct {
	// hang is closed when a hang ends; nil when there is none.
	hang chan struct{}
	// slowness multiplies all times of the model's work.
	slowness     float64
	nextLoad     LoadFailure
	disorder     Disorder
	leavingSince time.Time
}

// Crash cuts off every stream and call, and loses all state. Calls fail until Restart. The owner of the listener breaks
// its connections.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.life.Err() != nil {
		return
	}
	e.endLife()
	if e.tick != nil {
		e.tick.Stop()
	}
	for _, cut := range e.streams {
		cut.outbox.finish(ErrCrashed, true)
	}
	e.running = nil
	e.waiting = nil
	e.streams = make(map[streamKey]*stream)
	e.endHang()
}

// Restart begins a new incarnation, after a crash or at once, on the versions and in the pool of the configuration. It
// has forgotten the newest fence it accepted.
func (e *Engine) Restart() {
	e.Crash()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start()
}

// Hang stops all progress and all answers until Resume or Crash.
func (e *Engine) Hang() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.hang != nil {
		return
	}
	e.advance()
	e.faults.hang = make(chan struct{})
	e.plan()
}

// Resume ends a hang. Time spent hanging is lost.
func (e *Engine) Resume() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.hang == nil {
		return
	}
	e.advance()
	e.endHang()
	e.settle()
}

func (e *Engine) endHang() {
	if e.faults.hang != nil {
		close(e.faults.hang)
		e.faults.hang = nil
	}
}

// Slow makes the model's work take factor times as long; 1 ends it.
func (e *Engine) Slow(factor float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	e.faults.slowness = factor
	e.settle()
}

// FailNextLoad makes the next load that is accepted end as failure says.
func (e *Engine) FailNextLoad(failure LoadFailure) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults.nextLoad = failure
}

// SetDisorder makes the sending of chunks go wrong from now on; the zero value ends it.
func (e *Engine) SetDisorder(disorder Disorder) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults.disorder = disorder
}

// SetEventLoss loses cache events with probability, 0 to 1, from now on.
func (e *Engine) SetEventLoss(probability float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cache.loss = probability
}

// Leave makes the engine say that it is leaving. LeavingGrace later it refuses new work; running work goes on.
func (e *Engine) Leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.leavingSince.IsZero() {
		e.faults.leavingSince = time.Now()
		e.history.Record(e.status())
	}
}

// disturb returns what is put into a stream's outbox for a chunk. The caller holds the lock.
func (e *Engine) disturb(sender *stream, chunk platform.Chunk) []platform.Chunk {
	disorder := e.faults.disorder
	if disorder == (Disorder{}) && sender.held == nil {
		return []platform.Chunk{chunk}
	}
	if sender.held == nil && !chunk.Finished && e.random.Float64() < disorder.Reorder {
		sender.held = &chunk
		return nil
	}
	chunks := []platform.Chunk{chunk}
	if sender.held != nil {
		chunks = append(chunks, *sender.held)
		sender.held = nil
	}
	if e.random.Float64() < disorder.Duplicate {
		chunks = append(chunks, chunk)
	}
	if stray, ok := e.strayChunk(sender); ok && e.random.Float64() < disorder.Stray {
		chunks = append(chunks, stray)
	}
	return chunks
}

// strayChunk makes a chunk of another running stream.
func (e *Engine) strayChunk(sender *stream) (platform.Chunk, bool) {
	for _, other := range e.running {
		if other == sender || other.produced == other.resumed {
			continue
		}
		last := other.produced - 1
		return platform.Chunk{
			RequestID: other.key.requestID,
			Attempt:   other.key.attempt,
			Index:     last,
			Tokens:    tokensBetween(other.hash, last, other.produced),
			Version:   other.spans[len(other.spans)-1].Version,
		}, true
	}
	return platform.Chunk{}, false
}
