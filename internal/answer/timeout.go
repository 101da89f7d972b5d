package answer

import "time"

const (
	// maxReserve and reserveShare limit the time that InnerTimeout reserves: 1/reserveShare of the remaining time, at
	// most maxReserve.
	maxReserve   = 250 * time.Millisecond
	reserveShare = 4
)

// InnerTimeout returns the timeout that a caller sends with a request to a peer. It is shorter than the remaining time,
// so that the peer's report of the outcome, such as that the request never left the queue, still arrives in time.
func InnerTimeout(remaining time.Duration) time.Duration {
	return remaining - min(maxReserve, remaining/reserveShare)
}

// AllowsRetry reports whether the remaining time is enough to try another engine and receive its response.
func AllowsRetry(remaining time.Duration) bool { return remaining > maxReserve }
