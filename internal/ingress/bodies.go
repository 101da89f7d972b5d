package ingress

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// bodiesShare is the part of the process's memory that large bodies of callers may take together; an answer and a copy
	// for the engine come on top of each.
	bodiesShare = 0.15
	// SmallBody is the size in bytes up to which a body is not counted: descriptors bound how many there are.
	SmallBody = 64 << 10
	// bodiesPatience is how long a large body waits for others to go.
	bodiesPatience = 500 * time.Millisecond
)

// bodies bounds the memory that large bodies take.
type bodies struct {
	room  *semaphore.Weighted
	total int64
}

func newBodies(memory int64) *bodies {
	total := max(SmallBody, int64(bodiesShare*float64(memory)))
	return &bodies{room: semaphore.NewWeighted(total), total: total}
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
	ctx, cancel := context.WithTimeout(ctx, bodiesPatience)
	defer cancel()
	if i.bodies.room.Acquire(ctx, size) != nil {
		i.config.Logger.Warn("large body refused, others take the memory", "bytes", size)
		return nil, false
	}
	return func() { i.bodies.room.Release(size) }, true
}
