package bundle

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// operatorResult is the result of an operator's attempt to put a bundle in force.
type operatorResult struct {
	digest   string
	accepted bool
	err      error
}

// operate repeatedly proposes a bundle based on the version in force and signs it for both partners. newest is the
// newest version that any operator saw accepted; every later confirmation must return at least that version.
func operate(t *testing.T, follower *Follower, newest *atomic.Uint64, share float64, rounds int) []operatorResult {
	is, ctx := is.New(t), t.Context()
	var results []operatorResult
	for range rounds {
		known := newest.Load()
		current, err := follower.Confirm(ctx)
		is.NoErr(err)
		version := uint64(1)
		if current != nil {
			version = current.Bundle.Version + 1
		}
		is.True(version > known) // the confirmed version is not older than the call
		b := testBundle(version, share, "ann", "bob")
		result := operatorResult{digest: digestOf(b)}
		_, result.err = follower.Propose(ctx, Canonical(b))
		for _, partner := range []string{"ann", "bob"} {
			if result.err == nil {
				var status Status
				status, result.err = follower.SignOff(ctx, signOff(b, partner, partner))
				result.accepted = result.err == nil && (status.State == StateInForce || status.State == StateSuperseded)
			}
		}
		if result.accepted {
			storeMax(newest, version)
		}
		results = append(results, result)
	}
	return results
}

// storeMax sets value to floor if it is lower.
func storeMax(value *atomic.Uint64, floor uint64) {
	for {
		before := value.Load()
		if before >= floor || value.CompareAndSwap(before, floor) {
			return
		}
	}
}

// TestConcurrentOperatorsGetCorrectResults runs concurrent operators on a log that loses responses before, after and
// long before the append takes effect, and compares the results of their calls with the stream.
func TestConcurrentOperatorsGetCorrectResults(t *testing.T) {
	wins, conflicts := 0, 0
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newMemoryLog()
				log.effectDelay = 700 * time.Millisecond
				random := rand.New(rand.NewPCG(seed, 1))
				delays := rand.New(rand.NewPCG(seed, 2))
				var delaysMu sync.Mutex
				log.readDelay = func() time.Duration {
					delaysMu.Lock()
					defer delaysMu.Unlock()
					return time.Duration(delays.Int64N(int64(100 * time.Millisecond)))
				}
				log.appendFault = func(int) (bool, error) {
					outcome := random.IntN(4)
					return outcome < 2, lostIf(outcome != 0)
				}
				won, lost := race(t, log)
				wins, conflicts = wins+won, conflicts+lost
			})
		})
	}
	if wins == 0 || conflicts == 0 {
		t.Fatalf("%d wins and %d conflicts; both must occur", wins, conflicts)
	}
}

// race runs the operators, checks their results, and returns how many of them were wins and conflicts.
func race(t *testing.T, log *memoryLog) (wins, conflicts int) {
	is := is.New(t)
	var mu sync.Mutex
	var results []operatorResult
	var newest atomic.Uint64
	var operators sync.WaitGroup
	followers := []*Follower{follow(t, log, testTrusted("ann", "bob")), follow(t, log, testTrusted("ann", "bob"))}
	for i := range 4 * len(followers) {
		operators.Go(func() {
			own := operate(t, followers[i/4], &newest, float64(i+1)/10, 4)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, own...)
		})
	}
	operators.Wait()
	time.Sleep(2 * log.effectDelay) // delayed appends have taken effect
	synctest.Wait()

	accepted := map[string]bool{}
	fold := NewFold(testTrusted("ann", "bob"))
	for _, entry := range log.streams[Stream] {
		for _, event := range fold.Apply(entry.Offset, entry.Payload) {
			if event.Kind == EventAccepted {
				accepted[event.Status.Digest] = true
			}
		}
	}
	is.Equal(len(accepted), int(fold.Version())) // one accepted bundle per version
	for _, follower := range followers {
		is.Equal(follower.Current().Digest, fold.Current().Digest)
	}
	for _, result := range results {
		switch {
		case result.accepted:
			wins++
			is.True(accepted[result.digest])
		case errors.Is(result.err, ErrConflict):
			conflicts++
			is.True(!accepted[result.digest]) // a bundle with a reported conflict must not be accepted
		default:
			is.NoErr(result.err)
		}
	}
	return wins, conflicts
}

// A log that reports a tail but returns no entries must not be read in a busy loop.
func TestReadsWithoutEntriesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &emptyReadLog{memoryLog: newMemoryLog()}
		follower := follow(t, log, testTrusted("ann"))
		_, err := follower.Confirm(t.Context())
		is.True(err != nil) // the tail was never reached, so nothing is confirmed
		synctest.Wait()     // the follower has started and is waiting
		before := log.readCount()
		time.Sleep(time.Minute)
		is.True(log.readCount()-before <= int(time.Minute/minPollInterval)+1)
	})
}
