package dispatch

import (
	"context"
	"strings"
	"sync"

	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

func preferenceOf(machine platform.Machine) placement.Preference {
	return placement.Preference{Zone: machine.Zone, Region: machine.Region}
}

// notOwner returns the refusal of a call for an engine that another node dispatches for, with the owner's address if
// placement knows it.
func (d *Dispatcher) notOwner(engine string) error {
	refusal := &peer.Error{Code: peer.CodeNotOwner, Message: "engine " + engine + " is dispatched elsewhere"}
	for _, machine := range d.config.Directory.Engines("") {
		if machine.ID != engine {
			continue
		}
		member, found := d.config.Placer.Owner(EngineKey(engine), preferenceOf(machine))
		if found && member.Node == d.config.Placer.Self().Node {
			return &peer.Error{
				Code: peer.CodeNotReady, Message: "engine is being taken over", RetryAfter: d.config.Timing.RetryMin,
			}
		}
		refusal.OwnerHint = member.PeerAddress
	}
	return refusal
}

// Handover drains the work at the engine of a shard stream that is about to be released, and ignores streams of other
// kinds. It returns when nothing is in flight, or when the context ends.
func (d *Dispatcher) Handover(ctx context.Context, stream string) {
	engine, isEngine := strings.CutPrefix(stream, EngineStreamPrefix)
	if !isEngine {
		return
	}
	if owner := d.owner(engine); owner != nil {
		if err := owner.drain(ctx); err != nil {
			errorlog.Warn(owner.logger, "engine is handed over with work in flight", err, "requests", owner.requestCount())
		}
	}
}

// Drain performs a planned stop: engines accept no new work on this node, training samples are handed back, requests in
// flight finish, finished samples are submitted, and the shards are released. It returns nil once nothing is left. If
// the context ends first, the remaining work continues until Run's context ends, and the error has the number of
// requests in flight.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mutex.Lock()
	d.draining = true
	d.mutex.Unlock()
	var group sync.WaitGroup
	for _, owner := range d.allOwners() {
		group.Go(func() { _ = owner.drain(ctx) })
	}
	group.Wait()
	for ctx.Err() == nil {
		wake := d.wake.changed()
		if d.empty() {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-wake:
		}
	}
	requests := 0
	for _, owner := range append(d.allOwners(), d.lingeringOwners()...) {
		requests += owner.requestCount()
	}
	return oops.With("requests", requests).Wrapf(ctx.Err(), "drain engine dispatchers")
}
