// Package gateway serves callers, trainers and operators over Connect, and forwards their calls to the owners of shards
// and engines. Except for load hints and retry budgets, it keeps no state beyond a request.
//
// Lock order: the locks of admission, retryBudgets and loadHints are leaf locks; none is held during a call.
package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/placement"
)

// Defaults of Limits.
const (
	// DefaultMaxBodyBytes limits the size of one request message.
	DefaultMaxBodyBytes = 32 << 20
	// DefaultMaxInFlight limits the calls in flight of one workload at one gateway.
	DefaultMaxInFlight = 1024
)

// Limits are the limits of one gateway; the bundle's limits apply as well. Zero values select the defaults.
type Limits struct {
	MaxBodyBytes int
	// MaxInFlight limits the calls in flight of each workload.
	MaxInFlight int
}

// Config configures a Gateway. Fields are required unless their comment says otherwise.
type Config struct {
	// Self is this node; owners in its zone and region are preferred.
	Self    placement.Member
	Owners  OwnerCaller
	Nodes   NodeCaller
	Members MemberDirectory
	Engines EngineDirectory
	Bundles bundle.Source
	// BundleAdmin may be nil; the bundle methods of AdminService are then unavailable.
	BundleAdmin BundleAdmin
	// Picker chooses engines; nil selects PolicyPicker.
	Picker Picker
	Limits Limits
	// Logger may be nil.
	Logger *log.Logger
	// Metrics may be nil.
	Metrics prometheus.Registerer
}

// Gateway serves SampleService, RequestService and AdminService.
type Gateway struct {
	config    Config
	logger    *log.Logger
	metrics   *metrics
	admission *admission
	budgets   *retryBudgets
	router    *EngineRouter
}

// New returns a Gateway.
func New(config Config) *Gateway {
	if config.Limits.MaxBodyBytes <= 0 {
		config.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if config.Limits.MaxInFlight <= 0 {
		config.Limits.MaxInFlight = DefaultMaxInFlight
	}
	if config.Picker == nil {
		config.Picker = PolicyPicker{}
	}
	logger := cmp.Or(config.Logger, log.New(io.Discard))
	return &Gateway{
		config:    config,
		logger:    logger.WithPrefix("gateway"),
		metrics:   newMetrics(config.Metrics),
		admission: newAdmission(),
		budgets:   newRetryBudgets(),
		router:    newEngineRouter(config),
	}
}

// Handler returns the HTTP handler of SampleService, RequestService and AdminService.
func (g *Gateway) Handler() http.Handler {
	options := []connect.HandlerOption{connect.WithReadMaxBytes(g.config.Limits.MaxBodyBytes)}
	mux := http.NewServeMux()
	mux.Handle(hillforkv1connect.NewSampleServiceHandler(&sampleService{gateway: g}, options...))
	mux.Handle(hillforkv1connect.NewRequestServiceHandler(&requestService{gateway: g}, options...))
	mux.Handle(hillforkv1connect.NewAdminServiceHandler(newAdminService(g), options...))
	return mux
}

// Router returns the engine router of this gateway; the request ledger of the same node dispatches through it.
func (g *Gateway) Router() *EngineRouter { return g.router }

// Drain refuses new calls, as not run, and waits until the calls in flight have ended or the context ends.
func (g *Gateway) Drain(ctx context.Context) error {
	return g.admission.drain(ctx)
}

// preference selects owners near this node.
func (g *Gateway) preference() placement.Preference {
	return placement.Preference{Zone: g.config.Self.Zone, Region: g.config.Self.Region}
}
