// Package gateway meets callers, trainers and operators over Connect, and passes their work on to the owners of shards
// and engines. It keeps no state that outlives a request, hints aside.
//
// Lock order: the locks of admission, retryBudgets and loadHints are leaves; none is held across a call.
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
	// DefaultMaxBodyBytes bounds one message of a caller, trainer or operator.
	DefaultMaxBodyBytes = 32 << 20
	// DefaultMaxInFlight bounds the calls of one workload at one gateway.
	DefaultMaxInFlight = 1024
)

// Limits bounds what a gateway takes on; the bundle's limits hold besides. Zero values take the defaults.
type Limits struct {
	MaxBodyBytes int
	// MaxInFlight bounds the calls under way of each workload.
	MaxInFlight int
}

// Config holds what a Gateway needs. Fields may be nil only where it says so.
type Config struct {
	// Self is this node; its zone and region are preferred.
	Self    placement.Member
	Owners  OwnerCaller
	Nodes   NodeCaller
	Members MemberDirectory
	Engines EngineDirectory
	Bundles bundle.Source
	// BundleAdmin may be nil; the bundle calls of the administration API are then unavailable.
	BundleAdmin BundleAdmin
	// Picker chooses engines; nil is PolicyPicker.
	Picker Picker
	Limits Limits
	// Logger may be nil.
	Logger *log.Logger
	// Metrics may be nil.
	Metrics prometheus.Registerer
}

// Gateway serves the three services.
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

// Handler serves SampleService, RequestService and AdminService.
func (g *Gateway) Handler() http.Handler {
	options := []connect.HandlerOption{connect.WithReadMaxBytes(g.config.Limits.MaxBodyBytes)}
	mux := http.NewServeMux()
	mux.Handle(hillforkv1connect.NewSampleServiceHandler(&sampleService{gateway: g}, options...))
	mux.Handle(hillforkv1connect.NewRequestServiceHandler(&requestService{gateway: g}, options...))
	mux.Handle(hillforkv1connect.NewAdminServiceHandler(newAdminService(g), options...))
	return mux
}

// Router chooses engines by what this gateway knows; the request ledger of the same node dispatches through it.
func (g *Gateway) Router() *EngineRouter { return g.router }

// Drain refuses new work, as not run, and waits until the calls under way have ended or the context ends.
func (g *Gateway) Drain(ctx context.Context) error {
	return g.admission.drain(ctx)
}

// preference places owners near this node.
func (g *Gateway) preference() placement.Preference {
	return placement.Preference{Zone: g.config.Self.Zone, Region: g.config.Self.Region}
}
