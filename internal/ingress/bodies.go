package ingress

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/inbound"
	"golang.org/x/sync/semaphore"
)

const (
	// bodyMemoryShare is the share of the process's memory that large request bodies may use together. Each of them needs
	// additional memory for the response and for a copy sent to the engine.
	bodyMemoryShare = 0.15
	// SmallBodyBytes is the size up to which a body is not counted. The limit on file descriptors limits the number of these bodies.
	SmallBodyBytes = 64 << 10
	// bodyWaitTimeout is how long a large body waits for memory that other bodies release.
	bodyWaitTimeout = 500 * time.Millisecond
)

// bodyBudget limits the memory that large request bodies use.
type bodyBudget struct {
	free  *semaphore.Weighted
	total int64
}

func newBodyBudget(memory int64) *bodyBudget {
	total := max(SmallBodyBytes, int64(bodyMemoryShare*float64(memory)))
	return &bodyBudget{free: semaphore.NewWeighted(total), total: total}
}

// BodyLimit returns the maximum size in bytes of a request's body under a configuration, which may state none.
func BodyLimit(limits catalog.Limits) int64 {
	if limits.MaxBodyBytes > 0 {
		return limits.MaxBodyBytes
	}
	return inbound.CallerBody.Limit()
}

// ReserveBody reserves memory for a body of size bytes, or -1 for a body over SmallBodyBytes of unknown size. ok is false if no memory
// becomes free in time; the caller then refuses the request before it reads the complete body. release returns the memory.
func (i *Ingress) ReserveBody(ctx context.Context, size int64) (release func(), ok bool) {
	if size >= 0 && size <= SmallBodyBytes {
		return func() {}, true
	}
	if limit := BodyLimit(i.Limits()); size < 0 || size > limit {
		size = max(limit, SmallBodyBytes)
	}
	size = min(size, i.bodyBudget.total)
	ctx, cancel := context.WithTimeout(ctx, bodyWaitTimeout)
	defer cancel()
	if i.bodyBudget.free.Acquire(ctx, size) != nil {
		i.config.Logger.Warn("large body refused, others take the memory", "bytes", size)
		return nil, false
	}
	return func() { i.bodyBudget.free.Release(size) }, true
}
