package simnet

import "time"

// deadline is a time at which blocked calls are woken. The caller's mutex guards it.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// set replaces the deadline; wake is called when it passes.
func (d *deadline) set(at time.Time, wake func()) {
	d.stop()
	d.at = at
	if remaining := time.Until(at); !at.IsZero() && remaining > 0 {
		d.timer = time.AfterFunc(remaining, wake)
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
