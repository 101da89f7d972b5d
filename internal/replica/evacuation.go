package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// evacuationCheckInterval is how often the work left in evacuated zones is counted.
	evacuationCheckInterval = 250 * time.Millisecond
	// evacuationLogInterval is how often the work left in an evacuated zone is logged.
	evacuationLogInterval = 2 * time.Second
)

// evacuations logs the progress of evacuations at this process: the beginning, how much work is left, when none is left (unless
// there was none at the beginning), and the end. It is safe for concurrent use.
type evacuations struct {
	directory *fleet.Directory
	logger    *log.Logger
	wake      chan struct{}

	mutex sync.Mutex
	zones map[string]*evacuatedZone
}

// evacuatedZone is the progress of one zone.
type evacuatedZone struct {
	beganAt  time.Time
	loggedAt time.Time
	emptied  bool
}

func newEvacuations(directory *fleet.Directory, logger *log.Logger) *evacuations {
	return &evacuations{directory: directory, logger: logger, wake: make(chan struct{}, 1), zones: make(map[string]*evacuatedZone)}
}

// set applies the operator's record of a zone.
func (v *evacuations) set(zone string, evacuated bool, offset int64) {
	v.directory.SetEvacuated(zone, evacuated)
	runs := v.directory.InFlightInZone(zone)
	now := time.Now()
	v.mutex.Lock()
	known := v.zones[zone]
	switch {
	case !evacuated:
		delete(v.zones, zone)
	case known == nil:
		v.zones[zone] = &evacuatedZone{beganAt: now, loggedAt: now, emptied: runs == 0}
	}
	v.mutex.Unlock()
	if !evacuated && known != nil {
		v.logger.Info("zone evacuated", "zone", zone, "evacuated", false, "offset", offset, "runs", runs,
			"lasted", now.Sub(known.beganAt).Round(time.Millisecond))
		return
	}
	v.logger.Info("zone evacuated", "zone", zone, "evacuated", evacuated, "offset", offset, "runs", runs)
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// run logs the progress until the context ends.
func (v *evacuations) run(ctx context.Context) {
	for ctx.Err() == nil {
		var timer <-chan time.Time
		if v.check(time.Now()) {
			timer = time.After(evacuationCheckInterval)
		}
		select {
		case <-v.wake:
		case <-timer:
		case <-ctx.Done():
		}
	}
}

// check logs the progress of the zones, and reports whether work is left in any.
func (v *evacuations) check(now time.Time) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	left := false
	for _, name := range slices.Sorted(maps.Keys(v.zones)) {
		zone := v.zones[name]
		if zone.emptied {
			continue
		}
		runs := v.directory.InFlightInZone(name)
		after := now.Sub(zone.beganAt).Round(time.Millisecond)
		switch {
		case runs == 0:
			zone.emptied = true
			v.logger.Info("evacuated zone has no runs left", "zone", name, "after", after)
			continue
		case now.Sub(zone.loggedAt) >= evacuationLogInterval:
			zone.loggedAt = now
			v.logger.Info("evacuated zone has runs left", "zone", name, "runs", runs, "after", after)
		}
		left = true
	}
	return left
}
