package shard

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
)

// openRefusal returns the error with which Open refuses the test stream.
func openRefusal(is *is.I, m *Manager) *peer.Error {
	_, err := m.Open(context.Background(), testStream)
	var refusal *peer.Error
	is.True(errors.As(err, &refusal))
	return refusal
}

// TestOpenIsSharedByConcurrentCallers checks that concurrent Open calls append one claim and return the same owner.
func TestOpenIsSharedByConcurrentCallers(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		m := NewManager(testConfig(log, "a"))
		defer m.Close()
		var callers sync.WaitGroup
		owners := make([]Owner, 8)
		for i := range owners {
			callers.Go(func() { owners[i] = open(t, m) })
		}
		callers.Wait()
		for _, o := range owners {
			is.Equal(o, owners[0])
		}
		is.Equal(len(log.contents(testStream)), 1)
		is.Equal(m.List(), []Info{{Stream: testStream, Epoch: 1, Offset: 1}})
	})
}

// TestOpenRefusesShardPlacedElsewhere checks the refusals of Open: with the owner's address as hint if the shard is
// placed elsewhere, and as not ready during an outage of the log and after a planned stop.
func TestOpenRefusesShardPlacedElsewhere(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		config := testConfig(log, "a")
		placer := config.Placer.(*fakePlacer)
		m := NewManager(config)
		defer m.Close()
		placer.place("b")
		is.Equal(*openRefusal(is, m), *notOwner(testStream, "b:1"))
		placer.place("")
		is.Equal(*openRefusal(is, m), *notOwner(testStream, ""))
		placer.place("a")
		log.Down()
		is.Equal(openRefusal(is, m).Code, peer.CodeNotReady)
		log.Up()
		is.Equal(open(t, m).Epoch(), uint64(1))
		is.NoErr(m.ReleaseAll(context.Background()))
		is.Equal(openRefusal(is, m).Code, peer.CodeNotReady)
	})
}

// TestClaimIsDeferredForLiveOwner checks that a shard of a live owner is refused until HandoverWait has passed and
// claimed afterwards, without reading the stream again for each refusal.
func TestClaimIsDeferredForLiveOwner(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		first := NewManager(testConfig(log, "a"))
		defer first.Close()
		old := open(t, first)
		_, err := old.Append(context.Background(), proposal("x"))
		is.NoErr(err)
		config := testConfig(log, "b")
		config.Alive = func(node string, incarnation uint64) bool { return node == "a" && incarnation == 1 }
		second := NewManager(config)
		defer second.Close()
		began := time.Now()
		for time.Since(began) < DefaultSettings().HandoverWait {
			is.Equal(openRefusal(is, second).OwnerHint, "a:1")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * DefaultSettings().RefusalTTL)
		is.Equal(open(t, second).Epoch(), uint64(2))
		<-old.Done()
		is.Equal(second.Counters().OpenEntries.Load(), uint64(2)) // the refusals read no entry twice
	})
}

// TestMovedShardIsHandedOver checks that an owned shard is handed over after it was placed elsewhere for SettleTime,
// and not while its placement changes back and forth.
func TestMovedShardIsHandedOver(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		config := testConfig(log, "a")
		placer := config.Placer.(*fakePlacer)
		var handedOver []string
		var m *Manager
		config.OnHandover = func(_ context.Context, stream string) {
			handedOver = append(handedOver, stream)
			is.Equal(openRefusal(is, m).Code, peer.CodeNotReady) // accepts no new work during the hand-over
		}
		m = NewManager(config)
		defer m.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go m.Run(ctx)
		o := open(t, m)
		for range 5 { // placement changes shorter than SettleTime move nothing
			placer.place("b")
			time.Sleep(DefaultSettings().SettleTime / 2)
			placer.place("a")
			time.Sleep(DefaultSettings().SettleTime / 2)
		}
		is.Equal(len(handedOver), 0)
		placer.place("b")
		began := time.Now()
		<-o.Done()
		is.True(time.Since(began) < 2*DefaultSettings().SettleTime)
		is.Equal(handedOver, []string{testStream})
		_, fold := foldAll(log.contents(testStream))
		_, owned := fold.Owner()
		is.True(!owned)
		is.Equal(openRefusal(is, m).OwnerHint, "b:1")
		is.Equal(len(m.List()), 0)
	})
}

var _ placement.Placer = (*fakePlacer)(nil)
