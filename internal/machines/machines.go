// Package machines follows the platform's list of machines and merges it with faster signs that a machine is leaving.
//
// The list lags and grows with the deployment, so it is read rarely enough to stay within a byte budget. A machine leaves
// as soon as the list says so, or a gossip fact does, or this process learned it elsewhere. A node that reads of a leaving
// machine in the list publishes the fact: with N nodes reading at random moments, the first one reads N times sooner than
// any single one.
package machines

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

const (
	// DefaultInterval is the shortest time between two reads of the list.
	DefaultInterval = time.Second
	// DefaultBytesPerSecond bounds what reading the list may cost on average.
	DefaultBytesPerSecond = 1024
	// machineOverheadBytes is what a line of the list costs beyond its strings: tags, lengths, kind and state.
	machineOverheadBytes = 20
	// listTimeout bounds one read of the list.
	listTimeout = 10 * time.Second
	// factsDelay is how long changed facts are gathered before they are merged, so that a busy gossip costs little.
	factsDelay = 200 * time.Millisecond
)

// Config sets a Directory up. List is required.
type Config struct {
	List platform.MachineList
	// Interval is the shortest time between two reads; 0 is DefaultInterval.
	Interval time.Duration
	// BytesPerSecond is the byte budget of reading the list; 0 is DefaultBytesPerSecond.
	BytesPerSecond float64
	// Facts shares the word that a machine leaves; nil keeps it local.
	Facts  FactSource
	Logger *log.Logger
	// Mutations switches mechanisms off; only tests set it.
	Mutations mutation.Set
}

// Directory is the merged view of the machines. Its methods may be called by many goroutines; no method blocks on I/O.
// Lock order: the Directory's lock is never held while a FactSource is called.
type Directory struct {
	config Config

	mutex   sync.Mutex
	listed  map[string]platform.Machine
	leaving map[string]bool
	loaded  bool
	bytes   int
	changed chan struct{}
	// views holds the sorted engines of each pool until the next change.
	views    map[string][]platform.Machine
	reads    uint64
	failures uint64
}

// New returns a Directory that knows no machine until Run has read the list.
func New(config Config) *Directory {
	if config.Interval <= 0 {
		config.Interval = DefaultInterval
	}
	if config.BytesPerSecond <= 0 {
		config.BytesPerSecond = DefaultBytesPerSecond
	}
	config.Logger = cmp.Or(config.Logger, log.New(io.Discard))
	return &Directory{
		config:  config,
		listed:  map[string]platform.Machine{},
		leaving: map[string]bool{},
		changed: make(chan struct{}),
		views:   map[string][]platform.Machine{},
	}
}

// Run reads the list until the context ends, and returns the context's error. While the list is down the last good one
// stays in force.
func (d *Directory) Run(ctx context.Context) error {
	for {
		d.refresh(ctx)
		if err := d.wait(ctx, d.nextDelay()); err != nil {
			return err
		}
	}
}

// wait follows the facts until it is time to read the list again.
func (d *Directory) wait(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		var facts <-chan struct{}
		if d.config.Facts != nil {
			facts = d.config.Facts.FactsChanged()
		}
		d.mergeFacts()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-facts:
			if !pause.For(ctx, factsDelay) {
				return ctx.Err()
			}
		}
	}
}

// nextDelay spreads reads by a fifth around the interval, so that the nodes of a deployment read at different moments.
func (d *Directory) nextDelay() time.Duration {
	d.mutex.Lock()
	bytes := d.bytes
	d.mutex.Unlock()
	interval := PollInterval(d.config.Interval, bytes, d.config.BytesPerSecond)
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

// PollInterval returns the time between two reads of a list of so many bytes that keeps within the byte budget.
func PollInterval(shortest time.Duration, listBytes int, bytesPerSecond float64) time.Duration {
	afforded := time.Duration(float64(listBytes) / bytesPerSecond * float64(time.Second))
	return max(shortest, afforded)
}

// refresh reads the list once and publishes the leavers it names.
func (d *Directory) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	machines, err := d.config.List.List(ctx)
	if err != nil {
		d.mutex.Lock()
		d.failures++
		d.mutex.Unlock()
		errorlog.Warn(d.config.Logger, "machine list is unavailable, keeping the last one", oops.Wrapf(err, "read machine list"))
		return
	}
	leavers, returned := d.replaceList(machines)
	for _, id := range leavers {
		d.publish(id, factLeaving)
	}
	for _, id := range returned {
		d.publish(id, factLive)
	}
}

