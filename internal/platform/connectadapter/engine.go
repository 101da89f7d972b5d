package connectadapter

import (
	"context"
	"io"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
)

// Engine opens the engine at address.
func (a *Adapter) Engine(address string) platform.Engine {
	return engineClient{client: platformv1connect.NewEngineServiceClient(a.client, BaseURL(address), a.options...)}
}

type engineClient struct {
	client platformv1connect.EngineServiceClient
}

// Generate returns as soon as the request is on its way: platform.ErrRejected and platform.ErrNotSent may come from
// here or from the first Receive.
func (e engineClient) Generate(ctx context.Context, request platform.GenerateRequest) (platform.ChunkStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := e.client.Generate(ctx, connect.NewRequest(&platformv1.GenerateRequest{
		RequestId: request.RequestID,
		Attempt:   request.Attempt,
		Model:     request.Model,
		Prompt:    request.Prompt,
		Resume:    request.Resume,
		MaxTokens: int32(request.MaxTokens),
		Seed:      request.Seed,
		Priority:  int32(request.Priority),
	}))
	if err != nil {
		cancel()
		return nil, generateErrors.wrap("generate", err)
	}
	return &chunkStream{stream: stream, cancel: cancel}, nil
}

// chunkStream is used by one goroutine at a time; Close may be called from another to end a Receive.
type chunkStream struct {
	stream   *connect.ServerStreamForClient[platformv1.GenerateChunk]
	cancel   context.CancelFunc
	received bool
	finished bool
}

// Receive returns the next chunk; io.EOF after a finished answer. An answer that ends unfinished is io.ErrUnexpectedEOF.
func (c *chunkStream) Receive() (platform.Chunk, error) {
	if !c.stream.Receive() {
		return platform.Chunk{}, c.end()
	}
	c.received = true
	message := c.stream.Msg()
	c.finished = c.finished || message.Finished
	return platform.Chunk{
		RequestID: message.RequestId,
		Attempt:   message.Attempt,
		Index:     int(message.Index),
		Tokens:    message.Tokens,
		Version:   message.Version,
		Finished:  message.Finished,
	}, nil
}

func (c *chunkStream) end() error {
	err := c.stream.Err()
	switch {
	case err != nil && c.received:
		return wrap("receive tokens", err)
	case err != nil:
		return generateErrors.wrap("generate", err)
	case c.finished:
		return io.EOF
	default:
		return wrap("receive tokens", io.ErrUnexpectedEOF)
	}
}

// Close ends the stream; the engine stops work on an unfinished answer.
func (c *chunkStream) Close() error {
	c.cancel()
	return nil
}

func (e engineClient) Cancel(ctx context.Context, requestID string, attempt uint32) error {
	request := connect.NewRequest(&platformv1.CancelRequest{RequestId: requestID, Attempt: attempt})
	_, err := e.client.Cancel(ctx, request)
	return wrap("cancel", err)
}

func (e engineClient) Load(ctx context.Context, order platform.LoadOrder) error {
	request := connect.NewRequest(&platformv1.LoadRequest{
		Fence:   fenceMessage(order.Fence),
		Model:   order.Model,
		Version: order.Version,
	})
	_, err := e.client.Load(ctx, request)
	return orderErrors.wrap("load weights", err)
}

func (e engineClient) SetPool(ctx context.Context, fence platform.Fence, pool string) error {
	request := connect.NewRequest(&platformv1.SetPoolRequest{Fence: fenceMessage(fence), Pool: pool})
	_, err := e.client.SetPool(ctx, request)
	return orderErrors.wrap("set pool", err)
}

func (e engineClient) Status(ctx context.Context) (platform.EngineStatus, error) {
	response, err := e.client.Status(ctx, connect.NewRequest(&platformv1.StatusRequest{}))
	if err != nil {
		return platform.EngineStatus{}, wrap("ask engine for status", err)
	}
	message := response.Msg
	return platform.EngineStatus{
		ID:              message.Id,
		Incarnation:     message.Incarnation,
		Served:          message.Served,
		Running:         int(message.Running),
		Waiting:         int(message.Waiting),
		Slots:           int(message.Slots),
		Leaving:         message.Leaving,
		Pool:            message.Pool,
		TokensPerSecond: message.TokensPerSecond,
	}, nil
}

func (e engineClient) CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]platform.CacheEvent, error) {
	request := connect.NewRequest(&platformv1.CacheEventsRequest{After: after, WaitMillis: milliseconds(wait)})
	response, err := e.client.CacheEvents(ctx, request)
	if err != nil {
		return nil, wrap("ask for cache events", err)
	}
	events := make([]platform.CacheEvent, 0, len(response.Msg.Events))
	for _, event := range response.Msg.Events {
		events = append(events, platform.CacheEvent{Sequence: event.Sequence, Prefix: event.Prefix, Evicted: event.Evicted})
	}
	return events, nil
}

func (e engineClient) ExportCache(ctx context.Context, requestID string, attempt uint32) (platform.CacheExport, error) {
	request := connect.NewRequest(&platformv1.ExportCacheRequest{RequestId: requestID, Attempt: attempt})
	response, err := e.client.ExportCache(ctx, request)
	if err != nil {
		return platform.CacheExport{}, wrap("export cache", err)
	}
	export := platform.CacheExport{RequestID: requestID, Tokens: response.Msg.Tokens, State: response.Msg.State}
	for _, span := range response.Msg.Spans {
		export.Spans = append(export.Spans, platform.VersionSpan{From: int(span.From), To: int(span.To), Version: span.Version})
	}
	return export, nil
}

func (e engineClient) ImportCache(ctx context.Context, export platform.CacheExport) error {
	message := &platformv1.ImportCacheRequest{RequestId: export.RequestID, Tokens: export.Tokens, State: export.State}
	for _, span := range export.Spans {
		message.Spans = append(message.Spans, &platformv1.VersionSpan{From: int32(span.From), To: int32(span.To), Version: span.Version})
	}
	_, err := e.client.ImportCache(ctx, connect.NewRequest(message))
	return importErrors.wrap("import cache", err)
}

func fenceMessage(fence platform.Fence) *platformv1.Fence {
	return &platformv1.Fence{Epoch: fence.Epoch, Sequence: fence.Sequence}
}
