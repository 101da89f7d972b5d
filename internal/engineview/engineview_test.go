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

// owner is a process that owns jobs, with what it holds.
type owner struct {
	directory *fleet.Directory
	publisher *Publisher
	reader    *Reader
	held      atomic.Int64
	owning    atomic.Bool
	// stop ends the process.
	stop func()
}

// newOwner starts a process that knows one engine of four places.
func newOwner(t *testing.T, store *memorylog.Store, name string, logs io.Writer) *owner {
	o := &owner{directory: fleet.NewDirectory()}
	o.owning.Store(true)
	o.directory.Upsert(fleet.Engine{ID: "e", Pool: "p", Slots: 4})
	o.publisher = NewPublisher(PublisherConfig{
		Log: store.For(name), Machine: name, Source: o.directory, Held: o.places, Logger: log.New(logs),
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

func (o *owner) places() map[string]int {
	if o.held.Load() == 0 {
		return nil
	}
	return map[string]int{"e": int(o.held.Load())}
}

// hasRoom tells whether an item that has just come would get a place.
func (o *owner) hasRoom() bool {
	engine, found := o.directory.Acquire(fleet.Want{Pool: "p", Share: 1, Since: time.Now()})
	if found {
		o.directory.Release(engine.ID)
	}
	return found
}

// viewDelay is how long a view takes to reach others at most: the publisher's time, the reader's and two ways through the store.
const viewDelay = publishInterval + readSpacing + 2*storeDelay

const storeDelay = 10 * time.Millisecond

func newStore() *memorylog.Store {
	return memorylog.New(memorylog.Config{Partitions: 1, Delay: storeDelay})
}

func TestOwnersKnowWhatOthersHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a, b := newOwner(t, store, "a", io.Discard), newOwner(t, store, "b", io.Discard)
		time.Sleep(time.Second)
		is.Equal(store.Appends(), 0) // there is nothing to publish
		a.held.Store(4)
		time.Sleep(viewDelay)
		is.True(!b.hasRoom())
		is.True(a.hasRoom()) // its own record is skipped
		time.Sleep(10 * time.Second)
		is.True(!b.hasRoom()) // the view is renewed
		is.True(store.Appends() <= 1+int(10*time.Second/renewInterval))
		a.held.Store(0)
		time.Sleep(viewDelay)
		is.True(b.hasRoom())
		written := store.Appends()
		time.Sleep(10 * time.Second)
		is.Equal(store.Appends(), written) // nothing more is published
		is.Equal(a.publisher.Written(), int64(written))
		a.held.Store(4)
		time.Sleep(viewDelay)
		is.True(!b.hasRoom())
		a.stop()
		time.Sleep(viewDelay)
		is.True(b.hasRoom()) // a process that ends says so
		b.stop()
	})
}

// TestViewsAgeWhileTheStoreIsAway checks that owners that hear nothing decide as if they were alone, and hear again once the store is back.
func TestViewsAgeWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		a, b := newOwner(t, store, "a", io.Discard), newOwner(t, store, "b", io.Discard)
		a.held.Store(4)
		time.Sleep(time.Second)
		is.True(!b.hasRoom())
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		time.Sleep(2 * time.Second)
		is.True(b.hasRoom())
		store.Heal()
		time.Sleep(time.Second)
		is.True(!b.hasRoom())
		a.stop()
		b.stop()
	})
}

// TestANewOwnerKnowsPacesAtOnce checks that a process which gains a partition knows how quick engines are within 100 ms, and believes no
// place to be held by the word of who may be gone.
func TestANewOwnerKnowsPacesAtOnce(t *testing.T) {
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
		is.True(b.hasRoom())
		a.stop()
		b.stop()
	})
}

func TestARecordThatCantBeReadIsSkipped(t *testing.T) {
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
		time.Sleep(viewDelay)
		is.True(!b.hasRoom())
		a.stop()
		b.stop()
		synctest.Wait()
		is.Equal(strings.Count(logs.String(), "view of engines skipped"), 1)
	})
}

// TestRecordsStaySmall checks that an owner of 45 engines tells less than 2 KB at a time, and of the largest fleets only the engines that
// it uses most.
func TestRecordsStaySmall(t *testing.T) {
	is := is.New(t)
	of := func(engines int) []fleet.EngineView {
		var views []fleet.EngineView
		for i := range engines {
			views = append(views, fleet.EngineView{Engine: fmt.Sprintf("i-%010d", i), Pace: 34567 * time.Microsecond, Held: i % 9})
		}
		return views
	}
	small, err := encode(of(45))
	is.NoErr(err)
	is.True(len(small) < 2<<10)
	back, err := decode(small)
	is.NoErr(err)
	is.Equal(back, of(45))
	most := mostHeld(of(900))
	is.Equal(len(most), maxEngines)
	for _, next := range most {
		is.True(next.Held >= 6) // places beyond the bound are of engines that are used less
	}
	large, err := encode(most)
	is.NoErr(err)
	is.True(len(large) < 6<<10)
	none, err := encode(nil)
	is.NoErr(err)
	is.True(none == nil)
	wrong, err := encode([]fleet.EngineView{{Engine: "e", Pace: -time.Second, Held: -3}})
	is.NoErr(err)
	back, err = decode(wrong)
	is.NoErr(err)
	is.Equal(back, []fleet.EngineView{{Engine: "e"}})
}
