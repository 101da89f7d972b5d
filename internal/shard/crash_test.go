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

// crashAt has a process die in a call of the log, counted from 0, with that effect of the call. The channel is closed when
// it dies.
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

// live has a process claim the stream, write, snapshot and release, until it dies. It returns what was acknowledged and
// what was refused, and whether it lived to the end.
func live(log *fakeLog, crashed <-chan struct{}) (acknowledged, refused []string, survived bool) {
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

// succeed has the next process claim the stream at once and write, also after a late effect of the dead one.
func succeed(is *is.I, t *testing.T, log *fakeLog, acknowledged, refused []string) {
	m := NewManager(testConfig(log, "b"))
	defer m.Close()
	o := open(t, m)
	_, err := o.Append(context.Background(), proposal("b0"))
	is.NoErr(err)
	time.Sleep(2 * lateEffect)
	_, err = o.Append(context.Background(), proposal("b1"))
	is.NoErr(err)
	folded, _ := refold(log.contents(testStream))
	is.Equal(bodies(o), folded)
	is.Equal(folded[len(folded)-2:], []string{"b0", "b1"})
	written := folded[:len(folded)-2]
	is.True(len(written) >= len(acknowledged))
	is.Equal(written, []string{"a0", "a1", "a2"}[:len(written)]) // in order, each once
	for _, body := range refused {
		is.True(!slices.Contains(folded, body))
	}
}

func TestEveryCrashPointLeavesAStreamThatTheNextOwnerContinues(t *testing.T) {
	const appends = 6 // a claim, three records, a snapshot, a release
	for _, effect := range []fault{faultLostBefore, faultLostAfter, faultDelayed} {
		for call := 0; ; call++ {
			survived := false
			name := fmt.Sprintf("call %d, effect %d", call, effect)
			t.Run(name, func(t *testing.T) {
				inBubble(t, func(is *is.I, log *fakeLog) {
					var acknowledged, refused []string
					acknowledged, refused, survived = live(log, crashAt(log, call, effect))
					log.setFault(nil)
					succeed(is, t, log, acknowledged, refused)
				})
			})
			if survived {
				is.New(t).True(call >= appends) // every append of a life was a crash point
				break
			}
			if t.Failed() {
				return
			}
		}
	}
}
