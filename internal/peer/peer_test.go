package peer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/network/simnet"
	"github.com/matryer/is"
)

const (
	clientIP = "10.0.0.1"
	serverIP = "10.0.1.1"
	address  = serverIP + ":7000"
	// maxLossDetection is the time within which a call over a dead connection must have failed.
	maxLossDetection = (DefaultPingMisses + 1) * DefaultPingInterval
)

// byteCounts is an Observer that sums the bytes by method.
type byteCounts struct {
	mu             sync.Mutex
	sent, received map[string]int
}

func newByteCounts() *byteCounts {
	return &byteCounts{sent: make(map[string]int), received: make(map[string]int)}
}

func (a *byteCounts) PeerBytes(method string, sent, received int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent[method] += sent
	a.received[method] += received
}

func (a *byteCounts) of(method string) (sent, received int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent[method], a.received[method]
}

// fixture is a client and a server in virtual time. The method "work" runs until release is closed or its context ends.
type fixture struct {
	t           *testing.T
	is          *is.I
	network     *simnet.Network
	host        network.Network
	client      *Client
	server      *Server
	clientBytes *byteCounts
	serverBytes *byteCounts
	// release is closed to complete all calls of "work"; each call sends to started and to ended.
	release chan struct{}
	started chan struct{}
	ended   chan error
}

// run runs a test in virtual time over a network whose streams buffer 100 kB.
func run(t *testing.T, name string, options ServerOptions, test func(f *fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{
				t:           t,
				is:          is.New(t),
				network:     simnet.New(simnet.Options{BufferBytes: 100_000}),
				clientBytes: newByteCounts(),
				serverBytes: newByteCounts(),
				release:     make(chan struct{}),
				started:     make(chan struct{}, 1000),
				ended:       make(chan error, 1000),
			}
			f.host = f.network.Host(clientIP, "a", "r")
			options.Observer = f.serverBytes
			f.server = NewServer(options)
			f.serve(f.server, f.network.Host(serverIP, "b", "r"))
			f.client = NewClient(f.host, ClientOptions{Observer: f.clientBytes})
			defer f.stop()
			test(f)
		})
	})
}

func (f *fixture) serve(server *Server, host network.Network) {
	server.HandleUnary("echo", echo)
	server.HandleUnary("work", f.work)
	server.HandleStream("count", count)
	listener, err := host.Listen(address)
	f.is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
}

func (f *fixture) work(ctx context.Context, decode Decode) (Message, error) {
	f.started <- struct{}{}
	select {
	case <-f.release:
		f.ended <- nil
		return echo(ctx, decode)
	case <-ctx.Done():
		f.ended <- ctx.Err()
		return nil, ctx.Err()
	}
}

func (f *fixture) stop() {
	f.client.Close()
	f.is.NoErr(f.server.Close())
}

func (f *fixture) call(ctx context.Context, method, value string) error {
	var response text
	err := f.client.Call(ctx, address, method, newText(value), &response)
	if err == nil && response.value.Message != value {
		return errors.New("response of another call")
	}
	return err
}

// start makes a call in the background.
func (f *fixture) start(ctx context.Context, method, value string) <-chan error {
	done := make(chan error, 1)
	go func() { done <- f.call(ctx, method, value) }()
	return done
}

func (f *fixture) startWork(ctx context.Context) <-chan error {
	done := f.start(ctx, "work", "w")
	<-f.started
	return done
}

func (f *fixture) refusal(err error, code Code) *Error {
	f.t.Helper()
	var refusal *Error
	f.is.True(errors.As(err, &refusal))
	f.is.Equal(refusal.Code, code)
	return refusal
}

