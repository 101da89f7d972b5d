package weightstore

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// Handler serves the store by Connect, below the returned path.
func (s *Store) Handler() (string, http.Handler) {
	return platformv1connect.NewWeightStoreServiceHandler(handler{store: s})
}

type handler struct {
	store *Store
}

func wireError(err error) error {
	switch {
	case errors.Is(err, platform.ErrThrottled):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, ErrNoSuchVersion):
		return connect.NewError(connect.CodeNotFound, err)
	default:
		return fault.ConnectError(err, connect.CodeUnknown)
	}
}

func (h handler) Latest(ctx context.Context, request *connect.Request[platformv1.LatestRequest]) (*connect.Response[platformv1.LatestResponse], error) {
	version, err := h.store.Latest(ctx, request.Msg.Model)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.LatestResponse{Version: version}), nil
}

func (h handler) PutVersion(ctx context.Context, request *connect.Request[platformv1.PutVersionRequest]) (*connect.Response[platformv1.PutVersionResponse], error) {
	if err := h.store.PutVersion(ctx, request.Msg.Model, request.Msg.Version); err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.PutVersionResponse{}), nil
}

func (h handler) Read(ctx context.Context, request *connect.Request[platformv1.ReadWeightsRequest]) (*connect.Response[platformv1.ReadWeightsResponse], error) {
	if err := h.store.Read(ctx, request.Msg.Model, request.Msg.Version, request.Msg.Reader); err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&platformv1.ReadWeightsResponse{}), nil
}
