// Package engineapi is what the product asks of one engine (a model sampler or an application server): to run an opaque
// request, to take an order, to report on itself. It holds types, errors and the interface; an adapter fills it.
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
	// ErrNotSent says that no byte of the request reached the engine.
	ErrNotSent = errors.New("engine: request was not sent")
	// ErrForeignAnswer says that the answer carried another request's id. The request may have run.
	ErrForeignAnswer = errors.New("engine: answer belongs to another request")
)

// NoPriority leaves the priority of a call to the engine.
const NoPriority = -1

// Call is one request as it is sent to an engine.
type Call struct {
	Method string
	// Target is path and query, unchanged from the caller.
	Target string
	Host   string
	// Header holds the caller's headers; those that an adapter sets itself are overwritten.
	Header http.Header
	Body   []byte
	// RequestID must be echoed by the answer.
	RequestID string
	// Remaining is the time that the engine may take; 0 states none.
	Remaining time.Duration
	// ResumeAfter is the number of the last event that is already there; 0 starts from the beginning.
	ResumeAfter int64
	// Priority ranks the call, 0 first; NoPriority states none.
	Priority int
	// Tenant names whose request it is, empty for nobody's.
	Tenant string
}

// Reply is the head of an engine's answer, with its body still to be read.
type Reply struct {
	Status int
	Header http.Header
	// NotRun says that the engine promises not to have run the request.
	NotRun bool
	// Stamp is the engine's signature; an answer without one is not the engine's word on the request.
	Stamp string
	// Version is the weight version that the events begin with, 0 if none is stated.
	Version int64
	// Body ends with an error other than io.EOF when it was cut short. Closing it early makes the engine drop the request.
	Body io.ReadCloser
}

// Event is one event of a streamed answer.
type Event struct {
	// ID counts the events of a run from 1.
	ID   int64
	Data string
	// Version is the weight version from this event on, 0 where it does not change.
	Version int64
	// Raw holds the event's bytes as they came, with the blank line that ends it.
	Raw []byte
}

// EventReader splits a body into events. Next returns io.EOF only after a whole stream.
type EventReader interface {
	Next() (Event, error)
}

// LoadMode says what becomes of the runs of the old version.
type LoadMode int

// Load modes.
const (
	// LoadWaits lets runs end first.
	LoadWaits LoadMode = iota
	// LoadCuts resets the streams of runs.
	LoadCuts
	// LoadKeeps lets runs go on under the new version.
	LoadKeeps
)

// LoadOrder tells an engine to take a version of a model.
type LoadOrder struct {
	Model   string
	Version int64
	Mode    LoadMode
	Holder  string
	// Fence rises with every holder.
	Fence int64
	// ExpectedSequence is the number of orders that the engine must have taken; an order that arrives late fails by it.
	ExpectedSequence int64
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// Outcomes of an order.
const (
	// OrderUnknown says that the order drew no answer; it may be carried out, now or later.
	OrderUnknown OrderOutcome = iota
	// OrderTaken says that the order is being carried out.
	OrderTaken
	// OrderHolds says that the engine already serves the version.
	OrderHolds
	// OrderConflict says that another order is in progress or that the sequence does not match.
	OrderConflict
	// OrderRefused says that the engine takes no such order from this holder.
	OrderRefused
	// OrderMisdirected says that another engine has the address now.
	OrderMisdirected
)

// Report is an engine's lagging word on itself.
type Report struct {
	// Versions maps models to the version served.
	Versions map[string]int64
	// Busy says that an order is in progress.
	Busy bool
	// Sequence counts the orders taken since the engine's start.
	Sequence int64
	Waiting  int
	Running  int
}

// Client calls engines.
type Client interface {
	// Send sends a request and returns the head of the answer.
	Send(ctx context.Context, engine fleet.Engine, call Call) (*Reply, error)
	// Events reads the events of an answer's body.
	Events(body io.Reader) EventReader
	// Order gives an order.
	Order(ctx context.Context, engine fleet.Engine, order LoadOrder) (OrderOutcome, error)
	// Report asks for the engine's report.
	Report(ctx context.Context, engine fleet.Engine) (Report, error)
}
