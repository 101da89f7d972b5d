package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/samber/oops"
)

// ErrDrainCut is returned when a planned stop cut off work that had not finished within the drain timeout.
var ErrDrainCut = errors.New("drain timeout reached; work in flight was cut off")

// leaveTimeout limits the announcement of a planned stop to the members; if it fails, the stop continues.
const leaveTimeout = 5 * time.Second

// Run serves until ctx ends or Stop is called, and then performs a planned stop: the node reports itself as not ready,
// notifies the members, finishes work in flight and releases its shards. It returns nil after a clean stop, and an error
// that wraps ErrDrainCut if the drain timeout of the settings cut off work.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.cancel = cancel
	defer n.close()
	n.start(background)
	n.logger.Info("node runs", "api", n.APIAddress(), "peer", n.PeerAddress(), "zone", n.config.Settings.Zone)
	select {
	case <-ctx.Done():
	case <-n.stopRequested:
	case err := <-n.failed:
		return err
	}
	if n.config.Mutations.Has(mutation.SkipDrain) {
		return nil
	}
	return n.drain(background)
}

// Stop requests a planned stop, after which Run returns. It may be called more than once.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stopRequested) })
}

// Kill ends the node immediately, as a crash would: it announces, finishes and releases nothing. Tests use it.
func (n *Node) Kill() {
	select {
	case n.failed <- errKilled:
	default:
	}
}

var errKilled = errors.New("node was killed")

func (n *Node) start(ctx context.Context) {
	n.spawn(ctx, "membership", n.membership.Run)
	n.spawn(ctx, "machines", n.directory.Run)
	n.spawn(ctx, "bundle", n.follower.Run)
	n.spawn(ctx, "bundle exchange", func(ctx context.Context) error {
		n.exchange.run(ctx)
		return nil
	})
	n.spawn(ctx, "shards", n.shards.Run)
	n.spawn(ctx, "dispatch", n.dispatcher.Run)
	n.spawn(ctx, "peer server", func(context.Context) error { return n.peerServer.Serve(n.listeners.peer) })
	n.spawn(ctx, "api server", func(context.Context) error { return n.apiServer.Serve(n.connections.Listener(n.listeners.api)) })
	n.spawn(ctx, "metrics server", func(context.Context) error { return n.metrics.Serve(n.listeners.metrics) })
}

// spawn runs one role in a goroutine. If a role ends with an error before the node stops, the node ends too, since it needs
// all its roles.
func (n *Node) spawn(ctx context.Context, role string, run func(context.Context) error) {
	n.running.Go(func() {
		err := run(ctx)
		nodeStopping := ctx.Err() != nil || n.stopping.Load()
		if nodeStopping || err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, peer.ErrClosed) {
			return
		}
		errorlog.Error(n.logger, "role ended with an error", err, "role", role)
		select {
		case n.failed <- oops.With("role", role).Wrap(err):
		default:
		}
	})
}

// drain performs the planned stop. The order matters: new work is refused first, then work in flight is finished, then the
// shards are released, and only then are the connections closed.
func (n *Node) drain(ctx context.Context) error {
	n.stopping.Store(true)
	n.logger.Info("planned stop begins")
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, n.config.Settings.DrainTimeout)
	defer cancel()
	n.announceLeaving(ctx)
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"gateway", n.gateway.Drain},
		{"requests", n.requests.Drain},
		{"dispatch", n.dispatcher.Drain},
		{"shards", n.shards.ReleaseAll},
		{"peer server", n.peerServer.Shutdown},
		{"api server", n.shutdownAPI},
	}
	var cut []error
	for _, step := range steps {
		if err := step.run(ctx); err != nil {
			errorlog.Error(n.logger, "planned stop cut work off", err, "role", step.name)
			cut = append(cut, oops.With("role", step.name).Wrap(errors.Join(ErrDrainCut, err)))
		}
	}
	n.logger.Info("planned stop done", "took", time.Since(started), "cut", len(cut))
	return errors.Join(cut...)
}

func (n *Node) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.membership.Leave(ctx); err != nil {
		errorlog.Warn(n.logger, "failed to announce the planned stop to all members", err)
	}
}

// close ends all components that still run; after a drain there are none. Without a drain, close acts like a crash: the
// shards are abandoned before any component that could release them is stopped.
func (n *Node) close() {
	n.stopping.Store(true)
	n.shards.Close()
	n.cancel()
	_ = n.apiServer.Close()
	_ = n.metrics.Close()
	_ = n.peerServer.Close()
	n.steps.Close()
	n.requests.Close()
	n.peerClient.Close()
	n.running.Wait()
	n.adapter.Close()
}

// APIAddress returns the address at which callers, trainers and operators reach the node.
func (n *Node) APIAddress() string { return n.listeners.api.Addr().String() }

// PeerAddress returns the address at which other nodes call this one.
func (n *Node) PeerAddress() string { return n.listeners.peer.Addr().String() }

// MetricsAddress returns the address that serves /metrics, /healthz and /readyz.
func (n *Node) MetricsAddress() string { return n.listeners.metrics.Addr().String() }

// seeds returns the gossip addresses of the settings or, if there are none, those of the nodes on the machine list. The
// address of a node on that list is its gossip address.
func (n *Node) seeds(context.Context) []string {
	if configured := n.config.Settings.Seeds; len(configured) > 0 {
		return configured
	}
	var addresses []string
	for _, machine := range n.directory.Machines() {
		if machine.Kind != platform.MachineNode {
			continue
		}
		if _, _, err := net.SplitHostPort(machine.Address); err == nil {
			addresses = append(addresses, machine.Address)
		}
	}
	return addresses
}
