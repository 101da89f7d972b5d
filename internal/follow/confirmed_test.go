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

// discarding drops all records.
type discarding struct{}

func (discarding) Apply(keyedlog.Record, bool) {}
func (discarding) Advanced(int64)              {}

// TestConfirmedCountsSuspension checks that what the store confirmed before a suspension is as old as it is in truth, although the steady
// clock stood still, and that the first answer after it confirms anew.
func TestConfirmedCountsSuspension(t *testing.T) {
	defer func(before func() time.Duration) { suspended = before }(suspended)
	var asleep time.Duration
	suspended = func() time.Duration { return asleep }
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		follower := New(Config{
			Log: store.For("node"), Partition: keyedlog.Partition{Topic: keyedlog.TopicJobs}, Applier: discarding{},
			Logger: log.New(io.Discard),
		})
		is.True(follower.Confirmed().IsZero())
		for range 2 {
			is.NoErr(follower.step(t.Context()))
		}
		confirmed := time.Now()
		is.Equal(follower.Confirmed(), confirmed)

		time.Sleep(time.Second)
		asleep += 4 * time.Second
		is.Equal(time.Since(follower.Confirmed()), 5*time.Second)
		is.Equal(follower.Confirmed(), confirmed.Add(-4*time.Second))

		is.NoErr(follower.step(t.Context()))
		is.Equal(follower.Confirmed(), time.Now())
	})
}
