package storepace

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// rateLimitedStore is a rule of the store that serves perS reads per second to all callers together and refuses the others.
type rateLimitedStore struct {
	mutex    sync.Mutex
	perS     int
	second   int64
	received int
	refused  int
}

func (l *rateLimitedStore) rule(call memorylog.Call) memorylog.Fault {
	if call.Operation != "read" {
		return memorylog.None
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if second := time.Now().Unix(); second != l.second {
		l.second, l.received = second, 0
	}
	l.received++
	if l.received > l.perS {
		l.refused++
		return memorylog.Throttled
	}
	return memorylog.None
}

// TestProcessesConvergeToStoreCapacity runs a hundred processes that read as fast as they may, and checks that their total rate
// converges to near the store's capacity, that few reads are refused then, and that reads of the operator's records are not
// delayed.
func TestProcessesConvergeToStoreCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const processes, perS = 100, 2000
		store := memorylog.New(memorylog.Config{Partitions: 4})
		limit := &rateLimitedStore{perS: perS}
		store.SetRule(limit.rule)
		ctx := t.Context()
		var running sync.WaitGroup
		stop := make(chan struct{})
		var logs []*Log
		for i := range processes {
			log := New(store.For(fmt.Sprint(i)), perS)
			logs = append(logs, log)
			running.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						_, _ = log.Read(ctx, keyedlog.Partition{Topic: keyedlog.TopicJobs}, keyedlog.Span{})
					}
				}
			})
		}
		time.Sleep(20 * time.Second)
		limit.mutex.Lock()
		before := limit.refused
		limit.mutex.Unlock()
		time.Sleep(10 * time.Second)
		limit.mutex.Lock()
		refused := limit.refused - before
		limit.mutex.Unlock()
		total := 0.0
		for _, log := range logs {
			total += log.Rate()
		}
		is.True(total > perS/3)
		is.True(total < 2*perS)
		is.True(refused < 10*perS/2)
		started := time.Now()
		_, _ = logs[0].Read(ctx, keyedlog.Partition{Topic: keyedlog.TopicOperator}, keyedlog.Span{})
		is.Equal(time.Since(started), time.Duration(0))
		close(stop)
		running.Wait()
	})
}

// TestReadsWithoutRefusalsAreNotSlowed checks that a process whose reads are never refused is not slowed down.
func TestReadsWithoutRefusalsAreNotSlowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4})
		log := New(store.For("one"), 2000)
		started := time.Now()
		for range 100 {
			_, err := log.Read(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicJobs}, keyedlog.Span{})
			is.NoErr(err)
		}
		is.True(time.Since(started) < time.Second)
		is.Equal(log.stretch(), 1.0)
	})
}

// TestRateRecoversAfterOutage simulates a store that refuses one machine for 9 s and serves all others. The machine is assigned
// partitions as soon as it is back, and callers wait until it has read the records that it needs to continue their work. The
// refusals say nothing about how many calls the store can serve, so the rate must recover at once.
func TestRateRecoversAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4})
		paced := New(store.For("one"), 6000)
		read := func() error {
			_, err := paced.Read(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicJobs}, keyedlog.Span{})
			return err
		}
		is.NoErr(read())
		before := paced.Rate()
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Throttled })
		for started := time.Now(); time.Since(started) < 9*time.Second; {
			is.True(read() != nil)
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(paced.Rate(), minRate)
		store.Heal()
		started := time.Now()
		for range 100 {
			is.NoErr(read())
		}
		is.True(time.Since(started) < time.Second)
		is.True(paced.Rate() < before)
	})
}

// TestRefusalsAmongServedCallsLowerRate checks that refusals lower the rate if some calls are served: this is how a store with
// too many callers responds, so the rate must not be restored as after an outage.
func TestRefusalsAmongServedCallsLowerRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4})
		paced := New(store.For("one"), 6000)
		calls := 0
		store.SetRule(func(memorylog.Call) memorylog.Fault {
			calls++
			if calls%8 == 0 {
				return memorylog.None
			}
			return memorylog.Throttled
		})
		for started := time.Now(); time.Since(started) < 10*time.Second; {
			_, _ = paced.Read(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicJobs}, keyedlog.Span{})
			time.Sleep(50 * time.Millisecond)
		}
		is.True(paced.Rate() < 2*minRate)
	})
}
