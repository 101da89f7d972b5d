package healthcheck

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

const pace = 20 * time.Millisecond

// stub responds to health checks and counts them. The tests change it between synctest.Wait and the next check.
type stub struct {
	coldFor time.Duration
	err     error
	sent    int
}

func (s *stub) Health(context.Context, fleet.Engine, string) (engineapi.Health, error) {
	s.sent++
	return engineapi.Health{ColdFor: s.coldFor}, s.err
}

var (
	engine  = fleet.Engine{ID: "e", Pool: "p", Zone: "a", Address: "10.0.0.1:80", Slots: 8, Versions: map[string]int64{"m": 1}}
	single  = fleet.Want{Pool: "p"}
	ofModel = fleet.Want{Pool: "p", Model: "m"}
)

// coldDuration is how long engines are cold after their start.
const coldDuration = 3 * time.Second

// start starts a process that knows one engine of known pace in a pool with a cold rate, 0 for none. It has known the engine for so
// long that the engine can't have turned cold before.
func start(t *testing.T, client Client, rate float64) *fleet.Directory {
	directory := startFresh(t, client, rate)
	time.Sleep(coldDuration)
	return directory
}

// startFresh starts a process that has just got to know the engine.
func startFresh(t *testing.T, client Client, rate float64) *fleet.Directory {
	directory := fleet.NewDirectory()
	directory.SetColdLimit("p", fleet.ColdLimit{Rate: rate, Duration: coldDuration, Checked: true})
	directory.Upsert(engine)
	directory.SetAssignedModels("p", map[string]string{"e": "m"})
	for range 10 {
		directory.RecordGap("e", pace)
	}
	checker := New(Config{Client: client, Directory: directory, Path: func(string) string { return "/health" }, Logger: log.New(io.Discard)})
	go checker.Run(t.Context())
	return directory
}

// takes reports whether the engine takes work now, after the checks that the work requests.
func takes(directory *fleet.Directory, want fleet.Want) bool {
	directory.HasFreeSlot(want)
	synctest.Wait()
	return directory.HasFreeSlot(want)
}

// TestEngineThatTurnsColdIsNoticedBeforeItsRecord guards against full load on an engine that turned cold while its record
// still says that it is warm. Its first event is 20 times as late as its pace suggests, or has not come yet, so it is
// checked, once a second at most. The response of another engine must have no effect.
func TestEngineThatTurnsColdIsNoticedBeforeItsRecord(t *testing.T) {
	for _, responds := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			client := &stub{err: engineapi.ErrOtherEngine}
			directory := start(t, client, 8.6)
			runLate := func() {
				sentAt := time.Now()
				_, ok := directory.Acquire(ofModel)
				is.True(ok)
				time.Sleep(20 * pace)
				if responds {
					directory.Answered("e", sentAt)
				}
				takes(directory, ofModel)
				directory.Release("e")
			}
			runLate()
			is.True(client.sent == 1 && takes(directory, single))
			client.coldFor, client.err = 2*time.Second, nil
			runLate()
			is.Equal(client.sent, 1)
			time.Sleep(time.Second)
			runLate()
			directory.Upsert(engine)
			is.True(client.sent == 2 && !takes(directory, single))
			time.Sleep(2 * time.Second)
			is.True(takes(directory, single))
		})
	}
}

// returns are the ways in which an engine returns together with its zone.
var returns = []func(directory *fleet.Directory){
	func(directory *fleet.Directory) { // from an evacuation
		directory.SetEvacuated("a", true)
		directory.SetEvacuated("a", false)
	},
	func(directory *fleet.Directory) { // after its records lapsed
		directory.Remove("e")
		directory.Upsert(engine)
	},
	func(directory *fleet.Directory) { // after a lost link
		directory.Failed("e", policy.FailureToConnect, "")
		time.Sleep(time.Second)
	},
}

