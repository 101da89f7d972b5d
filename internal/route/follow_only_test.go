package route

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
)

// refusingCaller refuses to open streams, with an error for each address.
type refusingCaller struct {
	peer.Caller
	refusals map[string]error
	calls    []string
}

func (c *refusingCaller) Stream(_ context.Context, address, _ string, _ peer.Message) (peer.ClientStream, error) {
	c.calls = append(c.calls, address)
	return nil, c.refusals[address]
}

// fixedPlacer returns the same owner for every key.
type fixedPlacer struct{ placement.Placer }

func (fixedPlacer) Owner(string, placement.Preference) (placement.Member, bool) {
	return placement.Member{PeerAddress: "a"}, true
}

// Changed returns a channel that is never closed, since the placement never changes.
func (fixedPlacer) Changed() <-chan struct{} { return nil }

// TestFollowOnly checks that a policy with FollowOnly follows hints and returns every other refusal without a retry.
func TestFollowOnly(t *testing.T) {
	hint := &peer.Error{Code: peer.CodeNotOwner, OwnerHint: "b"}
	cases := map[string]struct {
		refusals map[string]error
		calls    int
		want     error
	}{
		"overloaded":             {map[string]error{"a": &peer.Error{Code: peer.CodeOverloaded, RetryAfter: time.Minute}}, 1, nil},
		"not ready":              {map[string]error{"a": &peer.Error{Code: peer.CodeNotReady}}, 1, nil},
		"not sent":               {map[string]error{"a": peer.ErrNotSent}, 1, peer.ErrNotSent},
		"not the owner, no hint": {map[string]error{"a": &peer.Error{Code: peer.CodeNotOwner}}, 1, nil},
		"hint, then overloaded":  {map[string]error{"a": hint, "b": &peer.Error{Code: peer.CodeOverloaded}}, 2, nil},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller := &refusingCaller{refusals: tt.refusals}
				router := New(Config{Caller: caller, Placer: fixedPlacer{}})
				started := time.Now()
				_, err := router.StreamOwner(t.Context(), "k", placement.Preference{}, "m", nil, Policy{FollowOnly: true})
				is.True(err != nil)
				is.True(tt.want == nil || errors.Is(err, tt.want))
				is.Equal(len(caller.calls), tt.calls)
				is.Equal(time.Since(started), time.Duration(0))
			})
		})
	}
}
