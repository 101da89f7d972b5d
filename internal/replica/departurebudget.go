package replica

import (
	"time"

	"github.com/hillfork/hillfork/internal/enginelist"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/storetimeout"
)

const (
	// departureWaitShare divides Settings.DrainLimit into the time for which the store may hold a read of departures open: a read that is
	// lost is noticed only after that.
	departureWaitShare = 4
	// storeCallTime is what a call to a healthy store is allowed.
	storeCallTime = 50 * time.Millisecond
	// sendTime is what a request is allowed from the choice of its engine to its arrival there.
	sendTime = 100 * time.Millisecond
)

// readWait returns how long the store may hold a read of a topic open.
func (r *Replica) readWait(topic keyedlog.Topic) time.Duration {
	wait := readWaits[topic]
	if limit := r.config.Settings.DrainLimit; limit > 0 && (topic == keyedlog.TopicEngines || topic == keyedlog.TopicEngineList) {
		return min(wait, limit/departureWaitShare)
	}
	return wait
}

// budgetStep is a step on the way from the acknowledgement of an engine's departure to the last request that reaches the engine.
type budgetStep struct {
	name string
	// usual is its maximum duration, failed that if a call fails or a process stops in it.
	usual, failed time.Duration
}

// departureBudget returns the steps for a replica that goes by the engine list, which is the longest way. A replica that reads the
// engines' own records takes the first and the last.
func (r *Replica) departureBudget() []budgetStep {
	readRecord := readSpacings[keyedlog.TopicEngines] + storeCallTime
	readList := readSpacings[keyedlog.TopicEngineList] + storeCallTime
	retry := follow.FirstBackoff + storeCallTime
	repair := enginelist.RepairInterval + storeCallTime
	return []budgetStep{
		{"an owner reads the engine's record", readRecord, readRecord + min(
			storetimeout.MaxSilence(r.readWait(keyedlog.TopicEngines))+retry, enginelist.MaxBackupDelay+enginelist.ConfirmTimeout)},
		{"the owner in charge writes the list", repair, repair + max(
			enginelist.MaxBackupDelay+enginelist.ConfirmTimeout, storetimeout.MaxSilence(0)+enginelist.MaxRetryDelay+enginelist.RepairInterval)},
		{"the replica reads the list", readList, readList + storetimeout.MaxSilence(r.readWait(keyedlog.TopicEngineList)) + retry},
		{"a request is sent", sendTime, sendTime},
	}
}

// worstOf returns the sum of the steps if the one fails in which this takes longest.
func worstOf(steps []budgetStep) time.Duration {
	sum, excess := time.Duration(0), time.Duration(0)
	for _, step := range steps {
		sum += step.usual
		excess = max(excess, step.failed-step.usual)
	}
	return sum + excess
}

// checkDepartureBudget logs a warning if requests may reach engines too late after their departure.
func (r *Replica) checkDepartureBudget() {
	limit := r.config.Settings.DrainLimit
	if worst := worstOf(r.departureBudget()); limit > 0 && worst > limit {
		r.config.Logger.Warn("departures of engines may be acted on late", "limit", limit, "worst", worst)
	}
}
