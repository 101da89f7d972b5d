package peer

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"

	"github.com/hillfork/hillfork/internal/network"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// text is the message type of these tests.
type text struct{ value wireError }

func newText(value string) *text { return &text{wireError{Message: value}} }

func (t *text) MarshalMsg(b []byte) ([]byte, error)   { return t.value.MarshalMsg(b) }
func (t *text) UnmarshalMsg(b []byte) ([]byte, error) { return t.value.UnmarshalMsg(b) }

func echo(_ context.Context, decode Decode) (Message, error) {
	var request text
	if err := decode(&request); err != nil {
		return nil, err
	}
	return &request, nil
}

// count sends as many messages as the request specifies.
func count(_ context.Context, decode Decode, stream ServerStream) error {
	var request text
	if err := decode(&request); err != nil {
		return err
	}
	n, err := strconv.Atoi(request.value.Message)
	if err != nil {
		return &Error{Code: CodeInvalid, Message: err.Error()}
	}
	for i := range n {
		if err := stream.Send(newText(strconv.Itoa(i))); err != nil {
			return err
		}
	}
	return nil
}

// startLoopback starts a server and a client over real sockets until the test ends and returns them with the server's
// address.
func startLoopback(t testing.TB) (*Client, *Server, string) {
	server := NewServer(ServerOptions{})
	server.HandleUnary("echo", echo)
	server.HandleStream("count", count)
	listener, err := network.System{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := NewClient(network.System{}, ClientOptions{})
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
		if err := <-served; !errors.Is(err, ErrClosed) {
			t.Errorf("Serve returned %v", err)
		}
	})
	return client, server, listener.Addr().String()
}

func TestLoopback(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	client, server, address := startLoopback(t)
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() { callAndCount(t, client, address, strconv.Itoa(i)) })
	}
	group.Wait()
	is := is.New(t)
	server.mu.Lock()
	connections := len(server.connections)
	server.mu.Unlock()
	is.Equal(connections, 1) // all calls share one connection
	is.NoErr(server.Shutdown(t.Context()))
	err := client.Call(t.Context(), address, "echo", newText(""), &text{})
	is.True(errors.Is(err, ErrNotSent)) // the server no longer listens
}

func callAndCount(t *testing.T, client *Client, address, value string) {
	is := is.New(t)
	var response text
	is.NoErr(client.Call(t.Context(), address, "echo", newText(value), &response))
	is.Equal(response.value.Message, value)
	stream, err := client.Stream(t.Context(), address, "count", newText(value))
	is.NoErr(err)
	received := 0
	for {
		err := stream.Receive(&response)
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		is.Equal(response.value.Message, strconv.Itoa(received))
		received++
	}
	is.Equal(strconv.Itoa(received), value)
}

func BenchmarkUnary(b *testing.B) {
	client, _, address := startLoopback(b)
	request := newText("a request of ordinary length, some tens of bytes")
	for _, callers := range []int{1, 64} {
		b.Run(strconv.Itoa(callers)+"callers", func(b *testing.B) {
			b.ReportAllocs()
			benchmarkCalls(b, client, address, callers, request)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

func benchmarkCalls(b *testing.B, client *Client, address string, callers int, request *text) {
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			var response text
			for i := caller; i < b.N; i += callers {
				if err := client.Call(context.Background(), address, "echo", request, &response); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}
