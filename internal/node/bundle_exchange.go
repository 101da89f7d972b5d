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

// bundleFactKey is the fact that holds the newest bundle version and the address of a node that has it.
const bundleFactKey = "bundle"

const (
	// exchangeGrace leaves the log time to bring a bundle before a peer is asked for it.
	exchangeGrace = 500 * time.Millisecond
	// exchangeRetry is the pause between peers that could not help.
	exchangeRetry   = time.Second
	exchangeTimeout = 2 * time.Second
)

// bundleExchange spreads the version of the bundle in force by gossip, and fetches from peers a bundle that the log has
// not brought: the way in which a node that is cut off from the log, but not from its peers, learns a new bundle.
type bundleExchange struct {
	follower   *bundle.Follower
	membership *membership.Membership
	caller     peer.Caller
	logger     *log.Logger
}

// register answers peers that ask for the bundle in force.
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

// announce spreads a bundle that came into force here.
func (e *bundleExchange) announce(accepted *bundle.Accepted) {
	e.membership.SetFact(bundleFactKey, accepted.Bundle.Version, []byte(e.membership.Self().PeerAddress))
}

// run fetches from peers what the log does not bring, until ctx ends.
func (e *bundleExchange) run(ctx context.Context) {
	for {
		changed := e.membership.FactsChanged()
		pause := time.Duration(0)
		if source, behind := e.behind(); behind {
			e.waitForLog(ctx)
			pause = exchangeRetry
			if _, still := e.behind(); still {
				e.fetch(ctx, source)
			}
		}
		if !waitForChange(ctx, changed, pause) {
			return
		}
	}
}

// behind tells whether peers know a newer bundle, and the address of one that had it.
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

func (e *bundleExchange) waitForLog(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.follower.Changed():
	case <-time.After(exchangeGrace):
	}
}

// fetch asks the node that announced the bundle, and some other one if that fails.
func (e *bundleExchange) fetch(ctx context.Context, source string) {
	for _, address := range []string{source, e.randomPeer()} {
		if address == "" {
			continue
		}
		err := e.fetchFrom(ctx, address)
		if err == nil {
			return
		}
		errorlog.Warn(e.logger, "bundle not fetched from peer", err, "peer", address)
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

// waitForChange waits until changed is closed, or for pause where that is not zero. False says that ctx has ended.
func waitForChange(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	var timer <-chan time.Time
	if pause > 0 {
		timer = time.After(pause)
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
