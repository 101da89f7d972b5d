// Package memoryengine is a stand-in of engines behind engineapi.Client, in memory, for tests. Its engines stream events at
// a pace, serve versions of models, take orders and time to load, and fail as told: crash, fall silent, turn work away, break
// streams, lose answers of orders and carry them out late. It keeps what it saw, for tests to judge.
package memoryengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

// Stamp is the signature of every answer.
const Stamp = "signed"

// EventsHeader is the header of a call that says how many events its answer has; without it the answer is one body.
const EventsHeader = "Events"

// Errors that callers see.
var (
	errReset   = errors.New("connection reset")
	errRefused = errors.New("connection refused")
)

// Run is one request as an engine met it.
type Run struct {
	Engine      string
	RequestID   string
	ResumeAfter int64
	Remaining   time.Duration
	At          time.Time
}

// Order is one order as an engine met it.
type Order struct {
	engineapi.LoadOrder
	Engine string
	At     time.Time
}

// Behaviour is how an engine behaves from now on.
type Behaviour struct {
	// Pace is the time between events; Work that of an answer that is one body.
	Pace time.Duration
	Work time.Duration
	// Load is how long a load takes.
	Load time.Duration
	// Down refuses connections, Silent says nothing, Full turns work away, Failing answers 500 to all.
	Down, Silent, Full, Failing bool
	// Status answers with this status to all.
	Status int
	// BreakAfter breaks streams after so many events, once for each request; 0 never.
	BreakAfter int
	// Unframed sends answers without a length. EndAfter ends such streams after so many events, once for each request, as the end of the
	// engine's process does; 0 never.
	Unframed bool
	EndAfter int
	// LoseOrders gives no answer to orders and carries them out after LateOrders; never if that is 0.
	LoseOrders bool
	LateOrders time.Duration
	// Foreign answers with another request's id.
	Foreign bool
	// Crashes tells which calls crash the engine: its process ends once it has worked on one for Work or Pace, whichever the answer
	// takes, and refuses connections from then on. Nil for none.
	Crashes func(call engineapi.Call) bool
	// Leaving reports that the engine leaves, LeavesAt when it ends, zero if it does not say.
	Leaving  bool
	LeavesAt time.Time
}

type engine struct {
	fleet.Engine
	behaviour Behaviour
	sequence  int64
	busyUntil time.Time
	broken    map[string]bool
	// cut is closed when the streams of running requests are reset.
	cut chan struct{}
}

// Engines is a set of engines. It is safe for concurrent use.
type Engines struct {
	mutex   sync.Mutex
	engines map[string]*engine
	runs    []Run
	orders  []Order
	reports []string
	// running counts requests under way by id.
	running map[string]int
	// readers is how many engines load at full speed together, 0 for any number.
	readers int
}

// ServeReaders sets how many engines load at full speed together; more share that.
func (e *Engines) ServeReaders(most int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.readers = most
}

// stretch returns how much longer a load takes that begins now.
func (e *Engines) stretch() float64 {
	loading := 1
	for _, engine := range e.engines {
		if time.Now().Before(engine.busyUntil) {
			loading++
		}
	}
	if e.readers == 0 {
		return 1
	}
	return max(1, float64(loading)/float64(e.readers))
}

// New returns an empty set.
func New() *Engines {
	return &Engines{engines: make(map[string]*engine), running: make(map[string]int)}
}

// Add adds an engine.
func (e *Engines) Add(added fleet.Engine, behaviour Behaviour) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	added.Versions = maps.Clone(added.Versions)
	e.engines[added.ID] = &engine{
		Engine: added, behaviour: behaviour, broken: make(map[string]bool), cut: make(chan struct{}),
	}
}

// Behave changes how an engine behaves; running streams of one that goes down are reset.
func (e *Engines) Behave(id string, behaviour Behaviour) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := e.engines[id]
	found.behaviour = behaviour
	if behaviour.Down {
		found.reset()
	}
}

func (e *engine) reset() {
	close(e.cut)
	e.cut = make(chan struct{})
}

// Runs returns the requests met so far.
func (e *Engines) Runs() []Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Run(nil), e.runs...)
}

// Orders returns the orders met so far.
func (e *Engines) Orders() []Order {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]Order(nil), e.orders...)
}

