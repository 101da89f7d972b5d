package jobrun

import "time"

// Metrics holds the callbacks to which runners report durations. A nil field is not called.
type Metrics struct {
	// FirstEvent is the time from a job's acceptance to the first event of an item.
	FirstEvent func(time.Duration)
	// Listed is the time from an item's last event to its listing.
	Listed func(time.Duration)
	// Resumed is the time from the end of a broken run to the first event of the next.
	Resumed func(time.Duration)
	// Moved is called for each run that moves off an engine that leaves.
	Moved func()
}

func (m *Metrics) firstEvent(d time.Duration) {
	if m != nil && m.FirstEvent != nil {
		m.FirstEvent(d)
	}
}

func (m *Metrics) listed(d time.Duration) {
	if m != nil && m.Listed != nil {
		m.Listed(d)
	}
}

func (m *Metrics) resumed(d time.Duration) {
	if m != nil && m.Resumed != nil {
		m.Resumed(d)
	}
}

func (m *Metrics) moved() {
	if m != nil && m.Moved != nil {
		m.Moved()
	}
}
