package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peerapi"
)

const (
	// adminTimeout limits one administration call.
	adminTimeout = 30 * time.Second
)

// adminService is the administration API.
type adminService struct {
	gateway *Gateway
	// startedAt is when the gateway started. It is reported as the read time of the bundle stream until the first
	// complete read.
	startedAt time.Time
}

func newAdminService(gateway *Gateway) *adminService {
	return &adminService{gateway: gateway, startedAt: time.Now()}
}

// ProposeBundle publishes a bundle proposal.
func (s *adminService) ProposeBundle(
	ctx context.Context, request *connect.Request[v1.ProposeBundleRequest],
) (*connect.Response[v1.ProposeBundleResponse], error) {
	bundles, err := s.bundles()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	proposed, err := bundles.Propose(ctx, request.Msg.GetDocument())
	if err != nil {
		return nil, bundleError(err)
	}
	return connect.NewResponse(&v1.ProposeBundleResponse{
		Digest: proposed.Digest, Version: proposed.Version, Base: proposed.Base,
	}), nil
}

// SignBundle publishes one partner's signature of a proposal.
func (s *adminService) SignBundle(
	ctx context.Context, request *connect.Request[v1.SignBundleRequest],
) (*connect.Response[v1.SignBundleResponse], error) {
	bundles, err := s.bundles()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	message := request.Msg
	status, err := bundles.SignOff(ctx, bundle.SignOff{
		Digest:    message.GetDigest(),
		Version:   message.GetVersion(),
		Base:      message.GetBase(),
		Partner:   message.GetPartner(),
		Signature: message.GetSignature(),
	})
	if err != nil {
		return nil, bundleError(err)
	}
	return connect.NewResponse(&v1.SignBundleResponse{Status: statusMessage(status)}), nil
}

// GetBundle returns a bundle by digest, by default the one in force.
func (s *adminService) GetBundle(
	ctx context.Context, request *connect.Request[v1.GetBundleRequest],
) (*connect.Response[v1.GetBundleResponse], error) {
	bundles, err := s.bundles()
	if err != nil {
		return nil, err
	}
	freshness := s.bundleFreshness(bundles)
	digest := request.Msg.GetDigest()
	if digest == "" {
		digest = s.digestInForce()
	}
	status, err := bundles.Status(digest)
	if err != nil {
		return nil, bundleError(err)
	}
	document, err := bundles.Document(digest)
	if err != nil {
		return nil, bundleError(err)
	}
	return connect.NewResponse(&v1.GetBundleResponse{
		Status: statusMessage(status), Document: document, Freshness: freshness,
	}), nil
}

func (s *adminService) digestInForce() string {
	accepted := s.gateway.config.Bundles.Current()
	if accepted == nil {
		return ""
	}
	return accepted.Digest
}

// bundleFreshness reports how long ago this node's follower read the bundle stream to its tail. It doesn't read the
// stream itself: observing a node must not change the node's state.
func (s *adminService) bundleFreshness(bundles BundleAdmin) *v1.Freshness {
	caughtUp := bundles.CaughtUpAt()
	if caughtUp.IsZero() {
		caughtUp = s.startedAt
	}
	age := time.Since(caughtUp)
	return s.freshness(age, age)
}

// ListBundles lists proposals, newest first.
func (s *adminService) ListBundles(
	ctx context.Context, request *connect.Request[v1.ListBundlesRequest],
) (*connect.Response[v1.ListBundlesResponse], error) {
	bundles, err := s.bundles()
	if err != nil {
		return nil, err
	}
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	freshness := s.bundleFreshness(bundles)
	statuses, next, err := bundles.List(bundle.Page{Size: size, Token: request.Msg.GetPage().GetToken()})
	if err != nil {
		return nil, bundleError(err)
	}
	response := &v1.ListBundlesResponse{NextPageToken: next, Freshness: freshness}
	for _, status := range statuses {
		response.Bundles = append(response.Bundles, statusMessage(status))
	}
	return connect.NewResponse(response), nil
}

func (s *adminService) bundles() (BundleAdmin, error) {
	if s.gateway.config.BundleAdmin == nil {
		return nil, unavailable("the node does not administer bundles", 0)
	}
	return s.gateway.config.BundleAdmin, nil
}

// bundleError converts the errors of package bundle to Connect errors.
func bundleError(err error) error {
	var invalid *bundle.Invalid
	switch {
	case errors.As(err, &invalid), errors.Is(err, bundle.ErrBadPage):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, bundle.ErrConflict):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, bundle.ErrUnknownProposal):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, bundle.ErrUnknownKey), errors.Is(err, bundle.ErrBadSignature):
		return connect.NewError(connect.CodePermissionDenied, err)
	}
	return connectError(err)
}

var bundleStates = map[bundle.State]v1.BundleState{
	bundle.StateProposed:   v1.BundleState_BUNDLE_STATE_PROPOSED,
	bundle.StateInForce:    v1.BundleState_BUNDLE_STATE_IN_FORCE,
	bundle.StateSuperseded: v1.BundleState_BUNDLE_STATE_SUPERSEDED,
	bundle.StateConflicted: v1.BundleState_BUNDLE_STATE_CONFLICTED,
}

func statusMessage(status bundle.Status) *v1.BundleStatus {
	return &v1.BundleStatus{
		Digest:   status.Digest,
		Version:  status.Version,
		Base:     status.Base,
		State:    bundleStates[status.State],
		SignedBy: status.SignedBy,
		Missing:  status.Missing,
	}
}

// DrainNode requests a planned stop of a node.
func (s *adminService) DrainNode(
	ctx context.Context, request *connect.Request[v1.DrainNodeRequest],
) (*connect.Response[v1.DrainNodeResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	name := request.Msg.GetNode()
	for _, member := range s.gateway.config.Members.Members() {
		if member.Node != name {
			continue
		}
		var result peerapi.DrainResult
		err := s.gateway.config.Nodes.Call(ctx, member.PeerAddress, peerapi.MethodDrain, &peerapi.Drain{}, &result)
		if err != nil {
			return nil, connectError(err)
		}
		return connect.NewResponse(&v1.DrainNodeResponse{}), nil
	}
	return nil, notFound(fmt.Sprintf("node %q is not a member", name))
}

func (s *adminService) freshness(newest, oldest time.Duration) *v1.Freshness {
	return &v1.Freshness{
		NewestMillis: newest.Milliseconds(),
		OldestMillis: oldest.Milliseconds(),
		Node:         s.gateway.config.Self.Node,
	}
}
