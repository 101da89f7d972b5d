// Package engineapi defines the interface to one engine (a model sampler or an application server): run an opaque
// request, execute a load order, report the engine's state. It holds types, errors and the interface; an adapter
// implements it.
package engineapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

// Errors of a call to an engine. After any other error the request may have run.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("engine: request was not sent")
	// ErrLeaving means that the engine leaves. It is always wrapped together with ErrNotSent.
	ErrLeaving = errors.New("engine: leaves")
	// ErrForeignAnswer means that the answer carried the id of another request. The request may have run.
	ErrForeignAnswer = errors.New("engine: answer belongs to another request")
	// ErrOtherEngine means that another engine than the intended one answered.
	ErrOtherEngine = errors.New("engine: answer of another engine")
)

// NoPriority is the Priority of a call that states none: the engine chooses its own.
const NoPriority = -1

// Call is one request as it is sent to an engine.
type Call struct {
	// Kind is what the call is for.
	Kind   CallKind
	Method string
	// Target is the path and query, unchanged from the caller.
	Target string
	Host   string
	// Header holds the caller's headers. The adapter overwrites those that it sets itself.
	Header http.Header
	Body   []byte
	// RequestID must be repeated in the answer.
	RequestID string
	// Remaining is the time left for the engine to answer; 0 means no limit is stated.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event already received; 0 starts from the beginning.
	ResumeAfter int64
	// Priority is the rank of the call, 0 being the highest; NoPriority states none.
	Priority int
	// Tenant is the name of the tenant that sent the request, empty if it belongs to none.
	Tenant string
	// HeardSince excludes kept connections over which the engine has sent nothing since then; zero excludes none. A connection may go
	// silent without an end, together with all others that are open at the time.
	HeardSince time.Time
}

// Reply is the status and headers of an engine's answer, with the body still unread.
type Reply struct {
	// Status is from 200 to 599: the adapter passes nothing else on as an answer.
	Status int
	Header http.Header
	// NotRun reports whether the engine guarantees that it did not run the request.
	NotRun bool
	// Stamp is the engine's signature. An answer without one must not be treated as the engine's statement on the request.
	Stamp string
	// Version is the weight version of the first event, 0 if none is stated.
	Version int64
	// Body ends with an error other than io.EOF if it was truncated, or if it ends with its connection and the request could not be sent
	// whole. Closing it early makes the engine cancel the request.
	Body io.ReadCloser
	// Unframed reports whether the answer states no length and ends with its connection. Its end may then be that of the engine's process.
	Unframed bool
}

// Succeeded reports whether the status says that the engine has run the request.
func (r *Reply) Succeeded() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Failed reports whether the status says that the engine has failed to run the request. A status that has no meaning says so too.
func (r *Reply) Failed() bool {
	return r.Status < http.StatusOK || r.Status >= http.StatusInternalServerError
}

// Event is one event of a streamed answer.
type Event struct {
	// ID is the number of the event in its run, from 1.
	ID   int64
	Data string
	// Version is the weight version from this event on, 0 if it is unchanged.
	Version int64
	// Raw holds the bytes of the event as received, including the blank line that ends it.
	Raw []byte
}

// EventReader splits a body into events. Next returns io.EOF only after a complete stream.
type EventReader interface {
	Next() (Event, error)
}

// LoadMode selects what happens to runs in progress under the old version.
type LoadMode int

// Load modes.
const (
	// LoadWaits loads the version after the runs in progress have ended.
	LoadWaits LoadMode = iota
	// LoadCuts resets the streams of the runs in progress.
	LoadCuts
	// LoadKeeps continues the runs in progress under the new version.
	LoadKeeps
)

// LoadOrder orders an engine to load a version of a model.
type LoadOrder struct {
	Model   string
	Version int64
	Mode    LoadMode
	Holder  string
	// Fence is a fencing token that increases with every holder.
	Fence int64
	// ExpectedSequence is the number of orders that the engine must have accepted before. An order that arrives late is
	// rejected because the number differs.
	ExpectedSequence int64
}

// OrderOutcome is the outcome of an order, OrderUnknown if the engine gave no answer.
type OrderOutcome int

// Outcomes of an order.
const (
	// OrderUnknown means that no answer was received; the order may be executed, now or later.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted means that the engine accepted the order and is executing it.
	OrderAccepted
	// OrderAlreadyServed means that the engine already serves the version.
	OrderAlreadyServed
	// OrderConflict means that another order is in progress or that the sequence does not match.
	OrderConflict
	// OrderRefused means that the engine accepts no such order from this holder.
	OrderRefused
	// OrderMisdirected means that the address belongs to another engine now.
	OrderMisdirected
)

// Report is the state that an engine reports of itself. It may be out of date.
type Report struct {
	// Versions maps each model to the version served.
	Versions map[string]int64
	// Busy reports whether an order is in progress.
	Busy bool
	// Sequence is the number of orders accepted since the engine started.
	Sequence int64
	Waiting  int
	Running  int
	// Leaving reports whether the engine leaves. LeavesIn is the time from the report to its end; it is valid if LeavesKnown is set.
	Leaving     bool
	LeavesKnown bool
	LeavesIn    time.Duration
}

// Health is what an engine states of itself in a health response.
type Health struct {
	// ColdFor is how long the engine stays cold, 0 if it is not.
	ColdFor time.Duration
}

// Client sends requests and orders to engines.
type Client interface {
	// Send sends a request and returns the status and headers of the answer.
	Send(ctx context.Context, engine fleet.Engine, call Call) (*Reply, error)
	// Events returns a reader of the events in the body of an answer.
	Events(body io.Reader) EventReader
	// Order sends a load order.
	Order(ctx context.Context, engine fleet.Engine, order LoadOrder) (OrderOutcome, error)
	// Report requests the engine's report.
	Report(ctx context.Context, engine fleet.Engine) (Report, error)
}

// ConnectionStats counts the connections to engines since the start of the process.
type ConnectionStats struct {
	// Opened is the number of connections that were opened, Reused the number of requests that used an idle one.
	Opened, Reused int64
	// NoneIdle, SameIdentity and Silent count the requests for which no idle connection could be used: there was none, all had lately carried
	// a request whose answer could be taken for that to this one, or nothing had arrived over them for too long.
	NoneIdle, SameIdentity, Silent int64
	// ClosedCancelled is the number of connections that were closed because their request was cancelled, ClosedIdle the number of
	// those closed while no request used them, ClosedBroken the number of those that ended during a request.
	ClosedCancelled, ClosedIdle, ClosedBroken int64
	// AbandonedReset is the number of calls of each kind that were abandoned and whose connection was reset, AbandonedClosed the
	// number of those whose connection was closed in the ordinary way, so that a partition of the network may still deliver them.
	AbandonedReset, AbandonedClosed [CallKinds]int64
}

// Connections tracks the connections to engines.
type Connections interface {
	// Stats returns the counts so far.
	Stats() ConnectionStats
	// OnIdle sets the function that is called with the number of idle connections to an engine whenever it changes. The
	// function must not call methods of Connections.
	OnIdle(report func(engineID string, idle int))
}
