package simnet

import (
	"io"
	"sync"
	"syscall"
	"time"
)

// link is a stream connection between two ends. Its mutex guards both ends and both directions.
type link struct {
	network *Network
	mu      sync.Mutex
}

// segmentKind is the type of a segment.
type segmentKind uint8

const (
	segmentData segmentKind = iota
	// segmentEnd marks the end of the data.
	segmentEnd
	// segmentReset reports that the sender's end was closed or crashed.
	segmentReset
)

// segment is one transmission.
type segment struct {
	kind segmentKind
	data []byte
	// at is the arrival time if neither a fault nor an earlier segment delays it.
	at time.Time
	// held is set if the sender was paused when the segment was written, and cleared when the sender resumes.
	held bool
}

// pipe is one direction of a link.
type pipe struct {
	link     *link
	from, to *host
	// receiver is the end that reads, sender the one that writes.
	receiver, sender *conn
	// queue holds segments in transit; received holds delivered bytes not yet read.
	queue       []segment
	queuedBytes int
	received    []byte
	// end is the error returned to the reader after received; nil while the stream is open.
	end   error
	timer *time.Timer
	// changed wakes the reader and the writer of this direction.
	changed *sync.Cond
}

func newPipe(l *link, from, to *host) *pipe {
	return &pipe{link: l, from: from, to: to, changed: sync.NewCond(&l.mu)}
}

// freeBytes returns the number of bytes that may be written now.
func (p *pipe) freeBytes() int {
	return p.link.network.options.BufferBytes - p.queuedBytes - len(p.received)
}

// push sends a segment; link.mu is held.
func (p *pipe) push(kind segmentKind, data []byte) {
	n := p.link.network
	at := time.Now().Add(n.transitDelay(p.from, p.to))
	p.queue = append(p.queue, segment{kind: kind, data: data, at: at, held: n.isPaused(p.from)})
	p.queuedBytes += len(data)
	if len(p.queue) == 1 {
		p.pump()
	}
}

// restart resumes delivery after a change of faults. Queued segments arrive one transit delay from now at the earliest.
func (p *pipe) restart() {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	n := p.link.network
	earliest := time.Now().Add(n.transitDelay(p.from, p.to))
	paused := n.isPaused(p.from)
	for i := range p.queue {
		each := &p.queue[i]
		each.held = each.held && paused
		if each.at.Before(earliest) {
			each.at = earliest
		}
	}
	p.pump()
}

// pump delivers the segments that have arrived and sets the timer for the next segment; link.mu is held.
func (p *pipe) pump() {
	now := time.Now()
	delivered := false
	for len(p.queue) > 0 {
		next := p.queue[0]
		if next.at.After(now) {
			p.schedule(next.at.Sub(now))
			break
		}
		if p.link.network.stall(p, next.held) {
			break
		}
		p.queue[0] = segment{}
		p.queue = p.queue[1:]
		p.deliver(next)
		delivered = true
	}
	if delivered {
		p.changed.Broadcast()
	}
}

func (p *pipe) schedule(after time.Duration) {
	if p.timer == nil {
		p.timer = time.AfterFunc(after, p.onTimer)
		return
	}
	p.timer.Reset(after)
}

func (p *pipe) onTimer() {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	p.pump()
}

func (p *pipe) deliver(arrived segment) {
	p.queuedBytes -= len(arrived.data)
	switch arrived.kind {
	case segmentData:
		p.to.traffic.streamReceived.Add(uint64(len(arrived.data)))
		if p.receiver.closed {
			p.receiver.refuseData()
			return
		}
		p.received = append(p.received, arrived.data...)
	case segmentEnd:
		p.finish(io.EOF)
	case segmentReset:
		p.finish(syscall.ECONNRESET)
		p.receiver.failWrites(syscall.ECONNRESET)
	}
}

func (p *pipe) finish(end error) {
	if p.end == nil {
		p.end = end
	}
}

// discard drops all segments in transit; link.mu is held.
func (p *pipe) discard() {
	p.queue = nil
	p.queuedBytes = 0
	if p.timer != nil {
		p.timer.Stop()
	}
}
