package forward

import "sync"

const (
	// hedgeEarned is how much of a hedge each request earns: at most one request in eight is sent twice for slowness.
	hedgeEarned = 0.125
	hedgeSaved  = 5.0
)

// hedgeBudget bounds how many requests are sent to a second engine because the first is slow, so that hedging cannot double
// the load of a pool that is slow as a whole.
type hedgeBudget struct {
	mutex  sync.Mutex
	spent  bool
	credit float64
}

func (b *hedgeBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.spent {
		b.spent = true
		b.credit = hedgeSaved
	}
	b.credit = min(hedgeSaved, b.credit+hedgeEarned)
}

func (b *hedgeBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
