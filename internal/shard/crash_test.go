package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
)

// crashAt makes a process crash in the given call to the log, counted from 0, with the given fault for that call. The
// channel is closed when the process crashes.
func crashAt(log *fakeLog, call int, effect fault) <-chan struct{} {
	crashed := make(chan struct{})
	count := 0
	log.setFault(func(string) fault {
		count++
		switch {
		case count-1 < call:
			return faultNone
		case count-1 == call:
			close(crashed)
			return effect
		default:
			return faultLostBefore
		}
	})
	return crashed
}

// runUntilCrash has a process claim the stream, write, snapshot and release, until it crashes. It returns the
// acknowledged and the refused records, and whether the process finished without a crash.
func runUntilCrash(log *fakeLog, crashed <-chan struct{}) (acknowledged, refused []string, completed bool) {
	config := testConfig(log, "a")
	config.Settings = Settings{SnapshotEvery: 2}
	m := NewManager(config)
	defer m.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-crashed:
			cancel()
		case <-ctx.Done():
		}
	}()
	o, err := m.Open(ctx, testStream)
	if err != nil {
		return nil, nil, false
	}
	for i := range 3 {
		body := fmt.Sprint("a", i)
		_, err := o.Append(ctx, proposal(body))
		if err == nil {
			acknowledged = append(acknowledged, body)
		}
		if errors.Is(err, ErrNotOwner) || errors.Is(err, platform.ErrNotSent) {
			refused = append(refused, body)
		}
		synctest.Wait()
	}
	return acknowledged, refused, o.Release(ctx) == nil && ctx.Err() == nil
}

// continueAsNextOwner has the next process claim the stream immediately and write, before and after a delayed append of
// the crashed process takes effect.
func continueAsNextOwner(is *is.I, t *testing.T, log *fakeLog, acknowledged, refused []string) {
	m := NewManager(testConfig(log, "b"))
	defer m.Close()
	o := open(t, m)
	_, err := o.Append(context.Background(), proposal("b0"))
	is.NoErr(err)
	time.Sleep(2 * appendDelay)
	_, err = o.Append(context.Background(), proposal("b1"))
	is.NoErr(err)
	folded, _ := foldAll(log.contents(testStream))
	is.Equal(bodies(o), folded)
	is.Equal(folded[len(folded)-2:], []string{"b0", "b1"})
	written := folded[:len(folded)-2]
	is.True(len(written) >= len(acknowledged))
	is.Equal(written, []string{"a0", "a1", "a2"}[:len(written)]) // in order and without repeats
	for _, body := range refused {
		is.True(!slices.Contains(folded, body))
	}
}

// TestNextOwnerContinuesAfterEveryCrashPoint crashes a process in each of its appends, with the append lost, applied or
// delayed. The next owner must fold every acknowledged record once and no refused one.
func TestNextOwnerContinuesAfterEveryCrashPoint(t *testing.T) {
	const appends = 6 // a claim, three records, a snapshot, a release
	for _, effect := range []fault{faultLostBefore, faultLostAfter, faultDelayed} {
		for call := 0; ; call++ {
			completed := false
			name := fmt.Sprintf("call %d, effect %d", call, effect)
			t.Run(name, func(t *testing.T) {
				inVirtualTime(t, func(is *is.I, log *fakeLog) {
					var acknowledged, refused []string
					acknowledged, refused, completed = runUntilCrash(log, crashAt(log, call, effect))
					log.setFault(nil)
					continueAsNextOwner(is, t, log, acknowledged, refused)
				})
			})
			if completed {
				is.New(t).True(call >= appends) // every append of the process was a crash point
				break
			}
			if t.Failed() {
				return
			}
		}
	}
}
