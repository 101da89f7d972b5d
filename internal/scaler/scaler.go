// Package scaler orders engines from the platform according to the needs of steps. It is a duty: one machine at a time
// orders. Package policy decides how many engines to order, and in which zones, from the loads of the last steps. This
// package collects the loads, sends the orders and stores what was ordered, so that a successor continues from there.
// Regular engines are not changed. Engines that steps need beyond them are ordered as preemptible engines, which the
// platform may take away and which cost a fraction of the price; their runs then continue on other engines.
package scaler

import (
	"cmp"
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
	// ordersKey is the key of the record of orders in the duty's partition.
	ordersKey = "orders"
	// checkInterval is how often the needs of steps are checked: a small fraction of the boot time of an engine.
	checkInterval = 500 * time.Millisecond
	// refusalBackoff is how long no more engines are ordered in a zone that had none left.
	refusalBackoff = 5 * time.Second
	// shrinkDelay is how long engines must have been surplus before they are returned: the time of some steps.
	shrinkDelay = 30 * time.Second
	// callTimeout limits the call for one order.
	callTimeout = 400 * time.Millisecond
)

// Order is the number of engines of a kind that a zone is to have.
type Order struct {
	Pool        string
	Zone        string
	Preemptible bool
	Count       int
}

// Outcome is the outcome of an order.
type Outcome int

// Outcomes of orders.
const (
	// Unknown means that the order got no response, or was not processed.
	Unknown Outcome = iota
	// Taken means that the zone is to have as many engines as ordered.
	Taken
	// NoneLeft means that the zone has no more engines available now.
	NoneLeft
)

var outcomeNames = [...]string{"unknown", "taken", "none_left"}

// String returns the name used in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Provider accepts orders.
type Provider interface {
	// OrderEngines orders engines. token is the token of the duty's holder. Repeating an order has no effect.
	OrderEngines(ctx context.Context, token int64, order Order) (Outcome, error)
}

// Config configures a scaler.
type Config struct {
	Provider  Provider
	Catalog   *catalog.Holder
	Directory *fleet.Directory
	// Loads returns the load that the steps of each model put on engines.
	Loads  func() map[string]policy.StepLoad
	Logger *log.Logger
}

// Scaler is the duty of ordering engines; it implements duty.Duty.
type Scaler struct {
	config Config
}

// New returns a scaler with the given configuration.
func New(config Config) *Scaler {
	return &Scaler{config: config}
}

// Name returns the name of the duty in logs.
func (s *Scaler) Name() string { return "engines" }

// Perform orders engines until the context ends.
func (s *Scaler) Perform(ctx context.Context, tenure *duty.Tenure) {
	t := &term{
		config: s.config, tenure: tenure, ordered: make(map[string]map[string]int), accepted: make(map[poolZone]bool),
		refusedUntil: make(map[poolZone]time.Time), surplusSince: make(map[string]time.Time),
		present: make(map[poolZone]presence), reclaimed: make(map[poolZone]bool), delayed: make(map[poolZone]delayedReduction),
	}
	t.restore()
	for {
		if !t.check(ctx) || !pause.For(ctx, checkInterval) {
			return
		}
	}
}

// poolZone is a zone of a pool, the target of an order.
type poolZone struct {
	pool, zone string
}

// term is the state for the time in which this process holds the duty. Only the goroutine of Perform accesses it.
type term struct {
	config Config
	tenure *duty.Tenure
	// ordered is the number of preemptible engines last ordered, by pool and zone; accepted holds the zones whose last
	// order this process knows to be accepted.
	ordered  map[string]map[string]int
	accepted map[poolZone]bool
	// refusedUntil maps zones that had no engines left to the end of their refusalBackoff.
	refusedUntil map[poolZone]time.Time
	// surplusSince maps pools to the time since which they have had surplus engines.
	surplusSince map[string]time.Time
	// present holds the preemptible engines known in each zone; reclaimed holds the zones whose engines the provider takes away
	// and whose orders have not been reduced yet.
	present   map[poolZone]presence
	reclaimed map[poolZone]bool
	// delayed holds the reduced orders of zones whose replacements in other zones are still booting.
	delayed map[poolZone]delayedReduction
}

