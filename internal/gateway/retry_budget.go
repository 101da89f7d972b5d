package gateway

import "sync"

// retryBurst is how many retries a workload may make beyond its ratio after a quiet time.
const retryBurst = 10

// retryBudgets holds a token bucket for each workload. Every request earns a part of a token, every retry costs one, so
// that retries stay a bounded part of the requests however many fail.
type retryBudgets struct {
	mu      sync.Mutex
	buckets map[string]float64
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{buckets: make(map[string]float64)}
}

// earn credits one request of a workload whose retries may be ratio of its requests.
func (b *retryBudgets) earn(workload string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, known := b.buckets[workload]
	if !known {
		balance = retryBurst
	}
	b.buckets[workload] = min(balance+ratio, retryBurst)
}

// spend takes one retry; false says that the budget is spent, or that the workload allows none.
func (b *retryBudgets) spend(workload string, ratio float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio <= 0 || b.buckets[workload] < 1 {
		return false
	}
	b.buckets[workload]--
	return true
}
