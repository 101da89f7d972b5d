package keyedlog_test

import (
	"slices"
	"testing"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"pgregory.net/rapid"
)

// TestHomeSetsKeepTheirRegions guards against two sets of regions that share a topic, which would give the jobs of one to owners of the other:
// names with separators, in any order and doubled.
func TestHomeSetsKeepTheirRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.SliceOfN(rapid.StringMatching(`[a-c._~A -]{1,4}`), 1, 4).Draw(t, "regions")
		homes := keyedlog.NewHomeSet(regions)
		want := slices.Compact(slices.Sorted(slices.Values(regions)))
		if !slices.Equal(homes.Regions(), want) {
			t.Fatalf("%q became %q, which is %q", regions, homes, homes.Regions())
		}
		back, found := keyedlog.HomeSetOf(homes.Topic())
		if !found || back != homes || homes.Topic() == keyedlog.TopicJobs {
			t.Fatalf("topic %q of %q is of %q", homes.Topic(), homes, back)
		}
		if homes.Includes("elsewhere") || homes.Includes("") || !homes.Includes(regions[0]) {
			t.Fatalf("%q includes the wrong regions", homes)
		}
	})
	for _, topic := range []keyedlog.Topic{keyedlog.TopicJobIndex, keyedlog.TopicEngines, "jobs-"} {
		if _, found := keyedlog.HomeSetOf(topic); found {
			t.Errorf("%s counts as a topic of jobs", topic)
		}
	}
	if homes, found := keyedlog.HomeSetOf(keyedlog.TopicJobs); !found || homes != "" || !homes.Includes("any") {
		t.Errorf("the topic of jobs without homes is of %q", homes)
	}
}
