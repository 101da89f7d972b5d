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
		back, found := keyedlog.HomeSetOf(homes.Topic())
		if want := slices.Compact(slices.Sorted(slices.Values(regions))); !slices.Equal(homes.Regions(), want) || !found || back != homes {
			t.Fatalf("%q became %q in topic %q, which is %q", regions, homes, homes.Topic(), back)
		}
	})
}
