package engineview

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// owner is a process that owns jobs, whose held slots the test sets.
type owner struct {
	directory *fleet.Directory
	publisher *Publisher
	reader    *Reader
	held      atomic.Int64
	owning    atomic.Bool
	// stop ends the process.
	stop func()
}

// newOwner starts a process that knows one engine with four slots.
func newOwner(t *testing.T, store *memorylog.Store, name string, logs io.Writer) *owner {
	o := &owner{directory: fleet.NewDirectory()}
	o.owning.Store(true)
	o.directory.Upsert(fleet.Engine{ID: "e", Pool: "p", Slots: 4})
	o.publisher = NewPublisher(PublisherConfig{
		Log: store.For(name), Machine: name, Source: o.directory, Held: o.heldSlots, Logger: log.New(logs),
	})
	o.reader = NewReader(ReaderConfig{
		Log: store.For(name), Machine: name, Directory: o.directory, Busy: o.owning.Load, Logger: log.New(logs),
	})
	o.reader.Hurry()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { o.publisher.Run(ctx) })
	running.Go(func() { o.reader.Run(ctx) })
	o.stop = func() {
		cancel()
		running.Wait()
	}
	return o
}

func (o *owner) heldSlots() map[string]int {
	if o.held.Load() == 0 {
		return nil
	}
	return map[string]int{"e": int(o.held.Load())}
}

// hasFreeSlot reports whether an item that has just arrived would get a slot.
func (o *owner) hasFreeSlot() bool {
	engine, found := o.directory.Acquire(fleet.Want{Pool: "p", Share: 1, Since: time.Now()})
	if found {
		o.directory.Release(engine.ID)
	}
	return found
}

// maxViewDelay is the maximum time until a view reaches other processes: the intervals of the publisher and the reader
// and two calls of the store.
const maxViewDelay = publishInterval + readSpacing + 2*storeDelay

const storeDelay = 10 * time.Millisecond

func newStore() *memorylog.Store {
	return memorylog.New(memorylog.Config{Partitions: 1, Delay: storeDelay})
}

func TestOwnersSeeSlotsHeldByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a, b := newOwner(t, store, "a", io.Discard), newOwner(t, store, "b", io.Discard)
		time.Sleep(time.Second)
		is.Equal(store.Appends(), 0) // there is nothing to publish
		a.held.Store(4)
		time.Sleep(maxViewDelay)
		is.True(!b.hasFreeSlot())
		is.True(a.hasFreeSlot()) // its own record is skipped
		time.Sleep(10 * time.Second)
		is.True(!b.hasFreeSlot()) // the view is renewed
		is.True(store.Appends() <= 1+int(10*time.Second/renewInterval))
		a.held.Store(0)
		time.Sleep(maxViewDelay)
		is.True(b.hasFreeSlot())
		written := store.Appends()
		time.Sleep(10 * time.Second)
		is.Equal(store.Appends(), written) // nothing more is published
		is.Equal(a.publisher.Written(), int64(written))
		a.held.Store(4)
		time.Sleep(maxViewDelay)
		is.True(!b.hasFreeSlot())
		a.stop()
		time.Sleep(maxViewDelay)
		is.True(b.hasFreeSlot()) // a process that stops removes its view
		b.stop()
	})
}

// TestViewsExpireDuringStoreOutage checks that owners whose reads fail ignore the views of others after a while, and
// read them again once the store is back.
func TestViewsExpireDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a, b := newOwner(t, store, "a", io.Discard), newOwner(t, store, "b", io.Discard)
		a.held.Store(4)
		time.Sleep(time.Second)
		is.True(!b.hasFreeSlot())
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		time.Sleep(2 * time.Second)
		is.True(b.hasFreeSlot())
		store.Heal()
		time.Sleep(time.Second)
		is.True(!b.hasFreeSlot())
		a.stop()
		b.stop()
	})
}

// TestNewOwnerLearnsPacesAtOnce checks that a process that gains a partition knows the paces of engines within 100 ms,
// and ignores held slots in the view of a process that may be gone.
func TestNewOwnerLearnsPacesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		var calls atomic.Int64
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "b" {
				calls.Add(1)
			}
			return memorylog.None
		})
		a, b := newOwner(t, store, "a", io.Discard), newOwner(t, store, "b", io.Discard)
		b.owning.Store(false)
		time.Sleep(2 * time.Second)
		before := calls.Load()
		a.directory.RecordGap("e", 20*time.Millisecond)
		a.held.Store(4)
		time.Sleep(5 * time.Second)
		is.Equal(calls.Load(), before) // a process that owns nothing reads nothing
		is.Equal(b.directory.TypicalPace("p"), time.Duration(0))

		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "a" {
				return memorylog.Down
			}
			return memorylog.None
		})
		b.owning.Store(true)
		b.reader.Hurry()
		time.Sleep(100 * time.Millisecond)
		is.Equal(b.directory.UsualPaces("p"), map[string]time.Duration{"e": 20 * time.Millisecond})
		is.True(b.hasFreeSlot())
		a.stop()
		b.stop()
	})
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		var logs bytes.Buffer
		b := newOwner(t, store, "b", &logs)
		for range 3 {
			_, err := store.For("c").Append(t.Context(), keyedlog.EngineViews, []keyedlog.Record{{Key: "c", Value: []byte("x")}}, nil)
			is.NoErr(err)
			time.Sleep(time.Second)
		}
		a := newOwner(t, store, "a", io.Discard)
		a.held.Store(4)
		time.Sleep(maxViewDelay)
		is.True(!b.hasFreeSlot())
		a.stop()
		b.stop()
		synctest.Wait()
		is.Equal(strings.Count(logs.String(), "view of engines skipped"), 1)
	})
}

// TestRecordsStaySmall checks that the record of an owner that uses 45 engines takes less than 2 KB, and that the
// record for a very large fleet contains only the engines with the most held slots.
func TestRecordsStaySmall(t *testing.T) {
	is := is.New(t)
	makeViews := func(engines int) []fleet.EngineView {
		var views []fleet.EngineView
		for i := range engines {
			views = append(views, fleet.EngineView{Engine: fmt.Sprintf("i-%010d", i), Pace: 34567 * time.Microsecond, Held: i % 9})
		}
		return views
	}
	small, err := encode(makeViews(45))
	is.NoErr(err)
	is.True(len(small) < 2<<10)
	decoded, err := decode(small)
	is.NoErr(err)
	is.Equal(decoded, makeViews(45))
	most := mostHeld(makeViews(900))
	is.Equal(len(most), maxEngines)
	for _, next := range most {
		is.True(next.Held >= 6) // engines beyond the limit hold fewer slots
	}
	large, err := encode(most)
	is.NoErr(err)
	is.True(len(large) < 6<<10)
	none, err := encode(nil)
	is.NoErr(err)
	is.True(none == nil)
	wrong, err := encode([]fleet.EngineView{{Engine: "e", Pace: -time.Second, Held: -3}})
	is.NoErr(err)
	decoded, err = decode(wrong)
	is.NoErr(err)
	is.Equal(decoded, []fleet.EngineView{{Engine: "e"}})
}
