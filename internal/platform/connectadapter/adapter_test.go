package connectadapter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/engine"
	"github.com/hillfork/hillfork/internal/standin/logservice"
	"github.com/hillfork/hillfork/internal/standin/machinelist"
	"github.com/hillfork/hillfork/internal/standin/scorer"
	"github.com/hillfork/hillfork/internal/standin/weightstore"
)

// pipeNetwork joins dialers to listeners of the same process by net.Pipe.
type pipeNetwork struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var errRefused = errors.New("connection refused")

func (n *pipeNetwork) DialContext(ctx context.Context, address string) (net.Conn, error) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, errRefused
	}
	client, server := net.Pipe()
	select {
	case listener.conns <- server:
		return client, nil
	case <-listener.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *pipeNetwork) Listen(address string) (net.Listener, error) {
	listener := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*pipeListener)
	}
	n.listeners[address] = listener
	return listener, nil
}

func (n *pipeNetwork) ListenPacket(string) (net.PacketConn, error) {
	return nil, errors.ErrUnsupported
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// service is what all stand-ins offer.
type service interface {
	Handler() (string, http.Handler)
}

const serviceAddress = "10.0.0.1:80"

// serve runs services on a network of their own and returns an adapter that reaches them. All ends with stop.
func serve(is *is.I, services ...service) (adapter *Adapter, stop func()) {
	network := &pipeNetwork{}
	listener, err := network.Listen(serviceAddress)
	is.NoErr(err)
	mux := http.NewServeMux()
	for _, each := range services {
		mux.Handle(each.Handler())
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	adapter = New(network, Options{})
	return adapter, func() {
		adapter.Close()
		_ = server.Close()
	}
}

func TestLogRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logservice.New(logservice.Config{})
		adapter, stop := serve(is, log)
		defer stop()
		client := adapter.Log(serviceAddress)
		ctx := t.Context()

		first, err := client.Append(ctx, "s", [][]byte{[]byte("a"), []byte("b")})
		is.NoErr(err)
		is.Equal(first, int64(0))
		go func() {
			time.Sleep(3 * time.Second)
			_, _ = client.Append(ctx, "s", [][]byte{[]byte("c")})
		}()
		began := time.Now()
		result, err := client.Read(ctx, "s", 2, platform.ReadOptions{MaxEntries: 10, Wait: time.Minute})
		is.NoErr(err)
		is.Equal(time.Since(began), 3*time.Second) // a long poll ends with the append
		is.Equal(result, platform.ReadResult{Tail: 3, Entries: []platform.Entry{{Offset: 2, Payload: []byte("c")}}})

		log.LoseAnswers(1)
		_, err = client.Append(ctx, "s", [][]byte{[]byte("d")})
		is.True(err != nil)
		is.True(!errors.Is(err, platform.ErrNotSent)) // it took effect
		is.Equal(log.Usage()["s"].Entries, int64(4))
	})
}

func TestOnlyDialFailureIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logservice.New(logservice.Config{})
		adapter, stop := serve(is, log)
		defer stop()
		_, err := adapter.Log("10.9.9.9:80").Append(t.Context(), "s", nil)
		is.True(errors.Is(err, platform.ErrNotSent))
		stream, err := adapter.Engine("10.9.9.9:80").Generate(t.Context(), platform.GenerateRequest{})
		if err == nil {
			_, err = stream.Receive()
		}
		is.True(errors.Is(err, platform.ErrNotSent))

		log.SetDelay(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(40*time.Second, cancel)
		_, err = adapter.Log(serviceAddress).Append(ctx, "s", [][]byte{[]byte("a")})
		is.True(errors.Is(err, context.Canceled))
		is.True(!errors.Is(err, platform.ErrNotSent))
		is.Equal(log.Usage()["s"].Entries, int64(1)) // half of the delay came after the effect
	})
}

func TestEngineRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		served := engine.New(engine.Config{ID: "e1", Slots: 1, MaxWaiting: 1, Served: map[string]uint64{"m": 4}})
		defer served.Close()
		adapter, stop := serve(is, served)
		defer stop()
		client := adapter.Engine(serviceAddress)
		request := platform.GenerateRequest{RequestID: "r", Attempt: 1, Model: "m", Prompt: []uint32{90, engine.LengthMarker, 7}, MaxTokens: 100, Seed: 5}

		tokens, err := collect(client, t.Context(), request)
		is.NoErr(err)
		is.Equal(tokens, engine.ExpectedTokens(request.Prompt, 5, 100))

		request.Model = "other"
		_, err = collect(client, t.Context(), request)
		is.True(errors.Is(err, platform.ErrRejected))

		request.Model = "m"
		time.AfterFunc(time.Second, served.Crash)
		tokens, err = collect(client, t.Context(), request)
		is.True(err != nil && len(tokens) > 0 && len(tokens) < 90) // cut off in the middle
		is.True(!errors.Is(err, platform.ErrRejected))

		served.Restart()
		served.Hang()
		time.AfterFunc(time.Second, served.Crash)
		_, err = client.Status(t.Context())
		is.True(err != nil)
		is.True(!errors.Is(err, platform.ErrNotSent)) // the connection broke under the call
		// Connect hides some errors of the transport, so ask it as well.
		url := BaseURL(serviceAddress) + platformv1connect.EngineServiceStatusProcedure
		_, err = adapter.HTTPClient().Post(url, "application/proto", nil)
		is.True(errors.Is(err, io.EOF))
		is.True(!errors.Is(err, platform.ErrNotSent))

		served.Restart()
		is.NoErr(client.Load(t.Context(), platform.LoadOrder{Fence: platform.Fence{Epoch: 2, Sequence: 1}, Model: "m", Version: 5}))
		err = client.SetPool(t.Context(), platform.Fence{Epoch: 2, Sequence: 1}, "p")
		is.True(errors.Is(err, platform.ErrStaleOrder))
		time.Sleep(engine.DefaultStatusLag)
		status, err := client.Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Served, map[string]uint64{"m": 5})
		is.Equal(status.Incarnation, uint64(3))
	})
}

func TestSmallServicesRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := weightstore.New(weightstore.Config{})
		list := machinelist.New(machinelist.Config{})
		adapter, stop := serve(is, store, list, scorer.New(scorer.Config{}))
		defer stop()
		ctx := t.Context()

		weights := adapter.WeightStore(serviceAddress)
		is.NoErr(weights.PutVersion(ctx, "m", 3))
		latest, err := weights.Latest(ctx, "m")
		is.NoErr(err)
		is.Equal(latest, uint64(3))
		is.NoErr(weights.Read(ctx, "m", 3, "e1"))
		store.SetThrottled(true)
		is.True(errors.Is(weights.Read(ctx, "m", 3, "e1"), platform.ErrThrottled))

		machine := platform.Machine{
			ID: "e1", Kind: platform.MachineEngine, Address: "10.0.0.2:80", Zone: "z", Region: "r", Pool: "p",
			State: platform.MachineLeaving,
		}
		list.Set(machine)
		machines, err := adapter.MachineList(serviceAddress).List(ctx)
		is.NoErr(err)
		is.Equal(machines, []platform.Machine{machine})

		score, err := adapter.Scorer(serviceAddress).Score(ctx, "k", "s", nil, []uint32{1})
		is.NoErr(err)
		is.Equal(score, platform.Score{SampleID: "s", Reward: scorer.Reward("k", "s", []uint32{1})})
	})
}

func TestEngineMovesAndCacheEventsRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		served := engine.New(engine.Config{ID: "e1", Served: map[string]uint64{"m": 4}})
		defer served.Close()
		adapter, stop := serve(is, served)
		defer stop()
		client := adapter.Engine(serviceAddress)
		ctx := t.Context()
		prompt := make([]uint32, platform.PrefixBlockTokens)
		prompt[0], prompt[1] = 500, engine.LengthMarker
		request := platform.GenerateRequest{RequestID: "r", Attempt: 1, Model: "m", Prompt: prompt, MaxTokens: 500}
		ended := make(chan error, 1)
		go func() {
			_, err := collect(client, ctx, request)
			ended <- err
		}()
		time.Sleep(2 * time.Second)
		events, err := client.CacheEvents(ctx, 0, 0)
		is.NoErr(err)
		is.Equal(events, []platform.CacheEvent{{Sequence: 1, Prefix: platform.PrefixHashes(prompt)[0]}})
		export, err := client.ExportCache(ctx, "r", 1)
		is.NoErr(err)
		is.True((<-ended) != nil)
		is.Equal(export.Spans, []platform.VersionSpan{{From: 0, To: len(export.Tokens), Version: 4}})
		is.NoErr(client.ImportCache(ctx, export))
		is.True(errors.Is(client.ImportCache(ctx, platform.CacheExport{State: []byte("x")}), platform.ErrRejected))
		is.NoErr(client.Cancel(ctx, "unknown", 1))

		request.Attempt = 2
		ctx, cancel := context.WithCancel(ctx)
		stream, err := client.Generate(ctx, request)
		is.NoErr(err)
		_, err = stream.Receive()
		is.NoErr(err)
		cancel()
		_, err = stream.Receive()
		is.True(errors.Is(err, context.Canceled))
		time.Sleep(time.Minute)
		status, err := client.Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Running, 0) // an engine notices a caller that went away
	})
}

// collect receives a whole answer, in order, or what came of it before an error.
func collect(client platform.Engine, ctx context.Context, request platform.GenerateRequest) ([]uint32, error) {
	stream, err := client.Generate(ctx, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	var tokens []uint32
	for {
		chunk, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, chunk.Tokens...)
	}
}
