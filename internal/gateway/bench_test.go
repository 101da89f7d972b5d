package gateway

import (
	"testing"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// repeatingOwners answers every attempt with the same events.
type repeatingOwners struct {
	fakeOwners
	events []peerapi.ExecuteEvent
}

func (a *repeatingOwners) resetScripts() { a.scripts = []script{{events: a.events}} }

func newRepeatingOwners() *repeatingOwners {
	owners := &repeatingOwners{}
	for i := range 16 {
		owners.events = append(owners.events, tokens(4*i, 1, 2, 3, 4))
	}
	owners.events = append(owners.events, completedEnd(64))
	return owners
}

// BenchmarkExecute measures the gateway's own cost of one request without sockets: 16 events of 4 tokens, one of 300
// engines.
func BenchmarkExecute(b *testing.B) {
	owners := newRepeatingOwners()
	gateway := newTestGateway(&owners.fakeOwners, 300)
	b.ReportAllocs()
	for b.Loop() {
		owners.resetScripts()
		owners.requests = owners.requests[:0]
		if end, _, err := run(b.Context(), gateway, searchRequest()); err != nil || end.outcome != completed {
			b.Fatal(end, err)
		}
	}
}

// BenchmarkExecuteOverConnect measures the same request over a loopback socket, with sequential requests.
func BenchmarkExecuteOverConnect(b *testing.B) {
	owners := newRepeatingOwners()
	client, url := serve(b, newTestGateway(&owners.fakeOwners, 300))
	requests := hillforkv1connect.NewRequestServiceClient(client, url)
	b.ReportAllocs()
	for b.Loop() {
		owners.resetScripts()
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
