// Package scaler orders engines from the platform as steps need them. It is a duty: one machine orders at a time. How many, and where, is
// decided by package policy from what the last steps took; this package gathers that, sends the orders and keeps what was ordered, so
// that a successor goes on from there. Regular engines are left as they are; what steps need beyond them is ordered as engines that the
// platform may take away, which cost a part of the price: runs go on elsewhere when that happens.
package scaler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// ordersKey is the key of the record of what was ordered in the duty's partition.
	ordersKey = "orders"
	// lookEvery is how often it is looked at what steps need: a small part of what an engine takes to boot.
	lookEvery = 500 * time.Millisecond
	// refusedFor is how long a zone that had no more engines is not asked for more.
	refusedFor = 5 * time.Second
	// shrinkAfter is how long engines must have been needless before they are given back: some steps.
	shrinkAfter = 30 * time.Second
	// callTimeout bounds one order.
	callTimeout = 400 * time.Millisecond
)

// Order is how many engines of a kind a zone is to have.
type Order struct {
	Pool        string
	Zone        string
	Preemptible bool
	Count       int
}

// Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	// Unknown says that the order drew no answer, or was not looked at.
	Unknown Outcome = iota
	// Taken says that the zone is to have so many.
	Taken
	// NoneLeft says that there are no more engines to be had in the zone now.
	NoneLeft
)

var outcomeNames = [...]string{"unknown", "taken", "none_left"}

// String returns the name used in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Provider takes orders.
type Provider interface {
	// OrderEngines orders engines. token is that of the duty's holder. A repeat changes nothing.
	OrderEngines(ctx context.Context, token int64, order Order) (Outcome, error)
}

// Config configures a scaler.
type Config struct {
	Provider  Provider
	Catalog   *catalog.Holder
	Directory *fleet.Directory
	// Loads returns what the steps of each model ask of engines.
	Loads  func() map[string]policy.StepLoad
	Logger *log.Logger
}

// Scaler is the duty of ordering engines; it implements duty.Duty.
type Scaler struct {
	config Config
}

// New returns a scaler.
func New(config Config) *Scaler {
	return &Scaler{config: config}
}

// Name names the duty in logs.
func (s *Scaler) Name() string { return "engines" }

// Perform orders engines until the context ends.
func (s *Scaler) Perform(ctx context.Context, tenure *duty.Tenure) {
	t := &term{
		config: s.config, tenure: tenure, ordered: make(map[string]map[string]int), taken: make(map[subject]bool),
		refused: make(map[subject]time.Time), needless: make(map[string]time.Time),
	}
	t.recover()
	for {
		if !t.look(ctx) || !pause.For(ctx, lookEvery) {
			return
		}
	}
}

// subject is what an order is about.
type subject struct {
	pool, zone string
}

// term is the time for which this process holds the duty. Only the goroutine of Perform touches it.
type term struct {
	config Config
	tenure *duty.Tenure
	// ordered is how many preemptible engines were ordered last, by pool and zone; taken holds the subjects of which this process
	// knows that the order was taken.
	ordered map[string]map[string]int
	taken   map[subject]bool
	// refused holds until when a zone is not asked for more.
	refused map[subject]time.Time
	// needless is since when a pool has had engines to give back.
	needless map[string]time.Time
}

// recover takes what earlier holders have ordered.
func (t *term) recover() {
	value := t.tenure.Record(ordersKey)
	if value == nil {
		return
	}
	var record orders
	if _, err := record.UnmarshalMsg(value); err != nil {
		errorlog.Error(t.config.Logger, "record of ordered engines does not decode; they are ordered anew", err)
		return
	}
	if record.Counts != nil {
		t.ordered = record.Counts
	}
}

// look orders what is due. It returns false at the end of the tenure.
func (t *term) look(ctx context.Context) bool {
	current := t.config.Catalog.Current()
	if current == nil || !t.config.Directory.Known() || t.config.Directory.Partial() {
		return true
	}
	var due []Order
	loads := t.config.Loads()
	for _, name := range slices.Sorted(maps.Keys(current.Pools)) {
		if pool := current.Pools[name]; pool.Scaling != nil && len(pool.Models) > 0 {
			due = append(due, t.plan(pool, loads)...)
		}
	}
	if len(due) == 0 {
		return true
	}
	return t.send(ctx, due)
}

