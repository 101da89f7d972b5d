package engineview

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// TestOldViewIsNotStoredBehindNewer guards against slots that others take for held: the store applies an append of a view that was given
// up behind the view that followed.
func TestOldViewIsNotStoredBehindNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Delay: storeDelay, Late: time.Second})
		var lost atomic.Bool
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Operation == "append" && lost.CompareAndSwap(false, true) {
				return memorylog.LostLate
			}
			return memorylog.None
		})
		tested := newOwner(t, store, "owner", io.Discard)
		tested.held.Store(4)
		time.Sleep(publishInterval + 2*storeDelay)
		tested.held.Store(1)
		time.Sleep(400 * time.Millisecond)
		tested.stop()
		time.Sleep(2 * time.Second)
		records := store.Records(keyedlog.EngineViews)
		last, err := decode(records[len(records)-1].Value)
		is.NoErr(err)
		is.Equal(len(last), 0)
	})
}
