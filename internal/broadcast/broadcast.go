// Package broadcast notifies any number of goroutines of a change of state. A waiting goroutine gets the channel, checks the
// state, and then waits on the channel, so it does not miss a change between the check and the wait.
package broadcast

// Signal notifies of changes of some state. It is not safe for concurrent use: the lock of that state must guard it.
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

// Notify wakes all goroutines that wait for a change, by closing the current channel.
func (s *Signal) Notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Closed reports whether a channel has been closed. No value may ever be sent on the channel.
func Closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