// Reports returns the IDs of the engines whose reports were requested so far.
func (e *Engines) Reports() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.reports...)
}

// Running returns how many runs of a request are under way.
func (e *Engines) Running(requestID string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running[requestID]
}

// Version returns the version of a model that an engine serves.
func (e *Engines) Version(id, model string) int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.engines[id].Versions[model]
}

// Text returns the whole text of a request of so many events.
func Text(requestID string, events int) []string {
	text := make([]string, events)
	for i := range text {
		text[i] = eventData(requestID, int64(i+1))
	}
	return text
}

func eventData(requestID string, id int64) string {
	return fmt.Sprintf("%s.%d", requestID, id)
}

// Send meets a request.
func (e *Engines) Send(ctx context.Context, target fleet.Engine, call engineapi.Call) (*engineapi.Reply, error) {
	e.mutex.Lock()
	found, ok := e.engines[target.ID]
	if !ok || found.behaviour.Down {
		e.mutex.Unlock()
		return nil, fmt.Errorf("%w: %w", engineapi.ErrNotSent, errRefused)
	}
	behaviour, cut := found.behaviour, found.cut
	loading := time.Now().Before(found.busyUntil)
	if !behaviour.Full && !loading {
		e.runs = append(e.runs, Run{
			Engine: target.ID, RequestID: call.RequestID, ResumeAfter: call.ResumeAfter, Remaining: call.Remaining, At: time.Now(),
		})
		e.running[call.RequestID]++
	}
	version := found.Versions[call.Header.Get("Model")]
	e.mutex.Unlock()
	reply := &engineapi.Reply{Status: http.StatusOK, Stamp: Stamp, Version: version, Header: make(http.Header), Unframed: behaviour.Unframed}
	if behaviour.Full || loading {
		reply.Status, reply.NotRun, reply.Body = http.StatusServiceUnavailable, true, http.NoBody
		return reply, nil
	}
	body := &body{engines: e, engine: found, context: ctx, call: call, behaviour: behaviour, cut: cut, next: call.ResumeAfter + 1}
	body.events, _ = strconv.ParseInt(call.Header.Get(EventsHeader), 10, 64)
	if err := body.begin(); err != nil {
		_ = body.Close()
		return nil, err
	}
	if behaviour.Crashes != nil && behaviour.Crashes(call) {
		_ = body.wait(behaviour.Pace)
		e.Behave(target.ID, Behaviour{Down: true})
		_ = body.Close()
		return nil, errReset
	}
	if behaviour.Failing {
		reply.Status = http.StatusInternalServerError
	}
	if behaviour.Status != 0 {
		reply.Status = behaviour.Status
	}
	reply.Body = body
	return reply, nil
}

// body streams an answer.
type body struct {
	engines   *Engines
	engine    *engine
	context   context.Context
	call      engineapi.Call
	behaviour Behaviour
	cut       chan struct{}
	events    int64
	next      int64
	buffer    []byte
	done      bool
	closed    bool
}

// begin waits as long as the engine works before the head of its answer.
func (b *body) begin() error {
	if b.behaviour.Silent {
		<-b.context.Done()
		return b.context.Err()
	}
	if b.behaviour.Foreign {
		return engineapi.ErrForeignAnswer
	}
	if b.events == 0 {
		return b.wait(b.behaviour.Work)
	}
	return nil
}

func (b *body) wait(duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-b.cut:
		return errReset
	case <-b.context.Done():
		return b.context.Err()
	}
}

