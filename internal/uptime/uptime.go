// Package uptime measures how long the machine has been suspended. The monotonic clock, on which package time bases durations and timers,
// does not advance during a suspension, so code that must not act on outdated state has to add the suspended time to the age of that state.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the shortest suspension that is counted. Code that must not act on outdated state has a larger safety margin.
	minSuspension = 10 * time.Millisecond
	// maxReadings limits how often the clocks are read because the process was interrupted between the system calls of a reading.
	// maxReadDuration is the limit of one reading, which takes a few system calls.
	maxReadings     = 4
	maxReadDuration = time.Millisecond
)

// Suspended returns how long the machine has been suspended since it booted, 0 if the kernel does not report it.
func Suspended() time.Duration {
	for reading := 1; ; reading++ {
		before, _ := read(unix.CLOCK_MONOTONIC)
		bootTime, ok := read(unix.CLOCK_BOOTTIME)
		after, _ := read(unix.CLOCK_MONOTONIC)
		switch {
		case !ok:
			return 0
		case after-before < maxReadDuration || reading == maxReadings:
			return bootTime - after
		}
	}
}

// Between returns how long the machine was suspended between two results of Suspended, 0 if for less than minSuspension.
func Between(earlier, now time.Duration) time.Duration {
	if now-earlier < minSuspension {
		return 0
	}
	return now - earlier
}

// Meter returns how long the machine has been suspended since it booted, as Suspended does.
type Meter func() time.Duration

// Mark returns a mark of the current time.
func (m Meter) Mark() Mark {
	return Mark{at: time.Now(), suspended: m(), meter: m}
}

// Mark is a point in time whose age includes suspensions of the machine. The zero value is unset.
type Mark struct {
	at        time.Time
	suspended time.Duration
	meter     Meter
}

// IsZero reports whether the mark is unset.
func (m Mark) IsZero() bool {
	return m.at.IsZero()
}

// Moved returns the mark with another time. A suspension since the mark was made also counts as one since the new time.
func (m Mark) Moved(at time.Time) Mark {
	m.at = at
	return m
}

// At returns the time of the mark on the current monotonic clock, moved back by the suspensions since then. It returns the zero time for
// an unset mark.
func (m Mark) At() time.Time {
	if m.IsZero() {
		return time.Time{}
	}
	return m.at.Add(-Between(m.suspended, m.meter()))
}

// Age returns the time since the mark, including suspensions.
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
