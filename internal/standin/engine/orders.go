package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// Load reads weights and swaps to them. Decoding goes on under the old version during the transfer, pauses for the
// swap, and goes on under the new one. Once accepted, an order goes on when its caller gives up.
func (e *Engine) Load(ctx context.Context, order platform.LoadOrder) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	life, failure, err := e.acceptLoad(order)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- e.load(life, order, failure) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) acceptLoad(order platform.LoadOrder) (context.Context, LoadFailure, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.acceptFence(order.Fence); err != nil {
		return nil, LoadFailure{}, err
	}
	e.loading[order.Model] = order.Fence
	failure := e.faults.nextLoad
	e.faults.nextLoad = LoadFailure{}
	return e.life, failure, nil
}

// acceptFence refuses orders that are not above the newest accepted. The caller holds the lock.
func (e *Engine) acceptFence(fence platform.Fence) error {
	newer := fence.Epoch > e.fence.Epoch || fence.Epoch == e.fence.Epoch && fence.Sequence > e.fence.Sequence
	if !newer {
		return fmt.Errorf("%w: %+v is not above %+v", platform.ErrStaleOrder, fence, e.fence)
	}
	e.fence = fence
	return nil
}

func (e *Engine) load(life context.Context, order platform.LoadOrder, failure LoadFailure) error {
	if e.alreadyServes(order) && failure.Mode == LoadSucceeds {
		return nil
	}
	if err := e.transfer(life, order); err != nil {
		return err
	}
	if failure.Mode == LoadKeepsOld {
		return ErrLoadFailed
	}
	version := order.Version
	if failure.Mode == LoadUnasked {
		version = failure.Version
	}
	if err := e.swap(life, order, version); err != nil {
		return err
	}
	if failure.Mode == LoadHalf {
		return ErrLoadFailed
	}
	return nil
}

func (e *Engine) alreadyServes(order platform.LoadOrder) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	version, ok := e.served[order.Model]
	return ok && version == order.Version
}

func (e *Engine) transfer(life context.Context, order platform.LoadOrder) error {
	if e.config.Weights == nil {
		return nil
	}
	err := e.config.Weights.Read(life, order.Model, order.Version, e.config.ID)
	if life.Err() != nil {
		return ErrCrashed
	}
	return err
}

// swap pauses decoding and changes the version, unless a newer order for the model has come.
func (e *Engine) swap(life context.Context, order platform.LoadOrder, version uint64) error {
	if err := e.beginSwap(life, order, version); err != nil {
		return err
	}
	if err := fault.Sleep(life, e.config.SwapPause); err != nil {
		return ErrCrashed
	}
	return nil
}

// beginSwap changes the version at once and pauses decoding, so that nothing is produced before the pause is over.
func (e *Engine) beginSwap(life context.Context, order platform.LoadOrder, version uint64) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if life.Err() != nil {
		return ErrCrashed
	}
	if e.loading[order.Model] != order.Fence {
		return fmt.Errorf("%w: a newer load of the model began meanwhile", platform.ErrStaleOrder)
	}
	e.advance()
	e.sendAll()
	e.served[order.Model] = version
	e.pausedUntil = later(e.pausedUntil, time.Now().Add(e.config.SwapPause))
	e.settle()
	return nil
}

// SetPool changes the pool that the engine reports.
func (e *Engine) SetPool(ctx context.Context, fence platform.Fence, pool string) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.acceptFence(fence); err != nil {
		return err
	}
	e.pool = pool
	e.history.Record(e.status())
	return nil
}
