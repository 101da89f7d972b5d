// Package engineview shares what owners of jobs know of engines: how quick each usually is, and how many places their items hold there.
// Each owner writes it to one partition of the store, under its machine's name and without a fence; those who place items or deal
// engines read it. It is a hint: a lost or late record changes which engine is asked first, and nothing that is promised.
package engineview

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

//go:generate go tool msgp -tests=false -unexported

//msgp:tuple engine

// view is the record of what one process tells.
type view struct {
	Engines []engine `msg:"engines"`
}

// engine is what it tells of one engine. As an array it takes some 20 bytes, those of 45 engines 1 KB.
type engine struct {
	ID string `msg:"id"`
	// Pace is the usual time between two events in microseconds, 0 if unknown.
	Pace int64 `msg:"pace"`
	// Held is how many places items hold.
	Held int `msg:"held"`
}

// maxEngines bounds a record to some 5 KB: items of one owner rarely hold places at more engines.
const maxEngines = 256

// encode returns the record of what is told, nil for nothing: the key is dropped.
func encode(told []fleet.EngineView) ([]byte, error) {
	if len(told) == 0 {
		return nil, nil
	}
	var record view
	for _, next := range told {
		record.Engines = append(record.Engines, engine{ID: next.Engine, Pace: next.Pace.Microseconds(), Held: next.Held})
	}
	return record.MarshalMsg(nil)
}

// decode returns what a record tells. Numbers that mean nothing count as unknown.
func decode(value []byte) ([]fleet.EngineView, error) {
	if value == nil {
		return nil, nil
	}
	var record view
	if _, err := record.UnmarshalMsg(value); err != nil {
		return nil, err
	}
	told := make([]fleet.EngineView, 0, len(record.Engines))
	for _, next := range record.Engines {
		told = append(told, fleet.EngineView{
			Engine: next.ID, Pace: time.Duration(max(0, next.Pace)) * time.Microsecond, Held: max(0, next.Held),
		})
	}
	return told, nil
}

// mostHeld returns what is told of the engines with the most places held. It is in order of their ids, as told is.
func mostHeld(told []fleet.EngineView) []fleet.EngineView {
	if len(told) <= maxEngines {
		return told
	}
	slices.SortFunc(told, func(a, b fleet.EngineView) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), strings.Compare(a.Engine, b.Engine))
	})
	told = told[:maxEngines]
	slices.SortFunc(told, func(a, b fleet.EngineView) int { return strings.Compare(a.Engine, b.Engine) })
	return told
}
