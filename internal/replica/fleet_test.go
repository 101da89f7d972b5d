package replica

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// A fleet of the test: engines of an application that requests are sent to, and many more of models, whose work comes as jobs. The store
// gives as many bytes a second as a twentieth of all processes reading all engines would take.
const (
	fleetProcesses = 120
	fleetRequested = 200
	fleetTrained   = 1000
	recordBytes    = 550
	fleetReadRate  = fleetProcesses * (fleetRequested + fleetTrained) * recordBytes / 20
)

// fleetDecoder decodes records of the test's engines: pool and address, filled up with blanks. Any configuration has two routes.
type fleetDecoder struct{ RecordDecoder }

func (fleetDecoder) Engine(id string, value []byte) (fleet.Engine, error) {
	fields := strings.Fields(string(value))
	return fleet.Engine{
		ID: id, Pool: fields[0], Address: fields[1], Zone: "zone-a", Slots: 6, Draining: len(fields) > 2,
		Versions: map[string]int64{"model": 1},
	}, nil
}

func (fleetDecoder) OperatorKey(string) (OperatorRecord, string) { return OperatorConfiguration, "" }

func (fleetDecoder) Catalog([]byte) (*catalog.Catalog, error) {
	routes := []catalog.Route{
		{Name: "requests", Host: "host", Prefix: "/r/", Kind: catalog.KindRepeatable, Targets: []catalog.Target{{Pool: "application", Weight: 1}}},
		{Name: "jobs", Host: "host", Prefix: "/j/", Kind: catalog.KindJobs, Targets: []catalog.Target{{Pool: "models", Weight: 1}}},
	}
	pools := map[string]catalog.Pool{
		"application": {Name: "application"}, "models": {Name: "models", Models: []string{"model"}},
	}
	return catalog.New(1, routes, pools, catalog.Limits{}), nil
}

// testFleet is a store with engines, and replicas that follow it.
type testFleet struct {
	*testing.T
	store    *memorylog.Store
	replicas []*Replica
	stop     func()
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{T: t, store: memorylog.New(memorylog.Config{
		Partitions: 8, Delay: 4 * time.Millisecond, PageRecords: 500, ReadRate: fleetReadRate,
	})}
	f.put(keyedlog.Partition{Topic: keyedlog.TopicOperator}, "config", []byte("x"))
	return f
}

func (f *testFleet) put(partition keyedlog.Partition, key string, value []byte) {
	f.Helper()
	if _, err := f.store.For("engine").Append(f.Context(), partition, []keyedlog.Record{{Key: key, Value: value}}, nil); err != nil {
		f.Fatal(err)
	}
}

// engine writes an engine's own record.
func (f *testFleet) engine(id, pool string, number int, state string) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 8080)
	value := bytes.Repeat([]byte(" "), recordBytes)
	copy(value, fmt.Sprint(pool, " ", address, " ", state))
	f.put(keyedlog.Partition{Topic: keyedlog.TopicEngines}, id, value)
}

// register has all engines write their records.
func (f *testFleet) register() {
	for i := range fleetRequested {
		f.engine(fmt.Sprint("a", i), "application", i, "")
	}
	for i := range fleetTrained {
		f.engine(fmt.Sprint("m", i), "models", i, "")
	}
}

// start starts all replicas within a third of a second.
func (f *testFleet) start() {
	ctx, cancel := context.WithCancel(f.Context())
	stop := make(chan struct{})
	var running sync.WaitGroup
	f.replicas = nil
	for i := range fleetProcesses {
		share := 0.2
		if i%5 == 0 {
			share = 0.8
		}
		next := New(Config{
			Settings: Settings{
				Node: fmt.Sprint("node-", i), IP: "10.1.0.1", Zone: "zone-a", ProcessorShare: share, OrderLease: 3 * time.Second,
				MinMemberLifetime: time.Second, StoreReadsPerS: 4000,
			},
			Log: f.store.For(fmt.Sprint("node-", i)), Decoder: fleetDecoder{}, RecordBytes: 1 << 18, CallBytes: 1 << 20,
			Logger: log.New(io.Discard),
		})
		f.replicas = append(f.replicas, next)
		running.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond / fleetProcesses)
			next.Run(ctx, stop)
		})
	}
	f.stop = func() {
		cancel()
		close(stop)
		running.Wait()
	}
}

// knowing counts the replicas that know so many engines of a pool.
func (f *testFleet) knowing(pool string, engines int) int {
	count := 0
	for _, r := range f.replicas {
		if len(r.directory.Pool(pool)) == engines {
			count++
		}
	}
	return count
}

// TestAFleetKnowsItsEnginesSoonAfterItsStart starts many replicas before many engines, whose records all together the store could give to a
// twentieth of them in a second. All replicas must know where to send requests within the seconds that callers leave to a start, those that
// own jobs the engines of the models too. Then an engine says that it leaves, and all replicas stop and start at once.
func TestAFleetKnowsItsEnginesSoonAfterItsStart(t *testing.T) {
	const (
		startWithin   = 5 * time.Second
		changeWithin  = 1500 * time.Millisecond
		restartWithin = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		f.start()
		time.Sleep(time.Second)
		f.register()
		time.Sleep(startWithin)
		is.Equal(f.knowing("application", fleetRequested), fleetProcesses)
		owners := 0
		for _, r := range f.replicas {
			is.True(r.Ready())
			if r.managers[0].Holds() {
				owners++
				is.Equal(len(r.directory.Pool("models")), fleetTrained)
			}
		}
		is.True(owners > 0)

		f.engine("a7", "application", 7, "draining")
		time.Sleep(changeWithin)
		for _, r := range f.replicas {
			known, found := r.directory.Engine("a7")
			is.True(found && known.Draining)
		}
		f.put(keyedlog.Partition{Topic: keyedlog.TopicEngines}, "a7", nil)
		time.Sleep(changeWithin)
		is.Equal(f.knowing("application", fleetRequested-1), fleetProcesses)

		f.stop()
		f.start()
		time.Sleep(restartWithin)
		is.Equal(f.knowing("application", fleetRequested-1), fleetProcesses)
		for _, r := range f.replicas {
			is.True(r.Ready())
		}
		f.stop()
	})
}
