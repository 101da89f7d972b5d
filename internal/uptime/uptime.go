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

func read(clock int32) (time.Duration, bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(clock, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