func TestCalls(t *testing.T) {
	run(t, "refusals keep all fields", ServerOptions{MaxInFlight: 1, RetryAfter: time.Minute}, func(f *fixture) {
		f.refusal(f.call(f.t.Context(), "nothing", ""), CodeUnknownMethod)
		f.refusal(f.call(f.t.Context(), "count", "1"), CodeInvalid) // a stream method called as a unary one
		stream, err := f.client.Stream(f.t.Context(), address, "count", newText("no number"))
		f.is.NoErr(err)
		f.refusal(stream.Receive(&text{}), CodeInvalid)
		f.refusal(f.call(f.t.Context(), "echo", strings.Repeat("x", MaxFrameBytes)), CodeInvalid)
		done := f.startWork(f.t.Context())
		refusal := f.refusal(f.call(f.t.Context(), "echo", ""), CodeOverloaded)
		f.is.Equal(refusal.RetryAfter, time.Minute)
		f.is.Equal(f.server.Stats().Overloaded, uint64(1))
		close(f.release)
		f.is.NoErr(<-done)
		f.is.NoErr(f.call(f.t.Context(), "echo", "room again"))
	})
	run(t, "both ends count the same bytes", ServerOptions{}, func(f *fixture) {
		f.is.NoErr(f.call(f.t.Context(), "echo", "abc"))
		sent, received := f.clientBytes.of("echo")
		f.is.True(sent > 0 && received > 0)
		serverSent, serverReceived := f.serverBytes.of("echo")
		f.is.Equal(sent, serverReceived)
		f.is.Equal(received, serverSent)
		f.is.Equal(f.network.Traffic(clientIP).StreamBytesSent, uint64(sent))
	})
	run(t, "cancel and deadline end the handler's context", ServerOptions{}, func(f *fixture) {
		ctx, cancel := context.WithCancel(f.t.Context())
		done := f.startWork(ctx)
		cancel()
		f.is.Equal(<-done, context.Canceled)
		f.is.Equal(<-f.ended, context.Canceled)
		ctx, cancel = context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		done = f.startWork(ctx)
		f.network.Apply(simnet.Rule{From: simnet.ByIP(clientIP), To: simnet.Everywhere, Cut: true}) // no cancel frame arrives
		f.is.Equal(<-done, context.DeadlineExceeded)
		f.is.Equal(<-f.ended, context.DeadlineExceeded)
		f.is.True(time.Since(start) < time.Second+10*time.Millisecond)
	})
	run(t, "long calls stay connected, idle connections are closed", ServerOptions{}, func(f *fixture) {
		done := f.startWork(f.t.Context())
		time.Sleep(time.Hour)
		close(f.release)
		f.is.NoErr(<-done)
		before := f.network.Traffic(clientIP).StreamBytesSent
		time.Sleep(2 * DefaultClientIdleTimeout)
		f.is.Equal(f.network.Traffic(clientIP).StreamBytesSent, before) // no pings on an idle connection
		f.server.mu.Lock()
		connections := len(f.server.connections)
		f.server.mu.Unlock()
		f.is.Equal(connections, 0)
		f.is.NoErr(f.call(f.t.Context(), "echo", "dialed anew"))
	})
}

func TestStreams(t *testing.T) {
	run(t, "a slow receiver stops its sender and does not block other calls", ServerOptions{}, func(f *fixture) {
		const messages = 100_000
		stream, err := f.client.Stream(f.t.Context(), address, "count", newText(strconv.Itoa(messages)))
		f.is.NoErr(err)
		time.Sleep(time.Minute)
		sent, _ := f.serverBytes.of("count")
		f.is.True(sent >= DefaultWindowBytes && sent < DefaultWindowBytes+100)
		f.is.NoErr(f.call(f.t.Context(), "echo", "not blocked"))
		var message text
		for i := range messages {
			f.is.NoErr(stream.Receive(&message))
			f.is.Equal(message.value.Message, strconv.Itoa(i))
		}
		f.is.Equal(stream.Receive(&message), io.EOF)
		f.is.Equal(stream.Receive(&message), io.EOF) // further calls return the same
	})
	run(t, "a message larger than the window passes", ServerOptions{}, func(f *fixture) {
		f.server.handlers["large"] = &handlerEntry{method: "large", stream: func(_ context.Context, _ Decode, s ServerStream) error {
			for range 3 {
				if err := s.Send(newText(strings.Repeat("x", 2*DefaultWindowBytes))); err != nil {
					return err
				}
			}
			return nil
		}}
		stream, err := f.client.Stream(f.t.Context(), address, "large", newText(""))
		f.is.NoErr(err)
		for range 3 {
			f.is.NoErr(stream.Receive(&text{}))
		}
		f.is.Equal(stream.Receive(&text{}), io.EOF)
	})
	for name, leave := range map[string]func(ClientStream, context.CancelFunc){
		"close":   func(stream ClientStream, _ context.CancelFunc) { _ = stream.Close() },
		"context": func(_ ClientStream, cancel context.CancelFunc) { cancel() },
	} {
		run(t, "the sender is canceled when the receiver leaves by "+name, ServerOptions{}, func(f *fixture) {
			ctx, cancel := context.WithCancel(f.t.Context())
			defer cancel()
			stream, err := f.client.Stream(ctx, address, "count", newText("1000000000"))
			f.is.NoErr(err)
			f.is.NoErr(stream.Receive(&text{}))
			leave(stream, cancel)
			time.Sleep(time.Second)
			f.is.Equal(f.server.InFlight(), 0)
			f.is.Equal(stream.Receive(&text{}), context.Canceled)
		})
	}
}

