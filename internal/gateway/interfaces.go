package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

// OwnerCaller calls the owner of a shard or an engine, wherever it is.
type OwnerCaller interface {
	// CallOwner calls the owner of key. An idempotent call may be repeated after it was lost. Errors are as of
	// peer.Caller; a *peer.Error or peer.ErrNotSent holds for all attempts together.
	CallOwner(ctx context.Context, key string, preference placement.Preference, method string,
		request, response peer.Message, idempotent bool) error
	// StreamOwner opens a stream to the owner of key. It follows the hints of peers that do not own the key, but does not
	// wait for a refusal to pass, and never sends again what may have taken effect.
	StreamOwner(ctx context.Context, key string, preference placement.Preference, method string,
		request peer.Message) (peer.ClientStream, error)
}

// NodeCaller calls a process by its peer address; peer.Caller fills it.
type NodeCaller interface {
	Call(ctx context.Context, address, method string, request, response peer.Message) error
}

// Member is one node as membership sees it.
type Member struct {
	placement.Member
	// State is alive, suspect, leaving or dead.
	State         string
	Incarnation   uint64
	BundleVersion uint64
	// Heard is when the state was last confirmed; zero where that is not known.
	Heard time.Time
}

// MemberDirectory lists the nodes.
type MemberDirectory interface {
	Members() []Member
}

// EngineDirectory lists the machines that run engines; a leaving one is in MachineLeaving from the first sign on.
type EngineDirectory interface {
	// Engines lists a pool's engines, all engines for an empty pool.
	Engines(pool string) []platform.Machine
}

// BundleState tells how a proposal stands.
type BundleState uint8

// States of a proposal.
const (
	BundleProposed BundleState = iota + 1
	BundleInForce
	BundleSuperseded
	// BundleConflicted says that another proposal on the same base was completed first.
	BundleConflicted
)

// BundleStatus tells how a proposal stands, and who signed it.
type BundleStatus struct {
	Digest   string
	Version  uint64
	Base     uint64
	State    BundleState
	SignedBy []string
	Missing  []string
}

// Errors of BundleAdmin, wrapped.
var (
	// ErrBundleInvalid says that a document or a signature breaks a rule; the message tells line and reason.
	ErrBundleInvalid = errors.New("bundle is invalid")
	// ErrBundleBase says that the bundle's base is not the version in force.
	ErrBundleBase = errors.New("the base of the bundle is not in force")
	// ErrBundleUnknown says that there is no such proposal.
	ErrBundleUnknown = errors.New("no such bundle")
)

// BundleAdmin proposes, signs and lists bundles.
type BundleAdmin interface {
	// Propose publishes a bundle as the operator wrote it.
	Propose(ctx context.Context, document []byte) (BundleStatus, error)
	// Sign publishes one partner's signature.
	Sign(ctx context.Context, digest string, version, base uint64, signature bundle.Signature) (BundleStatus, error)
	// Get returns a proposal and its document by digest, the one in force for an empty digest.
	Get(ctx context.Context, digest string) (BundleStatus, []byte, error)
	// List returns at most size proposals, newest first, from the position on that an earlier call returned as next; 0
	// starts at the newest, and a next of 0 is the end.
	List(position int64, size int) (statuses []BundleStatus, next int64)
	// Age is how long ago the bundle stream was last read to its end.
	Age() time.Duration
}
