package storetimeout

import "sync"

const (
	// windowFirst is how many bytes a read asks for at first, windowLeast and windowMost bound it. The least is a few records.
	windowFirst = 256 << 10
	windowLeast = 16 << 10
	windowMost  = 1 << 20
	// windowGrowth is the part of the window by which a read that was filled in time widens it, once one was too late; before that it doubles.
	windowGrowth = 1.0 / 16
)

// window is how many bytes a read asks for, as many as come before it is given up: what came of an answer that is late is lost, and asked
// for again. It widens slowly and halves with each read that was too late, as TCP's does.
type window struct {
	mutex sync.Mutex
	// missing is windowFirst less the size, so that the zero value is a new window.
	missing int
	// limited says that a read was too late.
	limited bool
}

// size returns how many bytes to ask for, at most so many as the caller wants; 0 stands for no wish.
func (w *window) size(wanted int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if current := windowFirst - w.missing; wanted <= 0 || wanted > current {
		return current
	}
	return wanted
}

// answered takes that a read brought so many bytes in time.
func (w *window) answered(bytes int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	current := windowFirst - w.missing
	if bytes < current/2 {
		return
	}
	growth := current
	if w.limited {
		growth = int(windowGrowth * float64(current))
	}
	w.missing = windowFirst - min(windowMost, current+growth)
}

// expired takes that a read which asked for so many bytes was too late. Several that were sent together count once.
func (w *window) expired(asked int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if current := windowFirst - w.missing; asked >= current {
		w.missing = windowFirst - max(windowLeast, current/2)
		w.limited = true
	}
}
