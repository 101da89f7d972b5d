// Package ingress meets the requests of callers at a node: it finds the route, lets the forwarder carry the request, and tells
// the adapter the answer. It knows no protocol.
package ingress

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/hillfork/hillfork/internal/unread"
)

// Config configures an ingress.
type Config struct {
	Catalog   *catalog.Holder
	Splitter  *catalog.Splitter
	Forwarder *forward.Forwarder
	// OnRequest takes the outcome of a request and how long it took.
	OnRequest func(outcome forward.Outcome, took time.Duration)
	// Meter counts the requests of tenants that began to run, nil if nobody asks for that.
	Meter Meter
	// KeyBound is how long a key may be of use after it was taken away where the store can't be reached, 0 for as long as it can't.
	// Confirmed returns when the configuration was last known to be the newest.
	KeyBound  time.Duration
	Confirmed func() time.Time
	// MemoryBytes is what the process may use; large bodies take a part of it at most.
	MemoryBytes int64
	Logger      *log.Logger
}

// Meter counts requests.
type Meter interface {
	// Ran takes that a request of a tenant began to run at a moment.
	Ran(tenant string, at time.Time)
}

// Ingress meets requests. It is safe for concurrent use.
type Ingress struct {
	config Config
	bodies *bodyBudget
	unread *unread.Budget
	// stop is nil until the process is to stop.
	stop atomic.Pointer[plannedStop]
}

// New returns an ingress.
func New(config Config) *Ingress {
	return &Ingress{config: config, bodies: newBodyBudget(config.MemoryBytes), unread: unread.New(config.MemoryBytes, config.Logger)}
}

// Unread returns the budget of what is held in answers that callers have not read.
func (i *Ingress) Unread() *unread.Budget { return i.unread }

// Match says what a request's route is.
type Match int

// Results of looking a route up.
const (
	// Unready says that no configuration is known yet.
	Unready Match = iota
	// Unrouted says that no route leads anywhere.
	Unrouted
	// Routed says that a route was found.
	Routed
)

// Route finds the route of a host and path.
func (i *Ingress) Route(host, path string) (catalog.Route, catalog.Limits, Match) {
	current := i.config.Catalog.Current()
	if current == nil {
		return catalog.Route{}, catalog.Limits{}, Unready
	}
	route, ok := current.Match(hostName(host), path)
	if !ok || len(route.Targets) == 0 {
		return catalog.Route{}, current.Limits, Unrouted
	}
	return route, current.Limits, Routed
}

// Admission says whether a request may go on.
type Admission int

// Results of looking a key up.
const (
	// Admitted says that the request may go on, in the name of a tenant if there is one.
	Admitted Admission = iota
	// UnknownKey says that no tenant has the key, or that none was given.
	UnknownKey
	// NoConfiguration says that no configuration is known yet.
	NoConfiguration
	// StaleKeys says that the keys in force can't be told: the configuration was not confirmed for longer than keys may outlive
	// their removal.
	StaleKeys
)

// Admit finds whose a request is by its key: nobody's where the configuration names no tenants, or on a public route. Keys are looked up
// for each request and not for each connection, so that one that is taken away is of no use on connections that are open.
func (i *Ingress) Admit(requestID string, public bool, key string) (tenantName string, admission Admission) {
	current := i.config.Catalog.Current()
	if current == nil {
		return "", NoConfiguration
	}
	if current.Tenants == nil {
		return "", Admitted
	}
	found, known := current.Tenants.Find(key)
	switch {
	case public:
		return found.Name, Admitted
	case i.config.KeyBound > 0 && time.Since(i.config.Confirmed()) > i.config.KeyBound:
		admission = StaleKeys
	case !known:
		admission = UnknownKey
	default:
		return found.Name, Admitted
	}
	i.config.Logger.Info("request not admitted", "request", requestID, "admission", admission, "key", tenant.Fingerprint(key),
		"configuration", current.Version)
	return "", admission
}

var admissionNames = [...]string{"admitted", "unknown_key", "no_configuration", "stale_keys"}

// String returns the name used in logs.
func (a Admission) String() string {
	return admissionNames[a]
}

// Limits returns the limits in force.
func (i *Ingress) Limits() catalog.Limits {
	if current := i.config.Catalog.Current(); current != nil {
		return current.Limits
	}
	return catalog.Limits{}
}

func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

