package logservice

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// Handler serves the log by Connect, below the returned path.
func (s *Service) Handler() (string, http.Handler) {
	return platformv1connect.NewLogServiceHandler(handler{service: s})
}

type handler struct {
	service *Service
}

func (h handler) Append(ctx context.Context, request *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	first, err := h.service.Append(ctx, request.Msg.Stream, request.Msg.Payloads)
	if err != nil {
		return nil, fault.ConnectError(err, connect.CodeUnknown)
	}
	return connect.NewResponse(&platformv1.AppendResponse{FirstOffset: first}), nil
}

func (h handler) Read(ctx context.Context, request *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	options := platform.ReadOptions{
		MaxEntries: int(request.Msg.MaxEntries),
		Wait:       time.Duration(request.Msg.WaitMillis) * time.Millisecond,
	}
	result, err := h.service.Read(ctx, request.Msg.Stream, request.Msg.Offset, options)
	if err != nil {
		return nil, fault.ConnectError(err, connect.CodeUnknown)
	}
	response := &platformv1.ReadResponse{Tail: result.Tail}
	for _, entry := range result.Entries {
		response.Entries = append(response.Entries, &platformv1.LogEntry{Offset: entry.Offset, Payload: entry.Payload})
	}
	return connect.NewResponse(response), nil
}
