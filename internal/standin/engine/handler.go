package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// Handler serves the engine by Connect, below the returned path. A crash breaks the connections of the calls it cuts.
func (e *Engine) Handler() (string, http.Handler) {
	return platformv1connect.NewEngineServiceHandler(handler{engine: e})
}

type handler struct {
	engine *Engine
}

// wireError gives err its Connect code. A crash aborts the HTTP exchange, as http.ErrAbortHandler is meant for.
func wireError(err error, fallback connect.Code) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrCrashed):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrRejected), errors.Is(err, platform.ErrThrottled):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, platform.ErrStaleOrder):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, ErrCanceled), errors.Is(err, ErrExported):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, ErrUnknownStream):
		return connect.NewError(connect.CodeNotFound, err)
	default:
		return fault.ConnectError(err, fallback)
	}
}

func (h handler) Generate(ctx context.Context, request *connect.Request[platformv1.GenerateRequest], responses *connect.ServerStream[platformv1.GenerateChunk]) error {
	message := request.Msg
	stream, err := h.engine.Generate(ctx, platform.GenerateRequest{
		RequestID: message.RequestId,
		Attempt:   message.Attempt,
		Model:     message.Model,
		Prompt:    message.Prompt,
		Resume:    message.Resume,
		MaxTokens: int(message.MaxTokens),
		Seed:      message.Seed,
		Priority:  int(message.Priority),
	})
	if err != nil {
		return wireError(err, connect.CodeUnknown)
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return wireError(err, connect.CodeUnknown)
		}
		if err := responses.Send(chunkMessage(chunk)); err != nil {
			return err
		}
	}
}

func chunkMessage(chunk platform.Chunk) *platformv1.GenerateChunk {
	return &platformv1.GenerateChunk{
		RequestId: chunk.RequestID,
		Attempt:   chunk.Attempt,
		Index:     int32(chunk.Index),
		Tokens:    chunk.Tokens,
		Version:   chunk.Version,
		Finished:  chunk.Finished,
	}
}

func (h handler) Cancel(ctx context.Context, request *connect.Request[platformv1.CancelRequest]) (*connect.Response[platformv1.CancelResponse], error) {
	err := h.engine.Cancel(ctx, request.Msg.RequestId, request.Msg.Attempt)
	return respond(&platformv1.CancelResponse{}, err)
}

func (h handler) Load(ctx context.Context, request *connect.Request[platformv1.LoadRequest]) (*connect.Response[platformv1.LoadResponse], error) {
	err := h.engine.Load(ctx, platform.LoadOrder{
		Fence:   fenceOf(request.Msg.Fence),
		Model:   request.Msg.Model,
		Version: request.Msg.Version,
	})
	return respond(&platformv1.LoadResponse{}, err)
}

func (h handler) SetPool(ctx context.Context, request *connect.Request[platformv1.SetPoolRequest]) (*connect.Response[platformv1.SetPoolResponse], error) {
	err := h.engine.SetPool(ctx, fenceOf(request.Msg.Fence), request.Msg.Pool)
	return respond(&platformv1.SetPoolResponse{}, err)
}

func (h handler) Status(ctx context.Context, _ *connect.Request[platformv1.StatusRequest]) (*connect.Response[platformv1.StatusResponse], error) {
	status, err := h.engine.Status(ctx)
	return respond(&platformv1.StatusResponse{
		Id:              status.ID,
		Incarnation:     status.Incarnation,
		Served:          status.Served,
		Running:         int32(status.Running),
		Waiting:         int32(status.Waiting),
		Slots:           int32(status.Slots),
		Leaving:         status.Leaving,
		Pool:            status.Pool,
		TokensPerSecond: status.TokensPerSecond,
	}, err)
}

func (h handler) CacheEvents(ctx context.Context, request *connect.Request[platformv1.CacheEventsRequest]) (*connect.Response[platformv1.CacheEventsResponse], error) {
	wait := time.Duration(request.Msg.WaitMillis) * time.Millisecond
	events, err := h.engine.CacheEvents(ctx, request.Msg.After, wait)
	response := &platformv1.CacheEventsResponse{}
	for _, event := range events {
		response.Events = append(response.Events, &platformv1.CacheEvent{
			Sequence: event.Sequence,
			Prefix:   event.Prefix,
			Evicted:  event.Evicted,
		})
	}
	return respond(response, err)
}

func (h handler) ExportCache(ctx context.Context, request *connect.Request[platformv1.ExportCacheRequest]) (*connect.Response[platformv1.ExportCacheResponse], error) {
	export, err := h.engine.ExportCache(ctx, request.Msg.RequestId, request.Msg.Attempt)
	response := &platformv1.ExportCacheResponse{Tokens: export.Tokens, State: export.State}
	for _, span := range export.Spans {
		response.Spans = append(response.Spans, &platformv1.VersionSpan{
			From:    int32(span.From),
			To:      int32(span.To),
			Version: span.Version,
		})
	}
	return respond(response, err)
}

func (h handler) ImportCache(ctx context.Context, request *connect.Request[platformv1.ImportCacheRequest]) (*connect.Response[platformv1.ImportCacheResponse], error) {
	err := h.engine.ImportCache(ctx, platform.CacheExport{
		RequestID: request.Msg.RequestId,
		Tokens:    request.Msg.Tokens,
		State:     request.Msg.State,
	})
	if errors.Is(err, platform.ErrRejected) {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return respond(&platformv1.ImportCacheResponse{}, err)
}

func respond[T any](message *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, wireError(err, connect.CodeUnknown)
	}
	return connect.NewResponse(message), nil
}

func fenceOf(message *platformv1.Fence) platform.Fence {
	return platform.Fence{Epoch: message.GetEpoch(), Sequence: message.GetSequence()}
}
