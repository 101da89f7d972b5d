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

// EngineStreamPrefix starts the name of the shard stream, and the placement key, of an engine.
const EngineStreamPrefix = "engines/"

// DefaultStepShards is how many shards the steps of a workload are spread over.
const DefaultStepShards = 2

// LedgerCaller calls the owner of a key, following hints to where it is. Errors are those of peer.Caller.
type LedgerCaller interface {
	CallOwner(ctx context.Context, key string, preference placement.Preference, method string, request, response peer.Message, idempotent bool) error
}

// Directory is the view of the machines. *machines.Directory fills it.
type Directory interface {
	Engines(pool string) []platform.Machine
	Leaving(id string) bool
	MarkLeaving(id string)
	MarkLive(id string)
	Changed() <-chan struct{}
}

// Timing holds the durations that a dispatcher works by. Zero fields take the defaults.
type Timing struct {
	// Status is the time between two status reads of an engine.
	Status time.Duration
	// StatusTimeout bounds one status read, and every short call of an engine.
	StatusTimeout time.Duration
	// StatusLag is the age that a status may have.
	StatusLag time.Duration
	// Report is the time between two reports on running samples.
	Report time.Duration
	// LongPoll is how long a step ledger may hold a question for work open.
	LongPoll time.Duration
	// Call bounds one call of a step ledger, the long poll apart.
	Call time.Duration
	// RetryMin and RetryMax bound the pause after a failure.
	RetryMin time.Duration
	RetryMax time.Duration
	// Roll is the time over which the waves of a weight roll are spread.
	Roll time.Duration
	// Wave is the longest time between two waves: what a load usually takes.
	Wave time.Duration
	// Load bounds one weight order.
	Load time.Duration
	// LeaveGrace is how long training work may go on at an engine that leaves.
	LeaveGrace time.Duration
	// Settle bounds the hand-back of work when the engine goes to another dispatcher.
	Settle time.Duration
	// Reconcile is the time between two attempts to open the shards of engines placed here.
	Reconcile time.Duration
	// SteadyQuiet is how long the members must be the same before engines are claimed by them; SteadyLimit bounds the wait
	// while they keep changing, and JoinLimit while most of them are not known.
	SteadyQuiet time.Duration
	SteadyLimit time.Duration
	JoinLimit   time.Duration
}

// defaultTiming holds the default of each duration.
var defaultTiming = Timing{
	Status:        2 * time.Second,
	StatusTimeout: 2 * time.Second,
	StatusLag:     time.Second,
	Report:        time.Second,
	LongPoll:      30 * time.Second,
	Call:          10 * time.Second,
	RetryMin:      200 * time.Millisecond,
	RetryMax:      5 * time.Second,
	Roll:          8 * time.Second,
	Wave:          2 * time.Second,
	Load:          60 * time.Second,
	LeaveGrace:    10 * time.Second,
	Settle:        20 * time.Second,
	Reconcile:     2 * time.Second,
	SteadyQuiet:   time.Second,
	SteadyLimit:   15 * time.Second,
	JoinLimit:     time.Minute,
}

// Config sets a Dispatcher up. All fields but Weights, Facts, StepPreference, Logger, StepShards and Timing are required.
type Config struct {
	Placer placement.Placer
	// Joined tells whether this process knows most of the other nodes; nil says that it always does.
	Joined    func() bool
	Opener    shard.Opener
	Directory Directory
	Dialer    platform.EngineDialer
	Bundles   bundle.Source
	Ledger    LedgerCaller
	// Weights is asked for the newest version when a model is first met; nil leaves that to facts and step ledgers.
	Weights platform.WeightStore
	// Facts spreads the newest weight versions; nil leaves them to the step ledgers.
	Facts machines.FactSource
	// StepPreference tells where the owner of a workload's step shards had best be; it must agree with the step
	// ledgers' own. Nil is no preference.
	StepPreference func(workload string) placement.Preference
	// StepShards is how many shards the steps of a workload are spread over; 0 is DefaultStepShards.
	StepShards int
	Timing     Timing
	// Policy chooses how engines load weights.
	Policy policy.Settings
	Logger *log.Logger
	// Mutations switches mechanisms off; only tests set it.
	Mutations mutation.Set
}

func (c Config) withDefaults() Config {
	c.Logger = cmp.Or(c.Logger, log.New(io.Discard))
	if c.StepPreference == nil {
		c.StepPreference = func(string) placement.Preference { return placement.Preference{} }
	}
	setDefault(&c.StepShards, DefaultStepShards)
	setDefault(&c.Timing.Status, defaultTiming.Status)
	setDefault(&c.Timing.StatusTimeout, defaultTiming.StatusTimeout)
	setDefault(&c.Timing.StatusLag, defaultTiming.StatusLag)
	setDefault(&c.Timing.Report, defaultTiming.Report)
	setDefault(&c.Timing.LongPoll, defaultTiming.LongPoll)
	setDefault(&c.Timing.Call, defaultTiming.Call)
	setDefault(&c.Timing.RetryMin, defaultTiming.RetryMin)
	setDefault(&c.Timing.RetryMax, defaultTiming.RetryMax)
	setDefault(&c.Timing.Roll, defaultTiming.Roll)
	setDefault(&c.Timing.Wave, defaultTiming.Wave)
	setDefault(&c.Timing.Load, defaultTiming.Load)
	setDefault(&c.Timing.LeaveGrace, defaultTiming.LeaveGrace)
	setDefault(&c.Timing.Settle, defaultTiming.Settle)
	setDefault(&c.Timing.Reconcile, defaultTiming.Reconcile)
	setDefault(&c.Timing.SteadyQuiet, defaultTiming.SteadyQuiet)
	setDefault(&c.Timing.SteadyLimit, defaultTiming.SteadyLimit)
	setDefault(&c.Timing.JoinLimit, defaultTiming.JoinLimit)
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

// EngineKey is the shard stream and placement key of an engine.
func EngineKey(engine string) string {
	return EngineStreamPrefix + engine
}
