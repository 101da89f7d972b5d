package machines

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
)

type fakeList struct {
	mutex    sync.Mutex
	machines []platform.Machine
	err      error
}

func (f *fakeList) List(context.Context) ([]platform.Machine, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]platform.Machine(nil), f.machines...), f.err
}

func (f *fakeList) set(err error, machines ...platform.Machine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.machines, f.err = machines, err
}

type fakeFacts struct {
	mutex   sync.Mutex
	values  map[string]string
	version map[string]uint64
	changed chan struct{}
}

func newFakeFacts() *fakeFacts {
	return &fakeFacts{values: map[string]string{}, version: map[string]uint64{}, changed: make(chan struct{})}
}

func (f *fakeFacts) SetFact(key string, version uint64, value []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version <= f.version[key] {
		return
	}
	f.values[key], f.version[key] = string(value), version
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFacts) Fact(key string) (uint64, []byte, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	value, known := f.values[key]
	return f.version[key], []byte(value), known
}

func (f *fakeFacts) FactsChanged() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

func engine(id string, state platform.MachineState) platform.Machine {
	return platform.Machine{ID: id, Kind: platform.MachineEngine, Pool: "p", Zone: "z", Region: "r", State: state}
}

func start(t *testing.T, config Config) *Directory {
	directory := New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = directory.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
	return directory
}

func TestAnySourceMarksMachineLeaving(t *testing.T) {
	sources := map[string]func(*fakeList, *fakeFacts, *Directory){
		"list": func(list *fakeList, _ *fakeFacts, _ *Directory) {
			list.set(nil, engine("e1", platform.MachineLeaving), engine("e2", platform.MachineLive))
		},
		"fact": func(_ *fakeList, facts *fakeFacts, _ *Directory) {
			facts.SetFact(LeavingFactKey("e1"), 1, []byte(factLeaving))
		},
		"local": func(_ *fakeList, _ *fakeFacts, directory *Directory) { directory.MarkLeaving("e1") },
	}
	for name, announce := range sources {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				list, facts := &fakeList{}, newFakeFacts()
				list.set(nil, engine("e1", platform.MachineLive), engine("e2", platform.MachineLive))
				directory := start(t, Config{List: list, Facts: facts})
				is.True(!directory.Leaving("e1"))
				changed := directory.Changed()
				announce(list, facts, directory)
				<-changed
				is.True(directory.Leaving("e1"))
				is.Equal(directory.Engines("p")[0].State, platform.MachineLeaving)
				is.Equal(directory.Engines("p")[1].State, platform.MachineLive)
				synctest.Wait()
				_, value, _ := facts.Fact(LeavingFactKey("e1"))
				is.Equal(string(value), factLeaving) // published to all other nodes
			})
		})
	}
}

func TestUnavailableListKeepsLastMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := &fakeList{}
		list.set(nil, engine("e1", platform.MachineLive))
		directory := start(t, Config{List: list})
		list.set(errors.New("down"))
		time.Sleep(time.Minute)
		is.Equal(len(directory.Engines("p")), 1)
		list.set(nil)
		time.Sleep(2 * time.Second)
		is.Equal(len(directory.Engines("p")), 0) // an empty list that was read successfully is applied
	})
}

func TestMachineWithReusedIDIsLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list, facts := &fakeList{}, newFakeFacts()
		list.set(nil, engine("e1", platform.MachineLive))
		directory := start(t, Config{List: list, Facts: facts})
		directory.MarkLeaving("e1")
		time.Sleep(3 * time.Second)
		is.True(directory.Leaving("e1")) // a delayed list does not reset the mark
		list.set(nil)
		time.Sleep(3 * time.Second)
		list.set(nil, engine("e1", platform.MachineLive))
		time.Sleep(3 * time.Second)
		is.True(!directory.Leaving("e1"))
		directory.MarkLeaving("e1")
		is.True(directory.Leaving("e1"))
		directory.MarkLive("e1")
		time.Sleep(3 * time.Second)
		is.True(!directory.Leaving("e1"))
	})
}

func TestPollingStaysWithinByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := &fakeList{}
		var machines []platform.Machine
		total := 0
		for i := range 1310 {
			machine := engine(time.Duration(i).String(), platform.MachineLive)
			machine.Address = "10.20.30.40:12345"
			machines = append(machines, machine)
			total += machineBytes(machine)
		}
		list.set(nil, machines...)
		directory := start(t, Config{List: list})
		const span = 3600
		time.Sleep(span * time.Second)
		reads, _ := directory.Counts()
		perSecond := float64(reads) * float64(total) / span
		is.True(perSecond < 1.1*DefaultBytesPerSecond)
		is.True(perSecond > 0.8*DefaultBytesPerSecond) // most of the budget is used
	})
}
