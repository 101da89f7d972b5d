package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/matryer/is"
)

type countingOpener struct{ opened int }

func (o *countingOpener) Open(context.Context, string) (shard.Owner, error) {
	o.opened++
	return nil, nil
}

// TestJoinGateRefusesClaimsUntilJoined checks that a process claims no shard until it has joined or joinLimit has passed, and
// that the gate stays open afterwards.
func TestJoinGateRefusesClaimsUntilJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		joined := false
		opener := &countingOpener{}
		gate := newJoinGate(opener, func() bool { return joined })
		_, err := gate.Open(t.Context(), "steps/w/0")
		var refusal *peer.Error
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Code, peer.CodeNotReady)
		is.Equal(opener.opened, 0)
		joined = true
		_, err = gate.Open(t.Context(), "steps/w/0")
		is.NoErr(err)
		joined = false // other nodes fail later: the remaining ones must take over
		_, err = gate.Open(t.Context(), "steps/w/0")
		is.NoErr(err)
		is.Equal(opener.opened, 2)

		isolated := newJoinGate(opener, func() bool { return false })
		time.Sleep(joinLimit)
		_, err = isolated.Open(t.Context(), "steps/w/0")
		is.NoErr(err) // there may be no other nodes left
	})
}
