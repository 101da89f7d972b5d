// Package ingress handles the requests that callers send to a node. It finds the route, passes the request to the forwarder and
// returns the answer to the protocol adapter. It is independent of the protocol.
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
	// OnRequest is called with the outcome and the duration of each request, nil for none.
	OnRequest func(outcome forward.Outcome, duration time.Duration)
	// Meter counts the requests of tenants that started to run, nil for no counting.
	Meter Meter
	// KeyBound is the maximum time for which a removed key may still be accepted while the store can't be reached, 0 for no limit.
	// Confirmed returns the time at which the configuration was last known to be the newest.
	KeyBound  time.Duration
	Confirmed func() time.Time
	// MemoryBytes is the memory that the process may use. Request bodies and unread responses are limited to shares of it.
	MemoryBytes int64
	Logger      *log.Logger
}

// Meter counts requests.
type Meter interface {
	// Ran counts a request of a tenant that started to run at the given time.
	Ran(tenant string, at time.Time)
}

// Ingress handles requests. It is safe for concurrent use.
type Ingress struct {
	config     Config
	bodyBudget *bodyBudget
	unread     *unread.Budget
	// stop is nil until the process was ordered to stop.
	stop atomic.Pointer[plannedStop]
}

// New returns an ingress.
func New(config Config) *Ingress {
	return &Ingress{config: config, bodyBudget: newBodyBudget(config.MemoryBytes), unread: unread.New(config.MemoryBytes, config.Logger)}
}

// Unread returns the memory budget of response data that callers have not read.
func (i *Ingress) Unread() *unread.Budget { return i.unread }

// Match is the result of a route lookup.
type Match int

// Results of a route lookup.
const (
	// Unready means that the node has no configuration yet.
	Unready Match = iota
	// Unrouted means that no route matches.
	Unrouted
	// Untargeted means that the route has no target at present.
	Untargeted
	// Routed means that a route was found.
	Routed
)

// Route returns the route of a host and path, and the limits in force. The route is valid only for the result Routed.
func (i *Ingress) Route(host, path string) (catalog.Route, catalog.Limits, Match) {
	current := i.config.Catalog.Current()
	if current == nil {
		return catalog.Route{}, catalog.Limits{}, Unready
	}
	route, ok := current.Match(hostName(host), path)
	switch {
	case !ok:
		return catalog.Route{}, current.Limits, Unrouted
	case len(route.Targets) == 0:
		return catalog.Route{}, current.Limits, Untargeted
	default:
		return route, current.Limits, Routed
	}
}

// Admission is the result of checking a request's key.
type Admission int

// Results of checking a key.
const (
	// Admitted means that the request is accepted, on behalf of a tenant if there is one.
	Admitted Admission = iota
	// UnknownKey means that the key belongs to no tenant or is missing.
	UnknownKey
	// NoConfiguration means that the node has no configuration yet.
	NoConfiguration
	// StaleKeys means that it is unknown which keys are in force: the configuration was not confirmed for longer than
	// Config.KeyBound.
	StaleKeys
)

// Admit checks the key of a request and returns the tenant that it belongs to. The tenant is empty if the configuration has no tenants,
// or on a public route if no tenant has the key. Keys are looked up for each request and not for each connection, so that a removed key
// is refused on open connections too.
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
	// slotWaitShare is the share of the route's latency target (Route.Aim) for which a request waits for an engine with a free slot before
	// it is refused.
	slotWaitShare = 0.25
	// slotWaitWithoutTarget is the maximum wait on routes without a latency target.
	slotWaitWithoutTarget = 50 * time.Millisecond
	// defaultRequestTimeout limits a request without a deadline on a route without a timeout.
	defaultRequestTimeout = 60 * time.Second
	// gapTargets is the maximum time between events of a stream before another engine continues it, as a multiple of the latency target.
	gapTargets = 2
)

// noRegion bounds a request whose tenant was removed while its body was read, so that it is refused: its caller may retry it, and then its
// key decides.
var noRegion = []string{}

// requestTimeout returns the timeout of a request on a route. budget is the time for which the caller waits, 0 if unknown.
func requestTimeout(route catalog.Route, budget time.Duration) time.Duration {
	timeout := defaultRequestTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if budget > 0 {
		timeout = min(timeout, budget)
	}
	return timeout
}

// newRequest returns the forwarder's request. budget is the time for which the caller waits, 0 if unknown.
func (i *Ingress) newRequest(route catalog.Route, call engineapi.Call, received time.Time, budget time.Duration) forward.Request {
	slotWait := slotWaitWithoutTarget
	if route.Aim > 0 {
		slotWait = time.Duration(slotWaitShare * float64(route.Aim))
	}
	call.Priority = engineapi.NoPriority
	return forward.Request{
		Pool: i.config.Splitter.Pick(route), Regions: i.config.Catalog.AdmittedRegions(route, call.Tenant, noRegion), Call: call,
		Deadline: received.Add(requestTimeout(route, budget)), MaxSlotWait: slotWait, Aim: route.Aim,
		MaxAttempts: route.MaxAttempts, MayRepeat: route.MayRepeat(),
	}
}

// Forward sends a request to engines of its route and returns the complete response.
func (i *Ingress) Forward(
	ctx context.Context, route catalog.Route, call engineapi.Call, received time.Time, budget time.Duration,
) forward.Answer {
	request := i.newRequest(route, call, received, budget)
	answer := i.config.Forwarder.Do(ctx, request)
	i.meter(call.Tenant, answer.StartedAt)
	i.reportSettled(route, request, answer, received)
	return answer
}

// Stream sends a request to engines of its route and passes the events of the response to receiver.
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

// meter counts a request that started to run at the given time. A zero time means that it did not run.
func (i *Ingress) meter(tenantName string, at time.Time) {
	if i.config.Meter != nil && tenantName != "" && !at.IsZero() {
		i.config.Meter.Ran(tenantName, at)
	}
}

// meteredReceiver calls onFirstEvent at the first event of a stream, since a streamed request counts as started from then on.
type meteredReceiver struct {
	forward.StreamReceiver
	onFirstEvent func()
	once         sync.Once
}

// Event passes an event to the wrapped receiver.
func (m *meteredReceiver) Event(event engineapi.Event) error {
	m.once.Do(m.onFirstEvent)
	return m.StreamReceiver.Event(event)
}

// reportSettled logs the outcome of a request and calls OnRequest.
func (i *Ingress) reportSettled(route catalog.Route, request forward.Request, answer forward.Answer, received time.Time) {
	elapsed := time.Since(received)
	if i.config.OnRequest != nil {
		i.config.OnRequest(answer.Outcome, elapsed)
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
		"took", elapsed.Round(100*time.Microsecond))
}