// restore reads the orders of earlier holders.
func (t *term) restore() {
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

// check sends the pending orders. It returns false at the end of the tenure.
func (t *term) check(ctx context.Context) bool {
	current := t.config.Catalog.Current()
	if current == nil || !t.config.Directory.Synced() || t.config.Directory.Partial() {
		return true
	}
	var pending []Order
	loads := t.config.Loads()
	for _, name := range slices.Sorted(maps.Keys(current.Pools)) {
		if pool := current.Pools[name]; pool.Scaling != nil && len(pool.Models) > 0 {
			pending = append(pending, t.plan(pool, loads)...)
		}
	}
	if len(pending) == 0 {
		return true
	}
	return t.send(ctx, pending)
}

// plan returns the pending orders of a pool.
func (t *term) plan(pool catalog.Pool, loads map[string]policy.StepLoad) []Order {
	poolLoads := loadsOf(pool, loads)
	zones, slots := t.zones(pool, policy.MeanItem(poolLoads))
	if slots == 0 {
		return nil
	}
	regular := 0
	for _, zone := range zones {
		regular += zone.Regular
	}
	wanted := policy.EnginesWanted(slots, poolLoads, regular, len(zones)*pool.Scaling.MaxPerZone)
	counts := policy.ScaleOrders(wanted, pool.Scaling.MaxPerZone, zones)
	if !t.mayShrink(pool.Name, zones, counts) {
		return nil
	}
	t.keepUnplaced(pool.Name, zones, counts, wanted-regular)
	t.delayReductions(pool.Name, zones, counts)
	var pending []Order
	for i, zone := range zones {
		key := poolZone{pool.Name, zone.Zone}
		ordered, recorded := t.ordered[pool.Name][zone.Zone]
		if counts[i] != ordered || recorded && !t.accepted[key] {
			pending = append(pending, Order{Pool: pool.Name, Zone: zone.Zone, Preemptible: true, Count: counts[i]})
		}
	}
	// Increases come first.
	slices.SortStableFunc(pending, func(a, b Order) int {
		return cmp.Compare(t.ordered[a.Pool][a.Zone]-a.Count, t.ordered[b.Pool][b.Zone]-b.Count)
	})
	if len(pending) > 0 {
		t.config.Logger.Info("engines are to be ordered", "pool", pool.Name, "regular", regular, "wanted", wanted, "orders", pending,
			"loads", loads)
	}
	return pending
}

// mayShrink reports whether orders may be sent. Orders for fewer engines in total may be sent only after shrinkDelay.
func (t *term) mayShrink(pool string, zones []policy.ZoneEngines, counts []int) bool {
	before, after := 0, 0
	for i, zone := range zones {
		before += zone.Preemptible
		after += counts[i]
	}
	if after >= before {
		delete(t.surplusSince, pool)
		return true
	}
	since, known := t.surplusSince[pool]
	if !known {
		t.surplusSince[pool] = time.Now()
		return false
	}
	return time.Since(since) >= shrinkDelay
}

// zones returns the zones in which engines of a pool are available, sorted by name and with their engine counts, and
// the average number of slots of an engine, 0 if the pool has none. Cold engines count with what they can handle until
// surplus engines could be returned, given the mean time for which an item holds a slot.
func (t *term) zones(pool catalog.Pool, item time.Duration) (zones []policy.ZoneEngines, slots float64) {
	now := time.Now()
	regular := make(map[string]int)
	engines := t.config.Directory.Pool(pool.Name)
	t.countPresent(pool, engines)
	t.recordReclaimed(pool, now)
	total := 0.0
	for _, engine := range engines {
		total += policy.ColdSlots(engine.Slots, pool.ColdRate, item, engine.ColdUntil.Sub(now), shrinkDelay)
		if !engine.Preemptible && !engine.Draining {
			regular[engine.Zone]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pool.Scaling.ZonePrices)) {
		key := poolZone{pool.Name, name}
		serving, available := t.servingOrder(key)
		zones = append(zones, policy.ZoneEngines{
			Zone: name, Regular: regular[name], Preemptible: serving, Price: pool.Scaling.ZonePrices[name],
			Refused: !available || now.Before(t.refusedUntil[key]),
		})
	}
	return zones, total / float64(max(1, len(engines)))
}

func loadsOf(pool catalog.Pool, loads map[string]policy.StepLoad) []policy.StepLoad {
	var own []policy.StepLoad
	for _, model := range pool.Models {
		own = append(own, loads[model])
	}
	return own
}

// send records orders and sends them. It returns false at the end of the tenure. An order that is not accepted within
// its window is sent again by the next check. A refused order is removed from the record, so that no successor assumes
// its engines to be there.
func (t *term) send(ctx context.Context, pending []Order) bool {
	previous := make(map[poolZone]int)
	for _, order := range pending {
		key := poolZone{order.Pool, order.Zone}
		previous[key] = t.ordered[order.Pool][order.Zone]
		t.setOrdered(key, order.Count)
	}
	window, ok := t.announce(ctx)
	if !ok {
		return false
	}
	windowCtx, cancel := window.Context(ctx)
	defer cancel()
	refused := false
	// failed holds the pools of which an increase was not accepted. Their other orders are not reduced in this call.
	failed := make(map[string]bool)
	for _, order := range pending {
		key := poolZone{order.Pool, order.Zone}
		if order.Count < previous[key] && failed[order.Pool] {
			t.setOrdered(key, previous[key])
			refused = true
			continue
		}
		outcome := t.order(windowCtx, order, previous[key])
		t.accepted[key] = outcome == Taken
		failed[order.Pool] = failed[order.Pool] || outcome != Taken && order.Count > previous[key]
		switch outcome {
		case NoneLeft:
			t.refusedUntil[key] = time.Now().Add(refusalBackoff)
			t.setOrdered(key, t.orderedAfterRefusal(order, previous[key]))
			t.dropDelayed(order.Pool)
			refused = true
		case Taken:
			t.recordAccepted(key)
		}
	}
	if refused {
		_, ok = t.announce(ctx)
	}
	return ok
}

// announce records how many engines are ordered. It returns false at the end of the tenure.
func (t *term) announce(ctx context.Context) (fencing.Window, bool) {
	value, err := (&orders{Counts: t.ordered}).MarshalMsg(nil)
	if err != nil {
		errorlog.Error(t.config.Logger, "record of ordered engines does not encode", err)
		return fencing.Window{}, false
	}
	window, err := t.tenure.Announce(ctx, ordersKey, value)
	return window, err == nil
}

func (t *term) setOrdered(key poolZone, count int) {
	if t.ordered[key.pool] == nil {
		t.ordered[key.pool] = make(map[string]int)
	}
	t.ordered[key.pool][key.zone] = count
}

// order sends one order.
func (t *term) order(ctx context.Context, order Order, previous int) Outcome {
	if ctx.Err() != nil {
		return Unknown
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	outcome, err := t.config.Provider.OrderEngines(callCtx, t.tenure.Token(), order)
	t.config.Logger.Info("engines ordered", "pool", order.Pool, "zone", order.Zone, "preemptible", order.Preemptible, "count", order.Count,
		"before", previous, "token", t.tenure.Token(), "outcome", outcome, "error", err)
	return outcome
}
