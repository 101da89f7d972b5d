package accounting

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// MachineList wraps the platform's machine list and counts its reads.
type MachineList struct {
	Next     platform.MachineList
	Counters *Counters
}

// List returns the machine list, and counts its lines by the size of their fields.
func (l MachineList) List(ctx context.Context) ([]platform.Machine, error) {
	l.Counters.Sent(Machines, entryOverhead)
	list, err := l.Next.List(ctx)
	total := entryOverhead
	for _, machine := range list {
		total += len(machine.ID) + len(machine.Kind) + len(machine.Address) + len(machine.Zone) + len(machine.Region) +
			len(machine.Pool) + len(machine.State) + entryOverhead
	}
	l.Counters.Received(Machines, total)
	return list, err
}

// EngineDialer wraps the platform's dialer and counts the control calls to engines that it opens.
type EngineDialer struct {
	Next     platform.EngineDialer
	Counters *Counters
}

// Engine returns the engine at address.
func (d EngineDialer) Engine(address string) platform.Engine {
	return engine{Engine: d.Next.Engine(address), counters: d.Counters}
}

// engine counts control calls; token streams are data traffic and not counted here.
type engine struct {
	platform.Engine
	counters *Counters
}

const (
	statusFixedBytes = 64
	servedEntryBytes = 16
	cacheEventBytes  = 24
)

func (e engine) Status(ctx context.Context) (platform.EngineStatus, error) {
	e.counters.Sent(EngineState, entryOverhead)
	status, err := e.Engine.Status(ctx)
	e.counters.Received(EngineState, statusFixedBytes+len(status.Served)*servedEntryBytes)
	return status, err
}

func (e engine) CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]platform.CacheEvent, error) {
	e.counters.Sent(EngineState, entryOverhead)
	events, err := e.Engine.CacheEvents(ctx, after, wait)
	e.counters.Received(EngineState, entryOverhead+len(events)*cacheEventBytes)
	return events, err
}

func (e engine) Load(ctx context.Context, order platform.LoadOrder) error {
	e.counters.Sent(Weights, entryOverhead+len(order.Model))
	err := e.Engine.Load(ctx, order)
	e.counters.Received(Weights, entryOverhead)
	return err
}
