package healthcheck

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

const (
	coldRate     = 8.6
	coldDuration = 3 * time.Second
	pace         = 20 * time.Millisecond
)

// engines responds to health checks with the time for which all engines stay cold, or with an error.
type engines struct {
	mutex   sync.Mutex
	coldFor time.Duration
	err     error
	sent    []time.Time
}

func (e *engines) Health(context.Context, fleet.Engine, string) (engineapi.Health, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sent = append(e.sent, time.Now())
	return engineapi.Health{ColdFor: e.coldFor}, e.err
}

func (e *engines) set(coldFor time.Duration, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.coldFor, e.err = coldFor, err
}

func (e *engines) count() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.sent)
}

// start starts a process that knows one engine of known pace, and sends health checks to client. With rate 0 the pool
// has no cold rate.
func start(t *testing.T, client Client, rate float64) (*fleet.Directory, fleet.Engine) {
	directory := fleet.NewDirectory()
	directory.SetColdLimit("p", fleet.ColdLimit{Rate: rate, Duration: coldDuration, Checked: true})
	engine := fleet.Engine{ID: "e", Pool: "p", Zone: "a", Address: "10.0.0.1:80", Slots: 8, Versions: map[string]int64{"m": 1}}
	directory.Upsert(engine)
	directory.SetAssignedModels("p", map[string]string{"e": "m"})
	for range 10 {
		directory.RecordGap("e", pace)
	}
	checker := New(Config{Client: client, Directory: directory, Path: func(string) string { return "/health" }, Logger: log.New(io.Discard)})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { checker.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return directory, engine
}

var (
	single  = fleet.Want{Pool: "p"}
	ofModel = fleet.Want{Pool: "p", Model: "m"}
)

// takes reports whether work would be sent to the engine now, after the checks that it requests.
func takes(directory *fleet.Directory, want fleet.Want) bool {
	directory.HasFreeSlot(want)
	synctest.Wait()
	return directory.HasFreeSlot(want)
}

// TestEngineThatTurnsColdIsNoticedBeforeItsRecord guards against full load on an engine that turned cold while its record
// still says that it is warm: its first event comes 20 times as late as its pace suggests, so it is asked, and takes no
// single requests from then on. Records that still say warm change nothing. The response of another engine says nothing.
func TestEngineThatTurnsColdIsNoticedBeforeItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := &engines{err: engineapi.ErrOtherEngine}
		directory, engine := start(t, client, coldRate)
		respondLate := func() {
			sentAt := time.Now()
			_, ok := directory.Acquire(ofModel)
			is.True(ok)
			time.Sleep(20 * pace)
			directory.Answered("e", sentAt)
			directory.Release("e")
			synctest.Wait()
		}
		respondLate()
		is.Equal(client.count(), 1)
		is.True(takes(directory, single))

		client.set(2*time.Second, nil)
		respondLate()
		is.Equal(client.count(), 1) // one a second at most
		time.Sleep(time.Second)
		respondLate()
		is.Equal(client.count(), 2)
		directory.Upsert(engine)
		is.True(!takes(directory, single))
		time.Sleep(2 * time.Second)
		is.True(takes(directory, single))
	})
}

// TestSilentEngineIsChecked guards against waiting for the late event itself: the engine has responded to nothing since
// work was started there, and further work asks it first.
func TestSilentEngineIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := &engines{coldFor: 2 * time.Second}
		directory, _ := start(t, client, coldRate)
		_, ok := directory.Acquire(ofModel)
		is.True(ok)
		time.Sleep(20 * pace)
		is.True(!takes(directory, single))
		is.Equal(client.count(), 1)
	})
}

// TestZoneThatReturnsCountsAsColdUntilChecked guards against full load on the engines of a zone that returns cold, with
// records written while they were warm: after an evacuation, after an absence, and after a lost link, at whose end every
// process would send a trial.
func TestZoneThatReturnsCountsAsColdUntilChecked(t *testing.T) {
	returns := map[string]func(directory *fleet.Directory, engine fleet.Engine){
		"evacuation": func(directory *fleet.Directory, engine fleet.Engine) {
			directory.SetEvacuated(engine.Zone, true)
			directory.SetEvacuated(engine.Zone, false)
		},
		"absence": func(directory *fleet.Directory, engine fleet.Engine) {
			directory.Remove(engine.ID)
			directory.Upsert(engine)
		},
		"lost link": func(directory *fleet.Directory, engine fleet.Engine) {
			directory.Failed(engine.ID, policy.FailureToConnect, "")
			time.Sleep(time.Second)
		},
	}
	for name, bringBack := range returns {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &engines{err: engineapi.ErrNotSent}
				directory, engine := start(t, client, coldRate)
				bringBack(directory, engine)
				is.True(!takes(directory, single))
				is.True(takes(directory, ofModel)) // at the cold rate
				checks := client.count()
				is.True(checks >= 1)

				client.set(1500*time.Millisecond, nil)
				time.Sleep(time.Second)
				is.True(!takes(directory, single))
				is.True(takes(directory, ofModel))
				time.Sleep(time.Second)
				is.True(!takes(directory, single))
				time.Sleep(500 * time.Millisecond)
				is.True(takes(directory, single))
				is.True(client.count() <= checks+2)
			})
		})
	}
}

// TestPoolWithoutColdRateIsNotChecked guards against calls, and refusals, where nothing limits cold engines.
func TestPoolWithoutColdRateIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := &engines{}
		directory, engine := start(t, client, 0)
		sentAt := time.Now()
		time.Sleep(20 * pace)
		directory.Answered("e", sentAt)
		directory.SetEvacuated("a", true)
		directory.SetEvacuated("a", false)
		directory.Remove("e")
		directory.Upsert(engine)
		is.True(takes(directory, single))
		directory.Failed("e", policy.FailureToConnect, "")
		time.Sleep(time.Second)
		is.True(takes(directory, single))
		is.Equal(client.count(), 0)
	})
}
