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

// told is what an operator was told of the bundle it tried to bring into force.
type told struct {
	digest   string
	accepted bool
	err      error
}

// operate proposes its own bundle on the version in force, again and again, and signs it for both partners.
// Every confirmation must show at least newest, the newest version that any operator was told is in force.
func operate(t *testing.T, follower *Follower, newest *atomic.Uint64, share float64, rounds int) []told {
	is, ctx := is.New(t), t.Context()
	var answers []told
	for range rounds {
		known := newest.Load()
		current, err := follower.Confirm(ctx)
		is.NoErr(err)
		version := uint64(1)
		if current != nil {
			version = current.Bundle.Version + 1
		}
		is.True(version > known) // the confirmation is not older than the call
		b := testBundle(version, share, "ann", "bob")
		answer := told{digest: digestOf(b)}
		_, answer.err = follower.Propose(ctx, Canonical(b))
		for _, partner := range []string{"ann", "bob"} {
			if answer.err == nil {
				var status Status
				status, answer.err = follower.SignOff(ctx, signOff(b, partner, partner))
				answer.accepted = answer.err == nil && (status.State == StateInForce || status.State == StateSuperseded)
			}
		}
		if answer.accepted {
			raise(newest, version)
		}
		answers = append(answers, answer)
	}
	return answers
}

// raise sets value to at least floor.
func raise(value *atomic.Uint64, floor uint64) {
	for {
		before := value.Load()
		if before >= floor || value.CompareAndSwap(before, floor) {
			return
		}
	}
}

// TestRacingOperatorsAreToldTheTruth lets operators race over a log that loses answers before, after and long before
// the effect, and holds what they were told against the stream.
func TestRacingOperatorsAreToldTheTruth(t *testing.T) {
	wins, conflicts := 0, 0
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newMemoryLog()
				log.late = 700 * time.Millisecond
				random := rand.New(rand.NewPCG(seed, 1))
				delays := rand.New(rand.NewPCG(seed, 2))
				var delaysMu sync.Mutex
				log.readDelay = func() time.Duration {
					delaysMu.Lock()
					defer delaysMu.Unlock()
					return time.Duration(delays.Int64N(int64(100 * time.Millisecond)))
				}
				log.appendFault = func(int) (bool, error) {
					fate := random.IntN(4)
					return fate < 2, lostIf(fate != 0)
				}
				won, lost := race(t, log)
				wins, conflicts = wins+won, conflicts+lost
			})
		})
	}
	if wins == 0 || conflicts == 0 {
		t.Fatalf("%d wins and %d conflicts; the test examined nothing", wins, conflicts)
	}
}

// race runs the operators and checks their answers; it returns how many wins and conflicts they were told of.
func race(t *testing.T, log *memoryLog) (wins, conflicts int) {
	is := is.New(t)
	var mu sync.Mutex
	var answers []told
	var newest atomic.Uint64
	var operators sync.WaitGroup
	followers := []*Follower{follow(t, log, testTrusted("ann", "bob")), follow(t, log, testTrusted("ann", "bob"))}
	for i := range 4 * len(followers) {
		operators.Go(func() {
			mine := operate(t, followers[i/4], &newest, float64(i+1)/10, 4)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, mine...)
		})
	}
	operators.Wait()
	time.Sleep(2 * log.late) // what was still on its way has taken effect
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
	is.Equal(len(accepted), int(fold.Version())) // one winner a version
	for _, follower := range followers {
		is.Equal(follower.Current().Digest, fold.Current().Digest)
	}
	for _, answer := range answers {
		switch {
		case answer.accepted:
			wins++
			is.True(accepted[answer.digest])
		case errors.Is(answer.err, ErrConflict):
			conflicts++
			is.True(!accepted[answer.digest]) // told of a conflict, yet accepted
		default:
			is.NoErr(answer.err)
		}
	}
	return wins, conflicts
}

func TestALogThatAnswersBadlyIsNotAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &holdingLog{memoryLog: newMemoryLog()}
		follower := follow(t, log, testTrusted("ann"))
		_, err := follower.Confirm(t.Context())
		is.True(err != nil) // the tail was never reached, so nothing is confirmed
		synctest.Wait()     // the follower has started and pauses
		before := log.readCount()
		time.Sleep(time.Minute)
		is.True(log.readCount()-before <= int(time.Minute/minPoll)+1)
	})
}
