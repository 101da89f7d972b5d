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

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/engine"
	"github.com/hillfork/hillfork/internal/standin/logservice"
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
		ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
		defer cancel()
		_, err = adapter.Log(serviceAddress).Append(ctx, "s", [][]byte{[]byte("a")})
		is.True(errors.Is(err, context.DeadlineExceeded))
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
		is.NoErr(client.Load(t.Context(), platform.LoadOrder{Fence: platform.Fence{Epoch: 2, Sequence: 1}, Model: "m", Version: 5}))
		err = client.SetPool(t.Context(), platform.Fence{Epoch: 2, Sequence: 1}, "p")
		is.True(errors.Is(err, platform.ErrStaleOrder))
		time.Sleep(engine.DefaultStatusLag)
		status, err := client.Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Served, map[string]uint64{"m": 5})
		is.Equal(status.Incarnation, uint64(2))
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
