package ingress

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// bodyMemoryShare is the part of the process's memory that large bodies of callers may take together; an answer and a copy
	// for the engine come on top of each.
	bodyMemoryShare = 0.15
	// SmallBody is the size in bytes up to which a body is not counted: descriptors bound how many there are.
	SmallBody = 64 << 10
	// bodyWaitTimeout is how long a large body waits for others to go.
	bodyWaitTimeout = 500 * time.Millisecond
)

// bodyBudget bounds the memory that large bodyBudget take.
type bodyBudget struct {
	free  *semaphore.Weighted
	total int64
}

func newBodyBudget(memory int64) *bodyBudget {
	total := max(SmallBody, int64(bodyMemoryShare*float64(memory)))
	return &bodyBudget{free: semaphore.NewWeighted(total), total: total}
}

// ReserveBody reserves memory for a body of a size in bytes, -1 if it is over SmallBody and its size is not known. It returns false
// if there is none in time: the request is then refused before it is read whole. release gives the memory back.
func (i *Ingress) ReserveBody(ctx context.Context, size int64) (release func(), ok bool) {
	if size >= 0 && size <= SmallBody {
		return func() {}, true
	}
	if limit := i.Limits().MaxBodyBytes; size < 0 || limit > 0 && size > limit {
		size = max(limit, SmallBody)
	}
	size = min(size, i.bodies.total)
	ctx, cancel := context.WithTimeout(ctx, bodyWaitTimeout)
	defer cancel()
	if i.bodies.free.Acquire(ctx, size) != nil {
		i.config.Logger.Warn("large body refused, others take the memory", "bytes", size)
		return nil, false
	}
	return func() { i.bodies.free.Release(size) }, true
}