// replaceList takes a new list in. It returns the machines that the list newly says are leaving, and those that were
// leaving, then gone or listed as leaving, and are live now: these are new machines under an old name.
func (d *Directory) replaceList(machines []platform.Machine) (leavers, returned []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	listed := make(map[string]platform.Machine, len(machines))
	bytes := 0
	for _, machine := range machines {
		listed[machine.ID] = machine
		bytes += machineBytes(machine)
		before, known := d.listed[machine.ID]
		wasLeaving := before.State == platform.MachineLeaving
		if machine.State == platform.MachineLeaving && !wasLeaving {
			leavers = append(leavers, machine.ID)
		}
		if machine.State == platform.MachineLive && d.leaving[machine.ID] && (wasLeaving || d.loaded && !known) {
			delete(d.leaving, machine.ID)
			returned = append(returned, machine.ID)
		}
	}
	changed := !d.loaded || len(leavers) > 0 || len(returned) > 0 || !sameMachines(d.listed, listed)
	d.listed = listed
	d.bytes = bytes
	d.loaded = true
	d.reads++
	if changed {
		d.notifyLocked()
	}
	return leavers, returned
}

func machineBytes(machine platform.Machine) int {
	return machineOverheadBytes + len(machine.ID) + len(machine.Address) + len(machine.Zone) + len(machine.Region) + len(machine.Pool)
}

func sameMachines(before, after map[string]platform.Machine) bool {
	if len(before) != len(after) {
		return false
	}
	for id, machine := range after {
		if before[id] != machine {
			return false
		}
	}
	return true
}

func (d *Directory) notifyLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
	clear(d.views)
}

// Changed returns a channel that is closed at the next change of the view.
func (d *Directory) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed
}

// Loaded tells whether the list has been read at least once.
func (d *Directory) Loaded() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.loaded
}

// Machines returns all machines by ID, in order; State is MachineLeaving from the first sign on.
func (d *Directory) Machines() []platform.Machine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.selectLocked(func(platform.Machine) bool { return true })
}

// Engines returns the engines of a pool by ID, in order; all pools' where pool is empty. The slice is shared and must
// not be changed.
func (d *Directory) Engines(pool string) []platform.Machine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	view, known := d.views[pool]
	if !known {
		view = d.selectLocked(func(machine platform.Machine) bool {
			return machine.Kind == platform.MachineEngine && (pool == "" || machine.Pool == pool)
		})
		d.views[pool] = view
	}
	return view
}

func (d *Directory) selectLocked(wanted func(platform.Machine) bool) []platform.Machine {
	selected := make([]platform.Machine, 0, len(d.listed))
	for _, machine := range d.listed {
		if wanted(machine) {
			selected = append(selected, d.mergedLocked(machine))
		}
	}
	sort.Slice(selected, func(i, j int) bool { return selected[i].ID < selected[j].ID })
	return selected
}

func (d *Directory) mergedLocked(machine platform.Machine) platform.Machine {
	if d.config.Mutations.Has(mutation.IgnoreLeaving) && machine.State == platform.MachineLeaving {
		machine.State = platform.MachineLive
		return machine
	}
	if d.leaving[machine.ID] {
		machine.State = platform.MachineLeaving
	}
	return machine
}

// Machine finds a machine by ID.
func (d *Directory) Machine(id string) (platform.Machine, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	machine, known := d.listed[id]
	return d.mergedLocked(machine), known
}

// Preference tells where the dispatcher of an engine had best be: in the engine's own zone, else in its region. It is
// empty for an engine that is not listed.
func (d *Directory) Preference(engine string) placement.Preference {
	machine, _ := d.Machine(engine)
	return placement.Preference{Zone: machine.Zone, Region: machine.Region}
}

// Counts tells how often the list was read and how often that failed.
func (d *Directory) Counts() (reads, failures uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.reads, d.failures
}
