package ownership_test

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

const (
	fenceName = "owner"
	// epochsPerGeneration is the number of epochs that package fencing has for one generation.
	epochsPerGeneration = 1 << 20
	// servingInterval is how often a serving owner appends a record.
	servingInterval = 50 * time.Millisecond
)

// fencedHolder serves partitions by appending records under a fence.
type fencedHolder struct {
	log keyedlog.Log

	mutex sync.Mutex
	// served is when each partition was last appended to.
	served     map[keyedlog.Partition]time.Time
	generation int64
}

// fencedWork is the work of one partition.
type fencedWork struct {
	*fencing.Writer
	cancel context.CancelFunc
	done   chan struct{}
}

func (h *fencedHolder) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	ctx, cancel := context.WithCancel(ctx)
	w := &fencedWork{cancel: cancel, done: make(chan struct{}), Writer: fencing.New(fencing.Config{
		Log: h.log, Partition: partition, Name: fenceName, Generation: generation, Logger: log.New(io.Discard),
	})}
	h.mutex.Lock()
	h.generation = generation
	h.mutex.Unlock()
	go func() {
		defer close(w.done)
		if _, err := w.Open(ctx); err != nil {
			return
		}
		for ctx.Err() == nil {
			if _, err := w.Append(ctx, []keyedlog.Record{{Key: "k", Value: []byte("v")}}); err != nil {
				return
			}
			h.mutex.Lock()
			h.served[partition] = time.Now()
			h.mutex.Unlock()
			time.Sleep(servingInterval)
		}
	}()
	return w
}

func (w *fencedWork) Release(context.Context) {
	w.cancel()
	<-w.done
}

// serves reports whether all partitions were appended to a short time ago.
func (h *fencedHolder) serves() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for number := range partitions {
		if time.Since(h.served[keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: number}]) > 2*servingInterval {
			return false
		}
	}
	return true
}

func (h *fencedHolder) lastGeneration() int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.generation
}

// TestPartitionIsServedAfterALateAppend guards against a partition that stays assigned to a process that does nothing in it, for good: an
// append by which an earlier process of the same member opened the partition arrives late and sets a higher epoch of the same generation.
// An earlier build doubles its epochs, so that its late append may lie far above those of the process that follows it, or take the last
// epoch of the generation.
func TestPartitionIsServedAfterALateAppend(t *testing.T) {
	for name, test := range map[string]struct {
		restart           int64
		changesGeneration bool
	}{
		"a higher epoch": {restart: 1000},
		"the last epoch": {restart: epochsPerGeneration - 1, changesGeneration: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memorylog.New(memorylog.Config{Partitions: partitions})
				owner := &fencedHolder{log: store.For("owner"), served: make(map[keyedlog.Partition]time.Time)}
				manager := ownership.New(ownership.Config{
					Log: storetimeout.New(store.For("owner")), Group: "g", Member: "owner", Topics: []keyedlog.Topic{keyedlog.TopicJobs},
					Lifetime: lifetime, Holder: owner, Logger: log.New(io.Discard),
				})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					manager.Run(ctx)
				}()
				t.Cleanup(func() {
					cancel()
					<-done
				})
				time.Sleep(lifetime)
				is.True(owner.serves())

				before := owner.lastGeneration()
				epoch := before*epochsPerGeneration + test.restart
				_, err := store.For("earlier").Append(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: 1},
					[]keyedlog.Record{{Key: keyedlog.OwnerKey, Value: strconv.AppendInt(nil, epoch, 10)}},
					&keyedlog.Fence{Writer: fenceName, Epoch: epoch, Sequence: 7})
				is.NoErr(err)
				time.Sleep(4 * servingInterval)
				is.True(!owner.serves())

				time.Sleep(4 * lifetime)
				is.True(owner.serves())
				is.Equal(owner.lastGeneration() != before, test.changesGeneration)
			})
		})
	}
}
