package follow

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// discardApplier drops all records.
type discardApplier struct{}

func (discardApplier) Apply(keyedlog.Record, bool) {}
func (discardApplier) Advanced(int64)              {}

// TestConfirmedCountsSuspension checks that the age of the store's last confirmation includes time in suspension,
// during which the monotonic clock does not advance, and that the first answer after a suspension renews the
// confirmation.
func TestConfirmedCountsSuspension(t *testing.T) {
	defer func(before func() time.Duration) { suspended = before }(suspended)
	var suspendedFor time.Duration
	suspended = func() time.Duration { return suspendedFor }
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		follower := New(Config{
			Log: store.For("node"), Partition: keyedlog.Partition{Topic: keyedlog.TopicJobs}, Applier: discardApplier{},
			Logger: log.New(io.Discard),
		})
		is.True(follower.Confirmed().IsZero())
		for range 2 {
			is.NoErr(follower.step(t.Context()))
		}
		confirmed := time.Now()
		is.Equal(follower.Confirmed(), confirmed)

		time.Sleep(time.Second)
		suspendedFor += 4 * time.Second
		is.Equal(time.Since(follower.Confirmed()), 5*time.Second)
		is.Equal(follower.Confirmed(), confirmed.Add(-4*time.Second))

		is.NoErr(follower.step(t.Context()))
		is.Equal(follower.Confirmed(), time.Now())
	})
}
