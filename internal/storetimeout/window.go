package storetimeout

import "sync"

const (
	// initialWindow is the number of bytes that the first read requests; minWindow and maxWindow limit the window. The minimum is
	// the size of a few records.
	initialWindow = 256 << 10
	minWindow     = 16 << 10
	maxWindow     = 1 << 20
	// windowGrowth is the fraction by which a read that filled the window in time enlarges it once a read has timed out; before
	// that, each such read doubles it.
	windowGrowth = 1.0 / 16
)

// window is the number of bytes that a read requests, chosen so that they are received before the timeout: the bytes of a late
// answer are discarded and requested again. It grows slowly and is halved by each read that times out, like the congestion window
// of TCP.
type window struct {
	mutex sync.Mutex
	// deficit is initialWindow minus the size, so that the zero value is a new window.
	deficit int
	// limited is set once a read has timed out.
	limited bool
}

// size returns the number of bytes to request, at most requested; 0 or less stands for no limit by the caller.
func (w *window) size(requested int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if current := initialWindow - w.deficit; requested <= 0 || requested > current {
		return current
	}
	return requested
}

// recordAnswer notes that a read returned so many bytes in time.
func (w *window) recordAnswer(bytes int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	current := initialWindow - w.deficit
	if bytes < current/2 {
		return
	}
	growth := current
	if w.limited {
		growth = int(windowGrowth * float64(current))
	}
	w.deficit = initialWindow - min(maxWindow, current+growth)
}

// recordTimeout notes that a read which requested so many bytes timed out. Several reads that were sent together count once.
func (w *window) recordTimeout(requested int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if current := initialWindow - w.deficit; requested >= current {
		w.deficit = initialWindow - max(minWindow, current/2)
		w.limited = true
	}
}
