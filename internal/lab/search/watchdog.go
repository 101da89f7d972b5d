package search

import (
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

// watchdog notices runs that make no headway in real time, such as a loop that never lets virtual time pass. It counts
// ticks of a timer outside of the bubbles, because the runs themselves see virtual time only.
type watchdog struct {
	ticker *time.Ticker
	ended  chan struct{}

	mu      sync.Mutex
	running map[*trace.Trace]int
}

const watchdogTick = time.Second

func newWatchdog(patience time.Duration, onStuck func(*trace.Trace)) *watchdog {
	w := &watchdog{
		ticker: time.NewTicker(watchdogTick), ended: make(chan struct{}), running: make(map[*trace.Trace]int),
	}
	go w.watch(int(patience/watchdogTick), onStuck)
	return w
}

func (w *watchdog) watch(mostTicks int, onStuck func(*trace.Trace)) {
	for {
		select {
		case <-w.ended:
			return
		case <-w.ticker.C:
		}
		if stuck := w.tick(mostTicks); stuck != nil {
			onStuck(stuck)
			return
		}
	}
}

// tick counts one tick for every run and returns one that has had more than its share.
func (w *watchdog) tick(mostTicks int) *trace.Trace {
	w.mu.Lock()
	defer w.mu.Unlock()
	for drawn := range w.running {
		w.running[drawn]++
		if w.running[drawn] > mostTicks {
			return drawn
		}
	}
	return nil
}

func (w *watchdog) begin(drawn *trace.Trace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[drawn] = 0
}

func (w *watchdog) end(drawn *trace.Trace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, drawn)
}

func (w *watchdog) stop() {
	w.ticker.Stop()
	close(w.ended)
}
