package gateway

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

// OwnerCaller calls the owner of a shard or an engine on any node.
type OwnerCaller interface {
	// CallOwner calls the owner of key. An idempotent call may be repeated after it was lost. Errors are those of
	// peer.Caller; a *peer.Error or peer.ErrNotSent applies to all attempts together.
	CallOwner(ctx context.Context, key string, preference placement.Preference, method string,
		request, response peer.Message, idempotent bool) error
	// StreamOwner opens a stream to the owner of key. It follows the hints of peers that do not own the key, and never
	// resends a request that may have taken effect. If patient is set, it may wait briefly for a refusal to pass, for
	// example while the key moves to another owner; otherwise it returns the refusal at once.
	StreamOwner(ctx context.Context, key string, preference placement.Preference, method string,
		request peer.Message, patient bool) (peer.ClientStream, error)
}

// NodeCaller calls a process by its peer address; peer.Caller implements it.
type NodeCaller interface {
	Call(ctx context.Context, address, method string, request, response peer.Message) error
}

// Member is one node as seen by the membership protocol.
type Member struct {
	placement.Member
	// State is alive, suspect, leaving or dead.
	State       string
	Incarnation uint64
	// Heard is when the state was last confirmed; zero if unknown.
	Heard time.Time
}

// MemberDirectory lists the nodes.
type MemberDirectory interface {
	Members() []Member
}

// EngineDirectory lists the machines that run engines. A machine is in state MachineLeaving from the first sign that it
// leaves.
type EngineDirectory interface {
	// Engines lists the engines of a pool, or all engines if pool is empty.
	Engines(pool string) []platform.Machine
}

// BundleAdmin proposes, signs and lists bundles; *bundle.Follower implements it.
type BundleAdmin interface {
	// CaughtUpAt is when the bundle stream was last read to its tail; zero before the first time.
	CaughtUpAt() time.Time
	Propose(ctx context.Context, document []byte) (bundle.ProposeResult, error)
	SignOff(ctx context.Context, signOff bundle.SignOff) (bundle.Status, error)
	Status(digest string) (bundle.Status, error)
	Document(digest string) ([]byte, error)
	List(page bundle.Page) (statuses []bundle.Status, next string, err error)
}
