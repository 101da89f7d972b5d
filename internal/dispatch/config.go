package dispatch

import (
	"cmp"
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/machines"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/shard"
)

// EngineStreamPrefix is the prefix of an engine's shard stream name and placement key.
const EngineStreamPrefix = "engines/"

// DefaultStepShards is the default number of shards that a workload's steps are partitioned into.
const DefaultStepShards = 2

// LedgerCaller calls the owner of a key and follows owner hints. Its errors are those of peer.Caller.
type LedgerCaller interface {
	CallOwner(ctx context.Context, key string, preference placement.Preference, method string, request, response peer.Message, idempotent bool) error
}

// Directory is the view of the machine list. *machines.Directory implements it.
type Directory interface {
	Engines(pool string) []platform.Machine
	Leaving(id string) bool
	MarkLeaving(id string)
	MarkLive(id string)
	Changed() <-chan struct{}
}

// Timing holds the intervals and timeouts of a dispatcher. Zero fields take the defaults.
type Timing struct {
	// StatusInterval is the time between two status reads of an engine.
	StatusInterval time.Duration
	// StatusTimeout limits one status read and every other short call to an engine.
	StatusTimeout time.Duration
	// StatusLag is the maximum age of the data in an engine's status.
	StatusLag time.Duration
	// ReportInterval is the time between two progress reports on running samples.
	ReportInterval time.Duration
	// LongPoll is the maximum time that a step ledger may hold a long poll for work open.
	LongPoll time.Duration
	// CallTimeout limits one call to a step ledger, in addition to the time of a long poll.
	CallTimeout time.Duration
	// RetryMin and RetryMax are the limits of the delay before a retry.
	RetryMin time.Duration
	RetryMax time.Duration
	// RollDuration is the time over which the waves of a weight rollout are spread.
	RollDuration time.Duration
	// MaxWaveInterval is the maximum time between two waves: the usual duration of a load.
	MaxWaveInterval time.Duration
	// LoadTimeout limits one weight order.
	LoadTimeout time.Duration
	// LeaveGrace is how long training work may continue on an engine that is leaving.
	LeaveGrace time.Duration
	// DrainTimeout limits the hand-back of work when another dispatcher takes the engine over.
	DrainTimeout time.Duration
	// ReconcileInterval is the time between two attempts to open the shards of engines placed on this node.
	ReconcileInterval time.Duration
	// MembershipQuiet is how long the membership must be unchanged before engines are claimed. MaxQuietWait limits the
	// wait while the membership keeps changing, and MaxJoinWait limits it while most members are unknown.
	MembershipQuiet time.Duration
	MaxQuietWait    time.Duration
	MaxJoinWait     time.Duration
}

// defaultTiming holds the default of each field of Timing.
var defaultTiming = Timing{
	StatusInterval:    2 * time.Second,
	StatusTimeout:     2 * time.Second,
	StatusLag:         time.Second,
	ReportInterval:    time.Second,
	LongPoll:          30 * time.Second,
	CallTimeout:       10 * time.Second,
	RetryMin:          200 * time.Millisecond,
	RetryMax:          5 * time.Second,
	RollDuration:      8 * time.Second,
	MaxWaveInterval:   2 * time.Second,
	LoadTimeout:       60 * time.Second,
	LeaveGrace:        10 * time.Second,
	DrainTimeout:      20 * time.Second,
	ReconcileInterval: 2 * time.Second,
	MembershipQuiet:   time.Second,
	MaxQuietWait:      15 * time.Second,
	MaxJoinWait:       time.Minute,
}

// Config configures a Dispatcher. All fields are required, except Joined, Weights, Facts, StepPreference, StepShards,
// Timing, Policy, Logger and Mutations.
type Config struct {
	Placer placement.Placer
	// Joined reports whether this process knows most of the other nodes. If nil, the process counts as joined.
	Joined    func() bool
	Opener    shard.Opener
	Directory Directory
	Dialer    platform.EngineDialer
	Bundles   bundle.Source
	Ledger    LedgerCaller
	// Weights is queried for a model's newest version when a bundle first names the model for an owned engine. If nil,
	// versions come from facts and step ledgers only.
	Weights platform.WeightStore
	// Facts distributes the newest weight versions. If nil, versions come from the other sources only.
	Facts machines.FactSource
	// StepPreference returns the preferred location of the owner of a workload's step shards. It must agree with the
	// preference that the step ledgers use. Nil means no preference.
	StepPreference func(workload string) placement.Preference
	// StepShards is the number of shards of a workload's steps; 0 means DefaultStepShards.
	StepShards int
	Timing     Timing
	// Policy selects how engines load weights.
	Policy policy.Settings
	Logger *log.Logger
	// Mutations disables mechanisms; only tests set it.
	Mutations mutation.Set
}

func (c Config) withDefaults() Config {
	c.Logger = cmp.Or(c.Logger, log.New(io.Discard))
	if c.StepPreference == nil {
		c.StepPreference = func(string) placement.Preference { return placement.Preference{} }
	}
	setDefault(&c.StepShards, DefaultStepShards)
	setDefault(&c.Timing.StatusInterval, defaultTiming.StatusInterval)
	setDefault(&c.Timing.StatusTimeout, defaultTiming.StatusTimeout)
	setDefault(&c.Timing.StatusLag, defaultTiming.StatusLag)
	setDefault(&c.Timing.ReportInterval, defaultTiming.ReportInterval)
	setDefault(&c.Timing.LongPoll, defaultTiming.LongPoll)
	setDefault(&c.Timing.CallTimeout, defaultTiming.CallTimeout)
	setDefault(&c.Timing.RetryMin, defaultTiming.RetryMin)
	setDefault(&c.Timing.RetryMax, defaultTiming.RetryMax)
	setDefault(&c.Timing.RollDuration, defaultTiming.RollDuration)
	setDefault(&c.Timing.MaxWaveInterval, defaultTiming.MaxWaveInterval)
	setDefault(&c.Timing.LoadTimeout, defaultTiming.LoadTimeout)
	setDefault(&c.Timing.LeaveGrace, defaultTiming.LeaveGrace)
	setDefault(&c.Timing.DrainTimeout, defaultTiming.DrainTimeout)
	setDefault(&c.Timing.ReconcileInterval, defaultTiming.ReconcileInterval)
	setDefault(&c.Timing.MembershipQuiet, defaultTiming.MembershipQuiet)
	setDefault(&c.Timing.MaxQuietWait, defaultTiming.MaxQuietWait)
	setDefault(&c.Timing.MaxJoinWait, defaultTiming.MaxJoinWait)
	if c.Joined == nil {
		c.Joined = func() bool { return true }
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EngineKey returns the shard stream name and placement key of an engine.
func EngineKey(engine string) string {
	return EngineStreamPrefix + engine
}
