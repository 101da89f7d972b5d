// Package machinelist is a stand-in for the platform's list of live and leaving machines. What it answers lags behind
// what it was told. It fails on request: see docs/STANDINS.md.
package machinelist

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
	"github.com/hillfork/hillfork/internal/standin/lag"
)

// Config configures a List.
type Config struct {
	// Lag is the age of what is answered; 0 is none.
	Lag time.Duration
}

// List is the machine list. It fills platform.MachineList directly, and serves it through Handler.
type List struct {
	// Gate makes the list unavailable or slow.
	fault.Gate

	mutex    sync.Mutex
	machines map[string]platform.Machine
	history  *lag.History[[]platform.Machine]
	// frozen is what is answered while the list is frozen.
	isFrozen bool
	frozen   []platform.Machine
}

var _ platform.MachineList = (*List)(nil)

// New returns an empty list.
func New(config Config) *List {
	return &List{
		machines: make(map[string]platform.Machine),
		history:  lag.NewHistory[[]platform.Machine](config.Lag, nil),
	}
}

// Set adds or replaces a machine by its ID.
func (l *List) Set(machine platform.Machine) {
	l.change(func() { l.machines[machine.ID] = machine })
}

// Remove takes a machine off the list.
func (l *List) Remove(id string) {
	l.change(func() { delete(l.machines, id) })
}

// MarkLeaving makes a machine leaving; an unknown one is ignored.
func (l *List) MarkLeaving(id string) {
	l.change(func() {
		machine, ok := l.machines[id]
		if !ok {
			return
		}
		machine.State = platform.MachineLeaving
		l.machines[id] = machine
	})
}

func (l *List) change(apply func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	apply()
	byID := func(a, b platform.Machine) int { return cmp.Compare(a.ID, b.ID) }
	l.history.Record(slices.SortedFunc(maps.Values(l.machines), byID))
}

// Freeze makes the list answer the same until Thaw, whatever changes.
func (l *List) Freeze() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isFrozen = true
	l.frozen = l.history.Lagging()
}

// Thaw ends Freeze.
func (l *List) Thaw() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isFrozen = false
}

// List returns the machines in order of their IDs, as they were Lag ago.
func (l *List) List(ctx context.Context) ([]platform.Machine, error) {
	if err := l.Pass(ctx); err != nil {
		return nil, err
	}
	machines := l.current()
	if err := l.Pass(ctx); err != nil {
		return nil, err
	}
	return machines, nil
}

func (l *List) current() []platform.Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isFrozen {
		return slices.Clone(l.frozen)
	}
	return slices.Clone(l.history.Lagging())
}

// Handler serves the list by Connect, below the returned path.
func (l *List) Handler() (string, http.Handler) {
	return platformv1connect.NewMachineListServiceHandler(handler{list: l})
}

type handler struct {
	list *List
}

func (h handler) ListMachines(ctx context.Context, _ *connect.Request[platformv1.ListMachinesRequest]) (*connect.Response[platformv1.ListMachinesResponse], error) {
	machines, err := h.list.List(ctx)
	if err != nil {
		return nil, fault.ConnectError(err, connect.CodeUnknown)
	}
	response := &platformv1.ListMachinesResponse{}
	for _, machine := range machines {
		response.Machines = append(response.Machines, &platformv1.Machine{
			Id:      machine.ID,
			Kind:    string(machine.Kind),
			Address: machine.Address,
			Zone:    machine.Zone,
			Region:  machine.Region,
			Pool:    machine.Pool,
			State:   string(machine.State),
		})
	}
	return connect.NewResponse(response), nil
}
