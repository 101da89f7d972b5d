// Package uptime tells how long the machine has been suspended. The steady clock of the process, by which package time measures and its
// timers run, stands still meanwhile, so that whoever must not act on something old has to add that time to its age.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// leastSuspension is the shortest suspension that counts. Whatever must not act on something old allows for more than that.
	leastSuspension = 10 * time.Millisecond
	// readings bounds how often the clocks are read anew because the process was interrupted between them, readingMost how long one
	// reading may take: a few system calls.
	readings    = 4
	readingMost = time.Millisecond
)

// Suspended returns how long the machine has been suspended since it booted, 0 where the kernel doesn't tell.
func Suspended() time.Duration {
	for reading := 1; ; reading++ {
		before, _ := read(unix.CLOCK_MONOTONIC)
		whole, ok := read(unix.CLOCK_BOOTTIME)
		after, _ := read(unix.CLOCK_MONOTONIC)
		switch {
		case !ok:
			return 0
		case after-before < readingMost || reading == readings:
			return whole - after
		}
	}
}

// Between returns how long the machine was suspended between two readings of Suspended.
func Between(then, now time.Duration) time.Duration {
	if now-then < leastSuspension {
		return 0
	}
	return now - then
}

// Meter tells how long the machine has been suspended, as Suspended does.
type Meter func() time.Duration

// Mark returns the mark of this moment.
func (m Meter) Mark() Mark {
	return Mark{at: time.Now(), suspended: m(), meter: m}
}

// Mark is a moment that keeps its age over suspensions. The zero value is no moment.
type Mark struct {
	at        time.Time
	suspended time.Duration
	meter     Meter
}

// IsZero tells whether the mark is no moment.
func (m Mark) IsZero() bool {
	return m.at.IsZero()
}

// Moved returns the mark at another moment. A suspension since the mark counts as one since that moment too.
func (m Mark) Moved(at time.Time) Mark {
	m.at = at
	return m
}

// At returns when the mark was, by the steady clock as it runs now: a suspension since then moves it back. It is the zero time for no
// moment.
func (m Mark) At() time.Time {
	if m.IsZero() {
		return time.Time{}
	}
	return m.at.Add(-Between(m.suspended, m.meter()))
}

// Age is how long ago the mark was, time in suspension included.
func (m Mark) Age() time.Duration {
	return time.Since(m.At())
}

func read(clock int32) (time.Duration, bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
