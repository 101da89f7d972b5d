package shard

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/platform"
)

// open opens the test stream.
func open(t testing.TB, m *Manager) Owner {
	t.Helper()
	o, err := m.Open(context.Background(), testStream)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// inVirtualTime runs a test in virtual time, with a log whose round trip is a millisecond.
func inVirtualTime(t *testing.T, test func(is *is.I, log *fakeLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.SetDelay(roundTrip)
		test(is.New(t), log)
	})
}

// TestAppendFaultsFoldOnce injects faults into the appends of claims and records: each must be folded exactly once,
// whether or not an append took effect before its response was lost.
func TestAppendFaultsFoldOnce(t *testing.T) {
	cases := map[string][]fault{
		"no fault":                {faultNone},
		"not sent":                {faultNotSent, faultNotSent},
		"lost before the effect":  {faultLostBefore, faultLostBefore},
		"lost after the effect":   {faultLostAfter},
		"lost after, then before": {faultLostAfter, faultLostBefore},
		"effect delayed":          {faultDelayed},
		"effect delayed twice":    {faultDelayed, faultDelayed, faultLostAfter},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(is *is.I, log *fakeLog) {
				m := NewManager(testConfig(log, "a"))
				defer m.Close()
				log.setFaults(faults...)
				o := open(t, m)
				is.Equal(o.Epoch(), uint64(1))
				log.setFaults(faults...)
				outcomes, err := o.Append(context.Background(), proposal("x"), proposal("y"))
				is.NoErr(err)
				is.Equal(outcomes, []any{1, 2})
				time.Sleep(2 * appendDelay)
				_, err = o.Append(context.Background(), proposal("z"))
				is.NoErr(err)
				folded, _ := foldAll(log.contents(testStream))
				is.Equal(folded, []string{"x", "y", "z"})
				is.Equal(bodies(o), folded)
				is.NoErr(o.Confirm(context.Background()))
			})
		})
	}
}

// TestSupersededOwnerWritesNothing checks that an append after a newer claim has no effect and returns ErrNotOwner,
// although the log accepted it.
func TestSupersededOwnerWritesNothing(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		first, second := NewManager(testConfig(log, "a")), NewManager(testConfig(log, "b"))
		defer first.Close()
		defer second.Close()
		old := open(t, first)
		_, err := old.Append(context.Background(), proposal("1"))
		is.NoErr(err)
		successor := open(t, second)
		is.Equal(bodies(successor), []string{"1"})
		_, err = old.Append(context.Background(), proposal("2"))
		is.True(errors.Is(err, ErrNotOwner))
		is.True(errors.Is(old.Confirm(context.Background()), ErrNotOwner))
		<-old.Done()
		_, err = successor.Append(context.Background(), proposal("3"))
		is.NoErr(err)
		folded, fold := foldAll(log.contents(testStream))
		is.Equal(folded, []string{"1", "3"})
		is.Equal(fold.Counts().Superseded, uint64(1))
	})
}

// TestIdleOwnerDetectsSupersession checks that an owner without appends detects a new claim by polling, and that
// polling does not read back its own records.
func TestIdleOwnerDetectsSupersession(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		first, second := NewManager(testConfig(log, "a")), NewManager(testConfig(log, "b"))
		defer first.Close()
		defer second.Close()
		old := open(t, first)
		time.Sleep(time.Hour)
		_, err := old.Append(context.Background(), proposal("x"))
		is.NoErr(err)
		is.Equal(first.Counters().ReadBytes.Load(), uint64(0)) // the append cancels the poll before it returns the record
		time.Sleep(time.Hour)
		is.Equal(first.Counters().ReadBytes.Load(), uint64(0))
		open(t, second)
		began := time.Now()
		<-old.Done()
		is.True(time.Since(began) <= DefaultSettings().FollowAfter+roundTrip)
	})
}

// TestConfirmIgnoresEarlierReads supersedes an owner while a read of an earlier Confirm is in flight. A later Confirm
// must not use the result of that read.
func TestConfirmIgnoresEarlierReads(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		link := &pausableLog{fakeLog: log}
		first, second := NewManager(testConfig(link, "a")), NewManager(testConfig(log, "b"))
		defer first.Close()
		defer second.Close()
		old := open(t, first)
		early := make(chan error, 2)
		go func() { early <- old.Confirm(context.Background()) }()
		synctest.Wait()
		link.pause(time.Second) // delays the response of the read in flight
		time.Sleep(10 * roundTrip)
		go func() { early <- old.Confirm(context.Background()) }() // a separate round, which waits for the first
		synctest.Wait()
		open(t, second)
		is.True(errors.Is(old.Confirm(context.Background()), ErrNotOwner))
		is.NoErr(<-early)
		is.True(errors.Is(<-early, ErrNotOwner))
	})
}

// TestOutageLeavesAppendUncertain checks the errors of appends during an outage of the log: ErrUncertain for a sent
// record, which takes effect after the outage, and ErrNotSent for a queued one, which does not.
func TestOutageLeavesAppendUncertain(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		m := NewManager(testConfig(log, "a"))
		defer m.Close()
		o := open(t, m)
		log.Down()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		queued, cancelQueued := context.WithTimeout(context.Background(), time.Second/2)
		defer cancelQueued()
		result := make(chan error, 1)
		go func() {
			_, err := o.Append(ctx, proposal("sent"))
			result <- err
		}()
		synctest.Wait()
		_, err := o.Append(queued, proposal("withdrawn"))
		is.True(errors.Is(err, platform.ErrNotSent))
		err = <-result
		is.True(errors.Is(err, ErrUncertain))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(o.Confirm(context.Background()) != nil)
		time.Sleep(time.Hour)
		log.Up()
		_, err = o.Append(context.Background(), proposal("later"))
		is.NoErr(err)
		is.Equal(bodies(o), []string{"sent", "later"})
	})
}

// TestAppendLimits checks that Append refuses a record over MaxEntryBytes and a call over MaxQueued.
func TestAppendLimits(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		config := testConfig(log, "a")
		config.Settings = Settings{MaxEntryBytes: 4, MaxQueued: 1}
		m := NewManager(config)
		defer m.Close()
		o := open(t, m)
		var refusal *peer.Error
		_, err := o.Append(context.Background(), proposal("large"))
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Code, peer.CodeInvalid)
		for range 2 {
			go o.Append(context.Background(), proposal("a"))
			synctest.Wait()
		}
		_, err = o.Append(context.Background(), proposal("b"))
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Code, peer.CodeOverloaded)
	})
}

// TestReleaseWaitsForAppends checks that a release waits for the appends before it and refuses those after it.
func TestReleaseWaitsForAppends(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		m := NewManager(testConfig(log, "a"))
		defer m.Close()
		o := open(t, m)
		results := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := o.Append(context.Background(), proposal(fmt.Sprint(i)))
				results <- err
			}()
		}
		synctest.Wait()
		released := make(chan error, 1)
		go func() { released <- o.Release(context.Background()) }()
		synctest.Wait()
		_, err := o.Append(context.Background(), proposal("after the release began"))
		is.True(errors.Is(err, ErrNotOwner))
		is.True(!o.(*owner).hasEnded()) // the append was refused immediately, before the release completed
		is.NoErr(<-released)
		is.NoErr(<-results)
		is.NoErr(<-results)
		<-o.Done()
		_, err = o.Append(context.Background(), proposal("late"))
		is.True(errors.Is(err, ErrNotOwner))
		_, fold := foldAll(log.contents(testStream))
		_, owned := fold.Owner()
		is.True(!owned)
		is.Equal(open(t, m).Epoch(), uint64(2))
	})
}