// plan returns the orders that are due for a pool.
func (t *term) plan(pool catalog.Pool, loads map[string]policy.StepLoad) []Order {
	zones, slots := t.zones(pool)
	if slots == 0 {
		return nil
	}
	regular := 0
	for _, zone := range zones {
		regular += zone.Regular
	}
	wanted := policy.EnginesWanted(slots, loadsOf(pool, loads), regular, len(zones)*pool.Scaling.MaxPerZone)
	counts := policy.ScaleOrders(wanted, pool.Scaling.MaxPerZone, zones)
	if !t.mayShrink(pool.Name, zones, counts) {
		return nil
	}
	var due []Order
	for i, zone := range zones {
		about := subject{pool.Name, zone.Zone}
		if counts[i] != zone.Preemptible || zone.Preemptible > 0 && !t.taken[about] {
			due = append(due, Order{Pool: pool.Name, Zone: zone.Zone, Preemptible: true, Count: counts[i]})
		}
	}
	if len(due) > 0 {
		t.config.Logger.Info("engines are to be ordered", "pool", pool.Name, "regular", regular, "wanted", wanted, "orders", due,
			"loads", loads)
	}
	return due
}

// mayShrink tells whether orders may be sent: those for fewer engines in all only once engines have been needless for long.
func (t *term) mayShrink(pool string, zones []policy.ZoneEngines, counts []int) bool {
	before, after := 0, 0
	for i, zone := range zones {
		before += zone.Preemptible
		after += counts[i]
	}
	if after >= before {
		delete(t.needless, pool)
		return true
	}
	since, known := t.needless[pool]
	if !known {
		t.needless[pool] = time.Now()
		return false
	}
	return time.Since(since) >= shrinkAfter
}

// zones returns the zones in which engines of a pool can be had, in order, with what is there, and how many places an engine has on
// average, 0 if there is none.
func (t *term) zones(pool catalog.Pool) (zones []policy.ZoneEngines, slots float64) {
	now := time.Now()
	regular := make(map[string]int)
	engines := t.config.Directory.Pool(pool.Name)
	total := 0
	for _, engine := range engines {
		total += engine.Slots
		if !engine.Preemptible && !engine.Draining {
			regular[engine.Zone]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pool.Scaling.ZonePrices)) {
		zones = append(zones, policy.ZoneEngines{
			Zone: name, Regular: regular[name], Preemptible: t.ordered[pool.Name][name], Price: pool.Scaling.ZonePrices[name],
			Refused: now.Before(t.refused[subject{pool.Name, name}]),
		})
	}
	return zones, float64(total) / float64(max(1, len(engines)))
}

func loadsOf(pool catalog.Pool, loads map[string]policy.StepLoad) []policy.StepLoad {
	var own []policy.StepLoad
	for _, model := range pool.Models {
		own = append(own, loads[model])
	}
	return own
}

// send writes orders down and sends them. It returns false at the end of the tenure. What is not taken in its window is ordered again
// with the next look. What was refused is taken back in writing, so that no successor takes it for what stands there.
func (t *term) send(ctx context.Context, due []Order) bool {
	before := make(map[subject]int)
	for _, order := range due {
		about := subject{order.Pool, order.Zone}
		before[about] = t.ordered[order.Pool][order.Zone]
		t.set(about, order.Count)
	}
	window, ok := t.announce(ctx)
	if !ok {
		return false
	}
	windowCtx, cancel := window.Context(ctx)
	defer cancel()
	refused := false
	for _, order := range due {
		about := subject{order.Pool, order.Zone}
		outcome := t.order(windowCtx, order, before[about])
		t.taken[about] = outcome == Taken
		if outcome == NoneLeft {
			t.refused[about] = time.Now().Add(refusedFor)
			t.set(about, before[about])
			refused = true
		}
	}
	if refused {
		_, ok = t.announce(ctx)
	}
	return ok
}

// announce writes down how many engines are ordered. It returns false at the end of the tenure.
func (t *term) announce(ctx context.Context) (fencing.Window, bool) {
	value, err := (&orders{Counts: t.ordered}).MarshalMsg(nil)
	if err != nil {
		errorlog.Error(t.config.Logger, "record of ordered engines does not encode", err)
		return fencing.Window{}, false
	}
	window, err := t.tenure.Announce(ctx, ordersKey, value)
	return window, err == nil
}

func (t *term) set(about subject, count int) {
	if t.ordered[about.pool] == nil {
		t.ordered[about.pool] = make(map[string]int)
	}
	t.ordered[about.pool][about.zone] = count
}

// order sends one order.
func (t *term) order(ctx context.Context, order Order, before int) Outcome {
	if ctx.Err() != nil {
		return Unknown
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := t.config.Provider.OrderEngines(callCtx, t.tenure.Token(), order)
	t.config.Logger.Info("engines ordered", "pool", order.Pool, "zone", order.Zone, "preemptible", order.Preemptible, "count", order.Count,
		"before", before, "token", t.tenure.Token(), "outcome", outcome, "error", err)
	return outcome
}
