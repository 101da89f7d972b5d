package simnet

import "time"

// deadline is a point in time at which waiting calls are woken. Its users guard it with their own mutex.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// set replaces the deadline; wake is called when it passes.
func (d *deadline) set(at time.Time, wake func()) {
	d.stop()
	d.at = at
	if left := time.Until(at); !at.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, wake)
	}
}

func (d *deadline) passed() bool {
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}
