package gateway

import "sync"

// retryBurst is the capacity of a retry budget: the number of retries that a workload may make beyond its ratio after a
// period without retries.
const retryBurst = 10

// retryBudgets holds a token bucket for each workload. Each request adds a fraction of a token and each retry costs
// one, so that retries stay a limited share of the requests regardless of how many fail.
type retryBudgets struct {
	mu      sync.Mutex
	buckets map[string]float64
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{buckets: make(map[string]float64)}
}

// earn credits one request of a workload; ratio is the allowed number of retries per request.
func (b *retryBudgets) earn(workload string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, known := b.buckets[workload]
	if !known {
		balance = retryBurst
	}
	b.buckets[workload] = min(balance+ratio, retryBurst)
}

// spend takes one token for a retry. It returns false if the budget is exhausted or the workload allows no retries.
func (b *retryBudgets) spend(workload string, ratio float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio <= 0 || b.buckets[workload] < 1 {
		return false
	}
	b.buckets[workload]--
	return true
}
