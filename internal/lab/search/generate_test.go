package search

import (
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/matryer/is"
)

// drawnSeeds is how many seeds the tests of the generator draw.
const drawnSeeds = 150

func TestDrawnTracesAreValidAndHealed(t *testing.T) {
	is := is.New(t)
	actions := make(map[trace.Action]int)
	for seed := range uint64(drawnSeeds) {
		drawn := Generate(seed)
		is.NoErr(drawn.Check())
		keys := cluster.NewKeys(seed, drawn.Bundles)
		for _, document := range drawn.Bundles {
			_, err := bundle.Decode(keys.Fill(document))
			is.NoErr(err)
		}
		for _, event := range drawn.Events {
			actions[event.Do]++
			is.True(event.At+event.For < drawn.Topology.Duration) // the fault is healed before the settling time
		}
		for _, group := range faultsOf(drawn.Events) {
			begin := drawn.Events[group[0]]
			_, lasts := endings[begin.Do]
			is.True(!lasts || len(group) == 2) // what lasts until it is ended has its end
		}
	}
	for _, action := range trace.Actions() {
		is.True(actions[action] > 0) // every kind of fault is drawn
	}
}

func TestGenerateIsPure(t *testing.T) {
	is := is.New(t)
	is.Equal(Generate(7), Generate(7))
	is.True(len(Generate(8).Events) > 0)
}

func TestSmallerTracesLackOnePart(t *testing.T) {
	is := is.New(t)
	drawn := Generate(3)
	events := len(drawn.Events)
	for _, smaller := range smallerTraces(drawn) {
		parts := func(tr *trace.Trace) int {
			count := len(tr.Events) + len(tr.Topology.Callers)
			for _, trainer := range tr.Topology.Trainers {
				count += trainer.Steps
			}
			for _, group := range tr.Topology.Engines {
				count += group.Count
			}
			return count
		}
		is.True(parts(smaller) < parts(drawn))
		is.NoErr(smaller.Check())
		is.True(smaller.Events[0].File == firstBundle)
	}
	is.Equal(len(drawn.Events), events) // the original is untouched
}

func TestWatchdogNoticesARunOutOfPatience(t *testing.T) {
	is := is.New(t)
	w := newWatchdog(time.Hour, nil)
	defer w.stop()
	slow, quick := Generate(1), Generate(2)
	w.begin(slow)
	w.begin(quick)
	is.Equal(w.tick(2), nil)
	w.end(quick)
	is.Equal(w.tick(2), nil)
	is.Equal(w.tick(2), slow)
}
