package node

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/route"
)

// maxStreamAttempts is the limit of attempts to open a stream that only the owner of its shard can serve. Any other stream
// that its owner refuses is returned to the caller immediately, so that the caller can open it elsewhere.
const maxStreamAttempts = 4

// lostCallTimeout limits one attempt of an idempotent call, long polls included, so that a call to an owner that has failed
// is retried at the next owner in time.
const lostCallTimeout = 30 * time.Second

// ownerCaller implements the OwnerCaller and LedgerCaller interfaces of the roles with the router. Callers and owners both
// use preferenceOf as the preferred placement of a shard. If callers used their own location instead, their first request
// would go to a node that is not the owner.
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
