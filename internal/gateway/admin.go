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

// adminTimeout bounds one call of an operator.
const adminTimeout = 30 * time.Second

// adminService is the administration API.
type adminService struct {
	gateway *Gateway
}

// ProposeBundle publishes a bundle.
func (s *adminService) ProposeBundle(
	ctx context.Context, request *connect.Request[v1.ProposeBundleRequest],
) (*connect.Response[v1.ProposeBundleResponse], error) {
	bundles, err := s.bundles()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	status, err := bundles.Propose(ctx, request.Msg.GetDocument())
	if err != nil {
		return nil, bundleError(err)
	}
	return connect.NewResponse(&v1.ProposeBundleResponse{
		Digest: status.Digest, Version: status.Version, Base: status.Base,
	}), nil
}

// SignBundle publishes one partner's signature.
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
	signature := bundle.Signature{Partner: message.GetPartner(), Signature: message.GetSignature()}
	status, err := bundles.Sign(ctx, message.GetDigest(), message.GetVersion(), message.GetBase(), signature)
	if err != nil {
		return nil, bundleError(err)
	}
	return connect.NewResponse(&v1.SignBundleResponse{Status: statusMessage(status)}), nil
}

// GetBundle shows a bundle.
func (s *adminService) GetBundle(
	ctx context.Context, request *connect.Request[v1.GetBundleRequest],
) (*connect.Response[v1.GetBundleResponse], error) {
	bundles, err := s.bundles()
	if err != nil {
		return nil, err
	}
	status, document, err := bundles.Get(ctx, request.Msg.GetDigest())
	if err != nil {
		return nil, bundleError(err)
	}
	return connect.NewResponse(&v1.GetBundleResponse{
		Status:    statusMessage(status),
		Document:  document,
		Freshness: s.freshness(bundles.Age(), bundles.Age()),
	}), nil
}

// ListBundles lists proposals, newest first.
func (s *adminService) ListBundles(
	_ context.Context, request *connect.Request[v1.ListBundlesRequest],
) (*connect.Response[v1.ListBundlesResponse], error) {
	bundles, err := s.bundles()
	if err != nil {
		return nil, err
	}
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	position, err := numberToken(request.Msg.GetPage().GetToken())
	if err != nil {
		return nil, err
	}
	statuses, next := bundles.List(position, size)
	response := &v1.ListBundlesResponse{
		NextPageToken: formatNumberToken(next),
		Freshness:     s.freshness(bundles.Age(), bundles.Age()),
	}
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

func bundleError(err error) error {
	switch {
	case errors.Is(err, ErrBundleInvalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, ErrBundleBase):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, ErrBundleUnknown):
		return connect.NewError(connect.CodeNotFound, err)
	}
	return connectError(err)
}

var bundleStates = map[BundleState]v1.BundleState{
	BundleProposed:   v1.BundleState_BUNDLE_STATE_PROPOSED,
	BundleInForce:    v1.BundleState_BUNDLE_STATE_IN_FORCE,
	BundleSuperseded: v1.BundleState_BUNDLE_STATE_SUPERSEDED,
	BundleConflicted: v1.BundleState_BUNDLE_STATE_CONFLICTED,
}

func statusMessage(status BundleStatus) *v1.BundleStatus {
	return &v1.BundleStatus{
		Digest:   status.Digest,
		Version:  status.Version,
		Base:     status.Base,
		State:    bundleStates[status.State],
		SignedBy: status.SignedBy,
		Missing:  status.Missing,
	}
}

// DrainNode asks a node to stop as planned.
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
