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

// limited is a store that takes so many reads a second from all callers together.
type limited struct {
	mutex   sync.Mutex
	perS    int
	second  int64
	taken   int
	refused int
}

func (l *limited) rule(call memorylog.Call) memorylog.Fault {
	if call.Operation != "read" {
		return memorylog.None
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if second := time.Now().Unix(); second != l.second {
		l.second, l.taken = second, 0
	}
	l.taken++
	if l.taken > l.perS {
		l.refused++
		return memorylog.Throttled
	}
	return memorylog.None
}

// TestManyProcessesShareTheReads lets a hundred processes read as fast as they may, and checks that they come to rest near
// what the store takes, that few reads are refused then, and that the operator's records are read all the while.
func TestManyProcessesShareTheReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const processes, perS = 100, 2000
		store := memorylog.New(memorylog.Config{Partitions: 4})
		limit := &limited{perS: perS}
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

// TestFewProcessesAreNotSlowed checks that a process that is refused nothing reads as it likes.
func TestFewProcessesAreNotSlowed(t *testing.T) {
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

// TestAProcessThatWasTurnedAwayCatchesUp answers a store that refuses one machine for 9 s and serves all others: the machine is dealt partitions
// as soon as it is back, and callers wait for what it has to read before it goes on with their work. The refusals say nothing of how many calls the
// store takes.
func TestAProcessThatWasTurnedAwayCatchesUp(t *testing.T) {
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
		for began := time.Now(); time.Since(began) < 9*time.Second; {
			is.True(read() != nil)
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(paced.Rate(), leastRate)
		store.Heal()
		began := time.Now()
		for range 100 {
			is.NoErr(read())
		}
		is.True(time.Since(began) < time.Second)
		is.True(paced.Rate() < before)
	})
}

// TestRefusalsAmongServedCallsStillSlowDown: a process of which some calls are served is one of too many.
func TestRefusalsAmongServedCallsStillSlowDown(t *testing.T) {
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
		for began := time.Now(); time.Since(began) < 10*time.Second; {
			_, _ = paced.Read(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicJobs}, keyedlog.Span{})
			time.Sleep(50 * time.Millisecond)
		}
		is.True(paced.Rate() < 2*leastRate)
	})
}
