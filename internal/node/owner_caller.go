package node

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/route"
)

// maxStreamAttempts bounds the owners that one stream call is offered to; a stream that no owner takes is for its caller
// to place elsewhere.
const maxStreamAttempts = 3

// lostCallTimeout bounds one attempt of a call that may be repeated, long polls included, so that a call to an owner that
// has died goes on to the next owner in time.
const lostCallTimeout = 30 * time.Second

// ownerCaller fills the OwnerCaller and LedgerCaller interfaces of the roles by the router.
type ownerCaller struct {
	router *route.Router
}

func (c ownerCaller) CallOwner(
	ctx context.Context, key string, preference placement.Preference, method string,
	request, response peer.Message, idempotent bool,
) error {
	policy := route.Policy{Idempotent: idempotent, AttemptTimeout: lostCallTimeout}
	return c.router.CallOwner(ctx, key, preference, method, request, response, policy)
}

func (c ownerCaller) StreamOwner(
	ctx context.Context, key string, preference placement.Preference, method string, request peer.Message,
) (peer.ClientStream, error) {
	policy := route.Policy{MaxAttempts: maxStreamAttempts}
	return c.router.StreamOwner(ctx, key, preference, method, request, policy)
}
