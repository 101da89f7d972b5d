// Package machines polls the platform's list of machines and merges it with faster signals that a machine is leaving.
//
// The list is delayed and grows with the deployment, so it is read rarely enough to stay within a byte budget. A machine counts
// as leaving as soon as the list, a gossip fact or a call in this process says so. A node that finds a leaving machine in the
// list publishes a fact: with N nodes reading at random moments, the first one detects it N times sooner than any single one.
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
	// DefaultInterval is the minimum time between two reads of the list.
	DefaultInterval = time.Second
	// DefaultBytesPerSecond is the average number of bytes per second that reading the list may transfer.
	DefaultBytesPerSecond = 1024
	// machineOverheadBytes is the size of a list entry without its strings: tags, lengths, kind and state.
	machineOverheadBytes = 20
	// listTimeout is the timeout of one read of the list.
	listTimeout = 10 * time.Second
	// factsDelay is the time for which changed facts are collected before they are merged, so that frequent gossip causes little
	// work.
	factsDelay = 200 * time.Millisecond
)

// Config configures a Directory. List is required.
type Config struct {
	List platform.MachineList
	// Interval is the minimum time between two reads; 0 is DefaultInterval.
	Interval time.Duration
	// BytesPerSecond is the byte budget of reading the list; 0 is DefaultBytesPerSecond.
	BytesPerSecond float64
	// Facts shares with other nodes that a machine is leaving; if it is nil, only this process knows.
	Facts  FactSource
	Logger *log.Logger
	// Mutations disables mechanisms; it is set only by tests.
	Mutations mutation.Set
}

// Directory is the merged view of the machines. Its methods are safe for concurrent use and do not block on I/O. Lock order: the
// Directory's lock is never held while a FactSource is called.
type Directory struct {
	config Config

	mutex   sync.Mutex
	listed  map[string]platform.Machine
	leaving map[string]bool
	loaded  bool
	bytes   int
	changed chan struct{}
	// views caches the sorted engines of each pool until the next change.
	views    map[string][]platform.Machine
	reads    uint64
	failures uint64
}

// New returns a Directory that is empty until Run has read the list.
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

// Run polls the list until the context ends, and returns the context's error. While the list is unavailable, the last one remains
// in use.
func (d *Directory) Run(ctx context.Context) error {
	for {
		d.refresh(ctx)
		if err := d.wait(ctx, d.nextDelay()); err != nil {
			return err
		}
	}
}

// wait merges changed facts until the delay before the next read of the list is over.
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

// nextDelay returns the interval with a random jitter of ±10%, so that the nodes of a deployment read at different moments.
func (d *Directory) nextDelay() time.Duration {
	d.mutex.Lock()
	bytes := d.bytes
	d.mutex.Unlock()
	interval := PollInterval(d.config.Interval, bytes, d.config.BytesPerSecond)
	return time.Duration(float64(interval) * (0.9 + 0.2*rand.Float64()))
}

// PollInterval returns the time between two reads of a list of listBytes that stays within the byte budget, and at least
// minInterval.
func PollInterval(minInterval time.Duration, listBytes int, bytesPerSecond float64) time.Duration {
	budgetInterval := time.Duration(float64(listBytes) / bytesPerSecond * float64(time.Second))
	return max(minInterval, budgetInterval)
}

// refresh reads the list once and publishes the changes that it shows: machines that are leaving, and machines that are back.
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
	departing, returned := d.replaceList(machines)
	for _, id := range departing {
		d.publish(id, factLeaving)
	}
	for _, id := range returned {
		d.publish(id, factLive)
	}
}

// replaceList installs a new list. It returns the machines that are newly listed as leaving, and those that were marked as
// leaving, then were missing from the list or listed as leaving, and are live now: these are new machines with the ID of an old
// one.
func (d *Directory) replaceList(machines []platform.Machine) (departing, returned []string) {
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
			departing = append(departing, machine.ID)
		}
		if machine.State == platform.MachineLive && d.leaving[machine.ID] && (wasLeaving || d.loaded && !known) {
			delete(d.leaving, machine.ID)
			returned = append(returned, machine.ID)
		}
	}
	changed := !d.loaded || len(departing) > 0 || len(returned) > 0 || !sameMachines(d.listed, listed)
	d.listed = listed
	d.bytes = bytes
	d.loaded = true
	d.reads++
	if changed {
		d.notifyLocked()
	}
	return departing, returned
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

// Loaded reports whether the list has been read at least once.
func (d *Directory) Loaded() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.loaded
}

// Machines returns all machines sorted by ID. The state of a machine is MachineLeaving as soon as any source says that it is
// leaving.
func (d *Directory) Machines() []platform.Machine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.selectLocked(func(platform.Machine) bool { return true })
}

// Engines returns the engines of a pool sorted by ID, or of all pools if pool is empty. The slice is shared and must not be
// modified.
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

func (d *Directory) selectLocked(include func(platform.Machine) bool) []platform.Machine {
	selected := make([]platform.Machine, 0, len(d.listed))
	for _, machine := range d.listed {
		if include(machine) {
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

// Machine returns the machine with the given ID.
func (d *Directory) Machine(id string) (platform.Machine, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	machine, known := d.listed[id]
	return d.mergedLocked(machine), known
}

// Preference returns the preferred location of the dispatcher of an engine: the engine's own zone, else its region. It is empty
// for an engine that is not listed.
func (d *Directory) Preference(engine string) placement.Preference {
	machine, _ := d.Machine(engine)
	return placement.Preference{Zone: machine.Zone, Region: machine.Region}
}

// Counts returns the number of successful and of failed reads of the list.
func (d *Directory) Counts() (reads, failures uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.reads, d.failures
}
