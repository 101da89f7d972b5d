package gateway

import (
	"testing"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// answering answers every attempt with the same events.
type answering struct {
	fakeOwners
	events []peerapi.ExecuteEvent
}

func (a *answering) refill() { a.scripts = []script{{events: a.events}} }

func newAnswering() *answering {
	owners := &answering{}
	for i := range 16 {
		owners.events = append(owners.events, tokens(4*i, 1, 2, 3, 4))
	}
	owners.events = append(owners.events, whole(64))
	return owners
}

// BenchmarkExecute measures the gateway's own work for one request: 16 events of 4 tokens, from one of 300 engines, without
// sockets.
func BenchmarkExecute(b *testing.B) {
	owners := newAnswering()
	gateway := newTestGateway(&owners.fakeOwners, 300)
	b.ReportAllocs()
	for b.Loop() {
		owners.refill()
		owners.requests = owners.requests[:0]
		if end, _, err := run(b.Context(), gateway, searchRequest()); err != nil || end.outcome != completed {
			b.Fatal(end, err)
		}
	}
}

// BenchmarkExecuteOverConnect measures the same through a loopback socket, one request after the other.
func BenchmarkExecuteOverConnect(b *testing.B) {
	owners := newAnswering()
	client, url := serve(b, newTestGateway(&owners.fakeOwners, 300))
	requests := hillforkv1connect.NewRequestServiceClient(client, url)
	b.ReportAllocs()
	for b.Loop() {
		owners.refill()
		owners.requests = owners.requests[:0]
		stream, err := requests.Execute(b.Context(), connect.NewRequest(searchRequest()))
		if err != nil {
			b.Fatal(err)
		}
		parts := 0
		for stream.Receive() {
			parts++
		}
		if stream.Err() != nil || parts != 17 {
			b.Fatal(stream.Err(), parts)
		}
	}
}
