package cluster

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/hillfork/hillfork/internal/bundle"
	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
)

const (
	// watchInterval is the time between an operator's looks at each node.
	watchInterval = time.Second
	watchTimeout  = 900 * time.Millisecond
	// rollTimeout bounds one attempt at rolling a bundle through one node.
	rollTimeout = 10 * time.Second
	// rollPause is the time between two attempts.
	rollPause = 500 * time.Millisecond
)

func (c *Cluster) adminOf(process *nodeProcess) hillforkv1connect.AdminServiceClient {
	// Operators of each site look at its own nodes, so that what they see does not hang on the way to other sites.
	adapter := c.adapterFrom(process.zone)
	return hillforkv1connect.NewAdminServiceClient(adapter.HTTPClient(),
		connectadapter.BaseURL(process.address(apiPort)), adapter.ClientOptions()...)
}

// RollBundle proposes a bundle file and signs it for partners (all where none is named), through whichever node answers,
// until ctx ends. A conflict is an outcome, not an error.
func (c *Cluster) RollBundle(ctx context.Context, file string, partners []string) (hillforkv1.BundleState, error) {
	document := c.keys.Fill(c.config.Trace.Bundles[file])
	var lastError error
	for turn := 0; ctx.Err() == nil; turn++ {
		process := c.nodes[turn%len(c.nodes)]
		state, err := c.rollThrough(ctx, process, document, partners)
		if err == nil {
			return state, nil
		}
		lastError = err
		if code := connect.CodeOf(err); code == connect.CodeInvalidArgument || code == connect.CodeFailedPrecondition {
			return hillforkv1.BundleState_BUNDLE_STATE_CONFLICTED, err
		}
		if !sleepUntil(ctx, time.Now().Add(rollPause)) {
			break
		}
	}
	return hillforkv1.BundleState_BUNDLE_STATE_UNSPECIFIED, fmt.Errorf("bundle %s was not rolled: %w", file, lastError)
}

func (c *Cluster) rollThrough(
	ctx context.Context, process *nodeProcess, document []byte, partners []string,
) (hillforkv1.BundleState, error) {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	admin := c.adminOf(process)
	proposed, err := admin.ProposeBundle(ctx, connect.NewRequest(&hillforkv1.ProposeBundleRequest{Document: document}))
	if err != nil {
		return 0, err
	}
	if len(partners) == 0 {
		decoded, err := bundle.Decode(document)
		if err != nil {
			return 0, err
		}
		partners = partnersOf(decoded)
	}
	var state hillforkv1.BundleState
	for _, partner := range partners {
		digest, version, base := proposed.Msg.Digest, proposed.Msg.Version, proposed.Msg.Base
		signed, err := admin.SignBundle(ctx, connect.NewRequest(&hillforkv1.SignBundleRequest{
			Digest: digest, Version: version, Base: base, Partner: partner,
			Signature: c.keys.Sign(partner, digest, version, base),
		}))
		if err != nil {
			return 0, err
		}
		state = signed.Msg.Status.State
	}
	return state, nil
}

// watchBundles looks at the bundle in force on every node, as an operator would, until ctx ends.
func (c *Cluster) watchBundles(ctx context.Context) {
	for _, process := range c.nodes {
		c.running.Go(func() {
			admin := c.adminOf(process)
			for sleepUntil(ctx, time.Now().Add(watchInterval)) {
				c.lookAt(ctx, process, admin)
			}
		})
	}
}

func (c *Cluster) lookAt(ctx context.Context, process *nodeProcess, admin hillforkv1connect.AdminServiceClient) {
	incarnation := process.currentIncarnation()
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := admin.GetBundle(ctx, connect.NewRequest(&hillforkv1.GetBundleRequest{}))
	var version uint64
	switch {
	case err == nil:
		version = answer.Msg.Status.Version
	case connect.CodeOf(err) != connect.CodeNotFound:
		return
	}
	if process.currentIncarnation() != incarnation {
		return // either process may have answered
	}
	seen := check.BundleSeen{Node: process.name, Incarnation: incarnation, Version: version, At: asked}
	c.config.Recorder.Record(func(o *check.Observations) { o.Seen = append(o.Seen, seen) })
}

func (p *nodeProcess) currentIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
