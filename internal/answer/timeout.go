package answer

import "time"

const (
	// mostReserve and reserveShare bound what InnerTimeout keeps back.
	mostReserve  = 250 * time.Millisecond
	reserveShare = 4
)

// InnerTimeout is the timeout that the side which waits for an answer tells the side which gives it. It is shorter than
// what remains, so that the other side's word on what became of the request, such as that it never left the queue, still
// arrives in time.
func InnerTimeout(remaining time.Duration) time.Duration {
	return remaining - min(mostReserve, remaining/reserveShare)
}

// AllowsRetry tells whether what remains is enough to ask another engine, and to hear of it.
func AllowsRetry(remaining time.Duration) bool { return remaining > mostReserve }
