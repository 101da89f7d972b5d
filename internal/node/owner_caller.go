package node

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/route"
)

// maxStreamAttempts bounds the attempts at opening one stream whose owner nobody can stand in for. Any other stream that
// its owner refuses is for its caller to place elsewhere, at once.
const maxStreamAttempts = 4

// lostCallTimeout bounds one attempt of a call that may be repeated, long polls included, so that a call to an owner that
// has died goes on to the next owner in time.
const lostCallTimeout = 30 * time.Second

// ownerCaller fills the OwnerCaller and LedgerCaller interfaces of the roles by the router. Where a shard had best be is
// decided by preferenceOf alone, for callers as for owners: were callers to go by their own place, each would first ask a
// node that is not the owner.
type ownerCaller struct {
	router       *route.Router
	preferenceOf func(stream string) placement.Preference
}

func (c ownerCaller) CallOwner(
	ctx context.Context, key string, _ placement.Preference, method string,
	request, response peer.Message, idempotent bool,
) error {
	policy := route.Policy{Idempotent: idempotent, AttemptTimeout: lostCallTimeout}
	return c.router.CallOwner(ctx, key, c.preferenceOf(key), method, request, response, policy)
}

func (c ownerCaller) StreamOwner(
	ctx context.Context, key string, _ placement.Preference, method string, request peer.Message, patient bool,
) (peer.ClientStream, error) {
	policy := route.Policy{FollowOnly: true}
	if patient {
		policy = route.Policy{MaxAttempts: maxStreamAttempts}
	}
	return c.router.StreamOwner(ctx, key, c.preferenceOf(key), method, request, policy)
}