// TestZoneThatReturnsCountsAsColdUntilChecked guards against full load on the engines of a zone that returns cold, with
// records written while they were warm; after a lost link, every process would send a trial. In a pool without a cold
// rate, it guards against calls and refusals.
func TestZoneThatReturnsCountsAsColdUntilChecked(t *testing.T) {
	for _, bringBack := range returns {
		for _, rate := range []float64{0, 8.6} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &stub{err: engineapi.ErrNotSent}
				directory := start(t, client, rate)
				if rate == 0 {
					directory.Answered("e", time.Now().Add(-20*pace))
				}
				bringBack(directory)
				_, ok := directory.Acquire(single)
				synctest.Wait()
				if rate == 0 {
					is.True(ok && client.sent == 0)
					return
				}
				is.True(!ok && client.sent == 1)
				is.True(takes(directory, ofModel) && !takes(directory, single)) // at the cold rate, by its sender
				client.coldFor, client.err = 1500*time.Millisecond, nil
				time.Sleep(time.Second)
				is.True(takes(directory, ofModel) && !takes(directory, single))
				time.Sleep(1500 * time.Millisecond)
				is.True(client.sent == 2 && takes(directory, single))
			})
		}
	}
}

// TestStartedProcessesKeepColdRate guards against full load on an engine that turned cold before all processes started:
// its record still states that it is warm, and the processes that knew better have ended. Until it is warm, it must receive no more
// than its rate, from its only sender, and that rate must be used. Once it is warm, all processes must use it.
func TestStartedProcessesKeepColdRate(t *testing.T) {
	const (
		rate    = 8
		coldFor = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		client := &coldEngine{coldUntil: begun.Add(coldFor)}
		processes := make([]*fleet.Directory, 4)
		for i := range processes {
			processes[i] = startFresh(t, client, rate)
			term := fleet.SenderTerm{Since: begun, Until: begun.Add(time.Hour)}
			processes[i].SetColdSenders(func(fleet.Engine, string) (fleet.SenderTerm, bool) { return term, i == 0 })
		}
		var starts []time.Time
		for time.Since(begun) < coldFor {
			for _, process := range processes {
				for _, engine := range process.Assign([]fleet.Want{single, ofModel, single, ofModel, single, ofModel}) {
					if engine.ID != "" {
						starts = append(starts, time.Now())
						process.Release(engine.ID)
					}
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		for i := range starts {
			is.True(i < rate || starts[i].Sub(starts[i-rate]) > time.Second)
		}
		is.True(len(starts) >= rate)
		is.True(int(client.checked.Load()) <= len(processes))
		for _, process := range processes {
			is.True(takes(process, single))
		}
	})
}

// coldEngine responds to health checks after a round trip, and counts them.
type coldEngine struct {
	coldUntil time.Time
	checked   atomic.Int32
}

func (c *coldEngine) Health(context.Context, fleet.Engine, string) (engineapi.Health, error) {
	c.checked.Add(1)
	time.Sleep(2 * time.Millisecond)
	return engineapi.Health{ColdFor: max(0, time.Until(c.coldUntil))}, nil
}

// TestStartedProcessUsesWarmEnginesSoon guards against callers that wait for, or are refused by, a process that has just started, because it
// suspects all engines: a single request must find an engine after the round trip of a health check, and the only sender of the engines must use
// all of them. A process that is not the sender must not check more engines than its work needs, and no engine must be checked twice.
func TestStartedProcessUsesWarmEnginesSoon(t *testing.T) {
	const engines = 40
	for _, isSender := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			client := &coldEngine{}
			directory := startFresh(t, client, 8)
			models := map[string]string{"e": "m"}
			for i := 1; i < engines; i++ {
				other := engine
				other.ID = fmt.Sprint("e", i)
				models[other.ID] = "m"
				directory.Upsert(other)
			}
			directory.SetAssignedModels("p", models)
			begun := time.Now()
			directory.SetColdSenders(func(fleet.Engine, string) (fleet.SenderTerm, bool) {
				return fleet.SenderTerm{Since: begun, Until: begun.Add(time.Hour)}, isSender
			})
			want := single
			if isSender {
				want = ofModel
			}
			directory.Acquire(want)
			time.Sleep(5 * time.Millisecond)
			_, ok := directory.Acquire(want)
			is.True(ok)
			if !isSender {
				is.Equal(client.checked.Load(), int32(3))
				return
			}
			time.Sleep(5 * time.Millisecond)
			used := make(map[string]bool)
			for _, engine := range directory.Assign(slices.Repeat([]fleet.Want{want}, engines)) {
				used[engine.ID] = true
			}
			is.True(len(used) >= engines-1 && !used[""])
			is.Equal(client.checked.Load(), int32(engines))
		})
	}
}