func TestConnectionLoss(t *testing.T) {
	run(t, "half-open connection", ServerOptions{}, func(f *fixture) {
		done := f.startWork(f.t.Context())
		stream, err := f.client.Stream(f.t.Context(), address, "count", newText("1000000000"))
		f.is.NoErr(err)
		heal := f.network.Partition(simnet.ByIP(clientIP), simnet.ByIP(serverIP))
		start := time.Now()
		f.is.True(errors.Is(<-done, ErrLost))
		f.is.True(time.Since(start) <= maxLossDetection)
		f.is.Equal(<-f.ended, context.Canceled) // the server detects the loss as well
		f.is.True(time.Since(start) <= maxLossDetection)
		for err = nil; err == nil; {
			err = stream.Receive(&text{})
		}
		f.is.True(errors.Is(err, ErrLost))
		f.is.True(errors.Is(f.call(f.t.Context(), "echo", ""), ErrNotSent)) // dialing fails during the partition
		f.is.Equal(f.client.Stats().LostConnections, uint64(1))
		heal()
		f.is.NoErr(f.call(f.t.Context(), "echo", "healed"))
	})
	run(t, "short partition", ServerOptions{}, func(f *fixture) {
		done := f.startWork(f.t.Context())
		heal := f.network.Partition(simnet.ByIP(clientIP), simnet.ByIP(serverIP))
		time.Sleep(DefaultPingInterval)
		heal()
		close(f.release)
		f.is.NoErr(<-done)
	})
	run(t, "only a request that may have been sent is lost", ServerOptions{}, func(f *fixture) {
		f.is.NoErr(f.call(f.t.Context(), "echo", ""))
		f.network.Pause(serverIP)
		written := f.start(f.t.Context(), "echo", strings.Repeat("x", 200_000)) // exceeds the network's buffer
		synctest.Wait()
		queued := f.start(f.t.Context(), "echo", "")
		synctest.Wait()
		f.network.Crash(serverIP)
		f.is.True(errors.Is(<-written, ErrLost))
		f.is.True(errors.Is(<-queued, ErrNotSent))
		f.is.True(errors.Is(f.call(f.t.Context(), "echo", ""), ErrNotSent)) // the connection is refused
	})
	run(t, "a call that gets no space in the queue is not sent", ServerOptions{}, func(f *fixture) {
		f.is.NoErr(f.call(f.t.Context(), "echo", ""))
		f.network.Pause(serverIP)
		for range 2 { // one request is being written, one fills the queue
			f.start(f.t.Context(), "echo", strings.Repeat("x", maxQueueBytes))
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		err := f.call(ctx, "echo", "")
		f.is.True(errors.Is(err, ErrNotSent))
		f.is.True(errors.Is(err, context.DeadlineExceeded))
		f.network.Resume(serverIP)
	})
	run(t, "a call above the go-away had no effect", ServerOptions{}, func(f *fixture) {
		accepted := f.startWork(f.t.Context())
		go func() { _ = f.server.Shutdown(f.t.Context()) }()
		synctest.Wait()
		late := f.start(f.t.Context(), "echo", "")
		synctest.Wait()
		f.network.Crash(serverIP) // the go-away is in transit; the late call never arrives
		f.is.True(errors.Is(<-accepted, ErrLost))
		f.is.True(errors.Is(<-late, ErrNotSent))
	})
	run(t, "client close", ServerOptions{}, func(f *fixture) {
		done := f.startWork(f.t.Context())
		f.client.Close()
		f.is.True(errors.Is(<-done, ErrLost))
		f.is.True(errors.Is(f.call(f.t.Context(), "echo", ""), ErrNotSent))
	})
}

func TestShutdown(t *testing.T) {
	run(t, "calls in flight complete, late calls are refused", ServerOptions{}, func(f *fixture) {
		idle := NewClient(f.host, ClientOptions{})
		defer idle.Close()
		f.is.NoErr(idle.Call(f.t.Context(), address, "echo", newText(""), &text{}))
		done := f.startWork(f.t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Shutdown(f.t.Context()) }()
		synctest.Wait()
		f.refusal(f.call(f.t.Context(), "echo", ""), CodeNotReady)          // sent before the go-away arrives
		f.is.True(errors.Is(f.call(f.t.Context(), "echo", ""), ErrNotSent)) // dials a new connection
		time.Sleep(time.Hour)
		close(f.release)
		released := time.Now()
		f.is.NoErr(<-done)
		f.is.NoErr(<-stopped)
		f.is.True(time.Since(released) < 10*time.Millisecond) // clients close without waiting for shutdownLinger
	})
	run(t, "the context limits Shutdown and Close cuts off calls", ServerOptions{}, func(f *fixture) {
		done := f.startWork(f.t.Context())
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
		defer cancel()
		f.is.Equal(f.server.Shutdown(ctx), context.DeadlineExceeded)
		f.is.Equal(f.server.InFlight(), 1)
		f.is.NoErr(f.server.Close())
		f.is.True(errors.Is(<-done, ErrLost))
		f.is.Equal(<-f.ended, context.Canceled)
	})
}

func TestInvalidBytes(t *testing.T) {
	run(t, "from a client closes only its connection", ServerOptions{}, func(f *fixture) {
		done := f.startWork(f.t.Context())
		random := rand.New(rand.NewPCG(1, 1))
		inputs := [][]byte{
			[]byte("GET / HTTP/1.1\r\n\r\n"),
			encodeForTest(f.t, frameHeader{Stream: 1, Kind: kindResponse}, "", nil),
			encodeForTest(f.t, frameHeader{Stream: 0, Kind: kindRequest}, "echo", newText("")),
			append([]byte{0, 0, 4, 0}, randomBytes(random, 1024)...),
		}
		for _, input := range inputs {
			socket, err := f.host.DialContext(f.t.Context(), address)
			f.is.NoErr(err)
			_, err = socket.Write(input)
			f.is.NoErr(err)
			_, err = io.Copy(io.Discard, socket)
			f.is.NoErr(err) // the server closes the connection
			f.is.NoErr(socket.Close())
		}
		f.is.Equal(f.server.Stats().ProtocolErrors, uint64(len(inputs)))
		close(f.release)
		f.is.NoErr(<-done)
	})
	run(t, "from a server loses the call", ServerOptions{}, func(f *fixture) {
		listener, err := f.host.Listen(clientIP + ":1")
		f.is.NoErr(err)
		go func() {
			socket, _ := listener.Accept()
			_, _ = socket.Read(make([]byte, 1))
			_, _ = socket.Write([]byte("HTTP/1.1 400 Bad Request\r\n"))
			_, _ = io.Copy(io.Discard, socket)
		}()
		err = f.client.Call(f.t.Context(), clientIP+":1", "echo", newText(""), &text{})
		f.is.True(errors.Is(err, ErrLost))
		f.is.Equal(f.client.Stats().ProtocolErrors, uint64(1))
		time.Sleep(time.Second)
	})
}

// TestWindowIsEnforced checks that a server that ignores the window cannot make the receiver buffer more than the
// granted credit, whether the server writes as fast as the network allows or pauses after each message until it has
// arrived.
func TestWindowIsEnforced(t *testing.T) {
	for name, pause := range map[string]time.Duration{"flood": 0, "paced": 10 * time.Millisecond} {
		run(t, name, ServerOptions{}, func(f *fixture) { floodStream(f, pause) })
	}
}

// floodStream sends more than the window on a stream, with a pause after each message.
func floodStream(f *fixture, pause time.Duration) {
	listener, err := f.host.Listen(clientIP + ":1")
	f.is.NoErr(err)
	message := encodeForTest(f.t, frameHeader{Stream: 1, Kind: kindMessage}, "", newText(strings.Repeat("x", 1000)))
	flooded := make(chan int, 1)
	go func() {
		socket, _ := listener.Accept()
		// Wait until the stream exists: messages for an unknown stream are dropped and do not count against a window.
		_, _ = socket.Read(make([]byte, 1))
		sent := 0
		for err := error(nil); err == nil && sent < 8*DefaultWindowBytes; time.Sleep(pause) {
			var n int
			n, err = socket.Write(message)
			sent += n
		}
		flooded <- sent
	}()
	_, err = f.client.Stream(f.t.Context(), clientIP+":1", "count", newText(""))
	f.is.NoErr(err)
	sent := <-flooded
	_, received := f.clientBytes.of("count")
	f.is.True(received >= DefaultWindowBytes && received <= DefaultWindowBytes+2*len(message))
	if pause > 0 {
		f.is.True(sent <= DefaultWindowBytes+3*len(message))
	}
	f.is.Equal(f.client.Stats().ProtocolErrors, uint64(1))
}

// TestCallsReportedNotRunNeverReachHandlers crashes, pauses, partitions and shuts down servers under load: no call that
// is reported as having had no effect may have reached a handler.
func TestCallsReportedNotRunNeverReachHandlers(t *testing.T) {
	outcomes := make(map[string]int)
	for seed := range uint64(20) {
		run(t, strconv.FormatUint(seed, 10), ServerOptions{MaxInFlight: 20}, func(f *fixture) {
			checkNotRunCalls(f, seed, outcomes)
		})
	}
	t.Log(outcomes)
	is := is.New(t)
	is.True(outcomes["done"] > 0)
	is.True(outcomes["not run"] > 0)
	is.True(outcomes["lost"] > 0)
}

func checkNotRunCalls(f *fixture, seed uint64, outcomes map[string]int) {
	random := rand.New(rand.NewPCG(seed, 0))
	var ran sync.Map
	effect := func(ctx context.Context, decode Decode) (Message, error) {
		var request text
		if err := decode(&request); err != nil {
			return nil, err
		}
		ran.Store(request.value.Message[:3], true)
		time.Sleep(10 * time.Millisecond)
		return newText(""), nil
	}
	servers := []*Server{f.server}
	f.server.handlers["effect"] = &handlerEntry{method: "effect", unary: effect}
	const calls = 300
	var group sync.WaitGroup
	results := make([]error, calls)
	for i := range calls {
		at := time.Duration(random.IntN(1000)) * time.Millisecond
		body := strconv.Itoa(100+i) + strings.Repeat("x", random.IntN(30_000))
		group.Go(func() {
			time.Sleep(at)
			results[i] = f.client.Call(f.t.Context(), address, "effect", newText(body), &text{})
		})
	}
	for range 5 {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		switch random.IntN(4) {
		case 0:
			f.network.Pause(serverIP)
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			f.network.Resume(serverIP)
			continue
		case 3:
			heal := f.network.Partition(simnet.ByIP(clientIP), simnet.ByIP(serverIP))
			time.Sleep(time.Duration(random.Int64N(int64(2 * maxLossDetection))))
			heal()
			continue
		case 1:
			f.network.Crash(serverIP)
		case 2:
			_ = servers[len(servers)-1].Shutdown(f.t.Context())
		}
		fresh := NewServer(ServerOptions{MaxInFlight: 20})
		fresh.HandleUnary("effect", effect)
		servers = append(servers, fresh)
		f.serve(fresh, f.network.Restart(serverIP))
	}
	group.Wait()
	for i, err := range results {
		var refusal *Error
		_, reached := ran.Load(strconv.Itoa(100 + i))
		switch {
		case err == nil:
			outcomes["done"]++
			f.is.True(reached)
		case errors.Is(err, ErrNotSent), errors.As(err, &refusal) && refusal.Code != CodeInternal:
			outcomes["not run"]++
			f.is.True(!reached)
		default:
			outcomes["lost"]++
		}
	}
	for _, each := range servers {
		_ = each.Close()
	}
}
