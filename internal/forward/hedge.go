package forward

import "sync"

const (
	// hedgeCreditPerRequest is the share of a hedge that each request earns: on average at most one request in eight is hedged.
	hedgeCreditPerRequest = 0.125
	// maxHedgeCredit is the number of hedges that can be saved up. The budget starts with it.
	maxHedgeCredit = 5.0
)

// hedgeBudget limits how many requests are sent to a second engine because the first is slow, so that hedging cannot double
// the load of a pool whose engines are all slow.
type hedgeBudget struct {
	mutex       sync.Mutex
	initialized bool
	credit      float64
}

func (b *hedgeBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.initialized {
		b.initialized = true
		b.credit = maxHedgeCredit
	}
	b.credit = min(maxHedgeCredit, b.credit+hedgeCreditPerRequest)
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