// Read yields events one after the other at the engine's pace.
func (b *body) Read(target []byte) (int, error) {
	if len(b.buffer) == 0 {
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	count := copy(target, b.buffer)
	b.buffer = b.buffer[count:]
	return count, nil
}

func (b *body) fill() error {
	if b.done || b.events > 0 && b.next > b.events {
		return io.EOF
	}
	if b.events == 0 {
		b.done = true
		b.buffer = []byte("answer to " + b.call.RequestID)
		return nil
	}
	if err := b.wait(b.behaviour.Pace); err != nil {
		return err
	}
	if b.breaks(b.behaviour.BreakAfter) {
		return errReset
	}
	if b.breaks(b.behaviour.EndAfter) {
		b.done = true
		return io.EOF
	}
	b.engines.mutex.Lock()
	version := b.engine.Versions[b.call.Header.Get("Model")]
	b.engines.mutex.Unlock()
	event := engineapi.Event{ID: b.next, Data: eventData(b.call.RequestID, b.next), Version: version}
	encoded, err := json.Marshal(event)
	if err != nil {
		return err
	}
	b.buffer = append(encoded, '\n')
	b.next++
	return nil
}

// breaks tells whether the stream breaks now, which it does after a number of events.
func (b *body) breaks(after int) bool {
	if after == 0 || b.next <= int64(after) {
		return false
	}
	b.engines.mutex.Lock()
	defer b.engines.mutex.Unlock()
	if b.engine.broken[b.call.RequestID] {
		return false
	}
	b.engine.broken[b.call.RequestID] = true
	return true
}

// Close ends the run.
func (b *body) Close() error {
	b.engines.mutex.Lock()
	defer b.engines.mutex.Unlock()
	if !b.closed {
		b.closed = true
		b.engines.running[b.call.RequestID]--
	}
	return nil
}

// Ended tells whether an engine refuses connections.
func (e *Engines) Ended(_ context.Context, target fleet.Engine) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found, ok := e.engines[target.ID]
	return !ok || found.behaviour.Down
}

// Events reads the events of an answer.
func (e *Engines) Events(content io.Reader) engineapi.EventReader {
	return events{json.NewDecoder(content)}
}

type events struct {
	decoder *json.Decoder
}

func (e events) Next() (engineapi.Event, error) {
	var event engineapi.Event
	err := e.decoder.Decode(&event)
	return event, err
}

// Order meets an order.
func (e *Engines) Order(
	ctx context.Context, target fleet.Engine, order engineapi.LoadOrder,
) (engineapi.OrderOutcome, error) {
	e.mutex.Lock()
	found, ok := e.engines[target.ID]
	if !ok || found.behaviour.Down {
		e.mutex.Unlock()
		return engineapi.OrderUnknown, errRefused
	}
	e.orders = append(e.orders, Order{LoadOrder: order, Engine: target.ID, At: time.Now()})
	behaviour := found.behaviour
	if !behaviour.LoseOrders {
		defer e.mutex.Unlock()
		return found.take(order, e.stretch()), nil
	}
	e.mutex.Unlock()
	if behaviour.LateOrders > 0 {
		time.AfterFunc(behaviour.LateOrders, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			found.take(order, e.stretch())
		})
	}
	<-ctx.Done()
	return engineapi.OrderUnknown, ctx.Err()
}

// take carries an order out; its load takes stretch times as long as usual.
func (e *engine) take(order engineapi.LoadOrder, stretch float64) engineapi.OrderOutcome {
	if time.Now().Before(e.busyUntil) || order.ExpectedSequence != e.sequence {
		return engineapi.OrderConflict
	}
	if e.Versions[order.Model] == order.Version {
		return engineapi.OrderAlreadyServed
	}
	e.sequence++
	e.busyUntil = time.Now().Add(time.Duration(stretch * float64(e.behaviour.Load)))
	if order.Mode == engineapi.LoadCuts {
		e.reset()
	}
	e.Versions = maps.Clone(e.Versions)
	e.Versions[order.Model] = order.Version
	return engineapi.OrderAccepted
}

// Report tells an engine's state.
func (e *Engines) Report(_ context.Context, target fleet.Engine) (engineapi.Report, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found, ok := e.engines[target.ID]
	if !ok || found.behaviour.Down {
		return engineapi.Report{}, errRefused
	}
	report := engineapi.Report{
		Versions: maps.Clone(found.Versions), Busy: time.Now().Before(found.busyUntil), Sequence: found.sequence,
	}
	report.Leaving = found.behaviour.Leaving
	if report.Leaving && !found.behaviour.LeavesAt.IsZero() {
		report.LeavesKnown, report.LeavesIn = true, time.Until(found.behaviour.LeavesAt)
	}
	e.reports = append(e.reports, target.ID)
	if report.Busy {
		// The version is told once it is served.
		report.Versions = nil
	}
	return report, nil
}
