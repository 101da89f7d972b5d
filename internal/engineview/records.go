// Package engineview shares what owners of jobs know about engines: the usual pace of each, and how many of its slots
// their items hold. Each owner publishes its view in one partition of the store, under its machine's name and without a
// fence. Processes that place items or assign engines to models read it. A view is a hint: a lost or late one changes
// only which engine is tried first, and breaks no guarantee.
package engineview

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

//go:generate go tool msgp -tests=false -unexported

//msgp:vartuple engine

// view is the record of one process.
type view struct {
	Engines []engine `msg:"engines"`
}

// engine is the part of a view that describes one engine. Encoded as an array it takes some 20 bytes, so that a view of
// 45 engines takes 1 KB. Fields may be added at its end: versions that don't know a field skip it, and treat a missing
// one as zero.
type engine struct {
	ID string `msg:"id"`
	// Pace is the usual time between two events in microseconds, 0 if unknown.
	Pace int64 `msg:"pace"`
	// Held is the number of slots that items of the process hold there.
	Held int `msg:"held"`
}

// maxEngines limits a record to some 5 KB: items of one owner rarely hold slots at more engines.
const maxEngines = 256

// encode returns the record of a view, nil for an empty one, for which the store drops the key.
func encode(views []fleet.EngineView) ([]byte, error) {
	if len(views) == 0 {
		return nil, nil
	}
	var record view
	for _, next := range views {
		record.Engines = append(record.Engines, engine{ID: next.Engine, Pace: next.Pace.Microseconds(), Held: next.Held})
	}
	return record.MarshalMsg(nil)
}

// decode returns the view of a record. Negative numbers are treated as 0.
func decode(value []byte) ([]fleet.EngineView, error) {
	if value == nil {
		return nil, nil
	}
	var record view
	if _, err := record.UnmarshalMsg(value); err != nil {
		return nil, err
	}
	views := make([]fleet.EngineView, 0, len(record.Engines))
	for _, next := range record.Engines {
		views = append(views, fleet.EngineView{
			Engine: next.ID, Pace: time.Duration(max(0, next.Pace)) * time.Microsecond, Held: max(0, next.Held),
		})
	}
	return views, nil
}

// mostHeld reduces a view to the maxEngines engines with the most held slots. Views are sorted by engine id.
func mostHeld(views []fleet.EngineView) []fleet.EngineView {
	if len(views) <= maxEngines {
		return views
	}
	slices.SortFunc(views, func(a, b fleet.EngineView) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), strings.Compare(a.Engine, b.Engine))
	})
	views = views[:maxEngines]
	slices.SortFunc(views, func(a, b fleet.EngineView) int { return strings.Compare(a.Engine, b.Engine) })
	return views
}
