package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
)

// crashPoint says at which call of the log a process dies, and what becomes of that call.
type crashPoint struct {
	call int
	// effect is whether, and when, the call takes effect: faultLostBefore, faultLostAfter or faultDelayed.
	effect fault
}

// dyingLog is a process's way to the log that is cut off at its crash point.
type dyingLog struct {
	*fakeLog
	point   crashPoint
	mu      sync.Mutex
	appends int
	crashed chan struct{}
}

// arrive counts an append; it tells whether the process is dead, or dies in it.
func (l *dyingLog) arrive() (dead, dying bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	dying = l.appends-1 == l.point.call
	if dying {
		close(l.crashed)
	}
	return l.appends-1 > l.point.call, dying
}

func (l *dyingLog) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	dead, dying := l.arrive()
	if !dead && !dying {
		return l.fakeLog.Append(ctx, stream, payloads)
	}
	if dying && l.point.effect == faultLostAfter {
		l.apply(stream, payloads)
	}
	if dying && l.point.effect == faultDelayed {
		time.AfterFunc(lateEffect, func() { l.apply(stream, payloads) })
	}
	<-ctx.Done()
	return 0, ctx.Err()
}

func (l *dyingLog) apply(stream string, payloads [][]byte) {
	l.fakeLog.mu.Lock()
	defer l.fakeLog.mu.Unlock()
	l.put(stream, payloads)
}

// live has a process claim the stream, write, snapshot and release, until it dies. It returns what was acknowledged and
// what was refused, and whether it lived to the end.
func live(log *dyingLog) (acknowledged, refused []string, survived bool) {
	config := testConfig(log, "a")
	config.Settings = Settings{SnapshotEvery: 2}
	m := NewManager(config)
	defer m.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-log.crashed:
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
					dying := &dyingLog{fakeLog: log, point: crashPoint{call, effect}, crashed: make(chan struct{})}
					var acknowledged, refused []string
					acknowledged, refused, survived = live(dying)
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
