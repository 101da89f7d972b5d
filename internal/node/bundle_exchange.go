package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/membership"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// bundleFactKey is the key of the gossiped fact that holds the newest bundle version and the peer address of a node that
// has it.
const bundleFactKey = "bundle"

const (
	// exchangeGrace is how long a new bundle may take to arrive from the log before it is requested from a peer.
	exchangeGrace = 500 * time.Millisecond
	// exchangeRetry is the delay between rounds of requests to peers.
	exchangeRetry = time.Second
	// exchangeTimeout limits one request to a peer.
	exchangeTimeout = 2 * time.Second
)

// bundleExchange publishes the version of the bundle in force by gossip and fetches newer bundles from peers if they have
// not arrived from the log. A node that is disconnected from the log but not from its peers receives new bundles this way.
type bundleExchange struct {
	follower   *bundle.Follower
	membership *membership.Membership
	caller     peer.Caller
	logger     *log.Logger
}

// register installs the handler that returns the bundle in force to peers.
func (e *bundleExchange) register(registrar peer.Registrar) {
	registrar.HandleUnary(peerapi.MethodGetBundle, func(_ context.Context, decode peer.Decode) (peer.Message, error) {
		var request peerapi.GetBundle
		if err := decode(&request); err != nil {
			return nil, &peer.Error{Code: peer.CodeInvalid, Message: err.Error()}
		}
		proof, found := e.follower.Proof()
		if !found {
			return nil, &peer.Error{Code: peer.CodeNotReady, Message: "no bundle is in force here"}
		}
		return &proof, nil
	})
}

// announce publishes by gossip the version of a bundle that was put in force on this node.
func (e *bundleExchange) announce(accepted *bundle.Accepted) {
	e.membership.SetFact(bundleFactKey, accepted.Bundle.Version, []byte(e.membership.Self().PeerAddress))
}

// run fetches bundles that do not arrive from the log from peers, until ctx ends.
func (e *bundleExchange) run(ctx context.Context) {
	for {
		changed := e.membership.FactsChanged()
		retryDelay := time.Duration(0)
		if source, behind := e.behind(); behind {
			e.waitForLog(ctx)
			retryDelay = exchangeRetry
			if _, still := e.behind(); still {
				e.fetch(ctx, source)
			}
		}
		if !waitForChange(ctx, changed, retryDelay) {
			return
		}
	}
}

// behind reports whether peers have a newer bundle than this node, and returns the peer address of the node that announced
// it.
func (e *bundleExchange) behind() (string, bool) {
	fact, known := e.membership.Fact(bundleFactKey)
	if !known || fact.Version <= e.currentVersion() {
		return "", false
	}
	return string(fact.Value), true
}

func (e *bundleExchange) currentVersion() uint64 {
	if current := e.follower.Current(); current != nil {
		return current.Bundle.Version
	}
	return 0
}

// waitForLog waits until the bundle in force changes, for exchangeGrace at most.
func (e *bundleExchange) waitForLog(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.follower.Changed():
	case <-time.After(exchangeGrace):
	}
}

// fetch requests the bundle from the node that announced it and, if that fails, from a random alive peer.
func (e *bundleExchange) fetch(ctx context.Context, source string) {
	for _, address := range []string{source, e.randomPeer()} {
		if address == "" {
			continue
		}
		err := e.fetchFrom(ctx, address)
		if err == nil {
			return
		}
		errorlog.Warn(e.logger, "failed to fetch bundle from peer", err, "peer", address)
	}
}

func (e *bundleExchange) fetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var proof peerapi.BundleProof
	if err := e.caller.Call(ctx, address, peerapi.MethodGetBundle, &peerapi.GetBundle{}, &proof); err != nil {
		return err
	}
	return e.follower.Learn(proof)
}

// randomPeer returns the address of a random alive peer; empty if there is none.
func (e *bundleExchange) randomPeer() string {
	var addresses []string
	self := e.membership.Self()
	for _, member := range e.membership.Members() {
		if member.State == membership.StateAlive && member.Node != self.Node {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// waitForChange waits until changed is closed or, if timeout is not zero, until timeout has passed. It returns false if ctx
// ended.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	var timer <-chan time.Time
	if timeout > 0 {
		timer = time.After(timeout)
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-timer:
		return true
	}
}
