package replica

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// fakeHolder counts gained partitions and starts no work.
type fakeHolder struct{ gained int }

func (h *fakeHolder) Gained(context.Context, keyedlog.Partition, int64) ownership.Work {
	h.gained++
	return nil
}

// TestGainedPartitionTriggersReadOfOrders checks that a process that has delayed its first read of orders reads them
// when it gains a partition.
func TestGainedPartitionTriggersReadOfOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		orders := follow.New(follow.Config{
			Log: store.For("node"), Partition: keyedlog.Partition{Topic: keyedlog.TopicWeights},
			Applier: &weightApplier{logger: log.New(io.Discard)}, Busy: func() bool { return false }, MaxIdleStartDelay: time.Hour,
			Wait: time.Second, Logger: log.New(io.Discard),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go orders.Run(ctx)
		synctest.Wait()
		is.True(!orders.CaughtUp())

		holder := &fakeHolder{}
		promptingHolder{holder, []promptReader{orders}}.Gained(ctx, keyedlog.Partition{Topic: keyedlog.TopicJobs}, 1)
		synctest.Wait()
		is.True(orders.CaughtUp())
		is.Equal(holder.gained, 1)
	})
}
