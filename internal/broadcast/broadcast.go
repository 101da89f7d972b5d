// Package broadcast tells any number of goroutines that something has changed. Whoever waits takes the channel, looks at the
// state, and then waits on the channel: a change between the look and the wait is not missed.
package broadcast

// Signal tells changes. It is not safe for concurrent use: the lock of the state that it tells of guards it.
type Signal struct {
	changed chan struct{}
}

// New returns a signal.
func New() Signal {
	return Signal{changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (s *Signal) Changed() <-chan struct{} {
	return s.changed
}

// Notify tells a change.
func (s *Signal) Notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Closed tells whether a channel that carries nothing has been closed.
func Closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