const (
	// slotWaitShare is the part of the aim for which a request waits for an engine with room before it is refused.
	slotWaitShare = 0.25
	// slotWaitWithoutTarget bounds the wait on routes without an aim.
	slotWaitWithoutTarget = 50 * time.Millisecond
	// defaultRequestTimeout bounds a request that names no deadline on a route without a timeout.
	defaultRequestTimeout = 60 * time.Second
	// gapTargets is how many aims an engine may be silent within a stream before another goes on.
	gapTargets = 2
)

// requestTimeout returns how long a request of a route may be held. budget is the time that the caller waits, 0 if it did not say.
func requestTimeout(route catalog.Route, budget time.Duration) time.Duration {
	bound := defaultRequestTimeout
	if route.Timeout > 0 {
		bound = route.Timeout
	}
	if budget > 0 {
		bound = min(bound, budget)
	}
	return bound
}

// newRequest makes the forwarder's newRequest. budget is the time that the caller waits, 0 if it did not say.
func (i *Ingress) newRequest(route catalog.Route, call engineapi.Call, received time.Time, budget time.Duration) forward.Request {
	patience := slotWaitWithoutTarget
	if route.Aim > 0 {
		patience = time.Duration(slotWaitShare * float64(route.Aim))
	}
	call.Priority = engineapi.NoPriority
	return forward.Request{
		Pool: i.config.Splitter.Pick(route), Regions: i.config.Catalog.Regions(route, call.Tenant), Call: call, Deadline: received.Add(requestTimeout(route, budget)), Patience: patience, Aim: route.Aim,
		MaxAttempts: route.MaxAttempts, MayRepeat: route.MayRepeat(),
	}
}

// Carry carries a request whose answer is passed on whole.
func (i *Ingress) Carry(
	ctx context.Context, route catalog.Route, call engineapi.Call, received time.Time, budget time.Duration,
) forward.Answer {
	request := i.newRequest(route, call, received, budget)
	answer := i.config.Forwarder.Do(ctx, request)
	i.meter(call.Tenant, answer.RanAt)
	i.reportSettled(route, request, answer, received)
	return answer
}

// Stream carries a request whose answer is passed on event by event.
func (i *Ingress) Stream(
	ctx context.Context, route catalog.Route, model string, call engineapi.Call, received time.Time, budget time.Duration,
	receiver forward.StreamReceiver,
) forward.Answer {
	request := i.newRequest(route, call, received, budget)
	request.Call.Priority = min(9, i.config.Catalog.Priority(route, call.Tenant))
	answer := i.config.Forwarder.Stream(ctx, forward.StreamRequest{
		Request: request, Model: model, Resumable: route.Resumable, Gap: gapTargets * route.Aim,
	}, &meteredReceiver{StreamReceiver: receiver, onFirstEvent: func() { i.meter(call.Tenant, time.Now()) }})
	i.reportSettled(route, request, answer, received)
	return answer
}

// meter counts a request that began to run; a zero time says that it did not.
func (i *Ingress) meter(tenantName string, at time.Time) {
	if i.config.Meter != nil && tenantName != "" && !at.IsZero() {
		i.config.Meter.Ran(tenantName, at)
	}
}

// meteredReceiver tells when the first event of a stream has come: with it a request begins to run.
type meteredReceiver struct {
	forward.StreamReceiver
	onFirstEvent func()
	once         sync.Once
}

// Event passes an event on.
func (m *meteredReceiver) Event(event engineapi.Event) error {
	m.once.Do(m.onFirstEvent)
	return m.StreamReceiver.Event(event)
}

func (i *Ingress) reportSettled(route catalog.Route, request forward.Request, answer forward.Answer, received time.Time) {
	took := time.Since(received)
	if i.config.OnRequest != nil {
		i.config.OnRequest(answer.Outcome, took)
	}
	status := 0
	if answer.Reply != nil {
		status = answer.Reply.Status
	}
	i.config.Logger.Info("request settled", "request", request.Call.RequestID, "route", route.Name, "pool", request.Pool,
		"tenant", request.Call.Tenant,
		"outcome", answer.Outcome, "status", status, "engine", answer.EngineID, "attempts", answer.Attempts,
		"failures", answer.Failures, "tried", strings.Join(answer.Tried, ","), "cause", answer.Cause, "content", answer.Content,
		"left", time.Until(request.Deadline).Round(time.Millisecond),
		"took", took.Round(100*time.Microsecond))
}
