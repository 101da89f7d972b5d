package catalog_test

import (
	"math"
	"testing"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMatchReturnsLongestPrefix(t *testing.T) {
	routes := []catalog.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "middle", Host: "A.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}
	c := catalog.New(1, routes, nil, catalog.Limits{})
	tests := []struct {
		name, host, path, want string
	}{
		{"longest wins", "a.example", "/x/y/z", "deep"},
		{"host is without case", "a.EXAMPLE", "/x/z", "middle"},
		{"a prefix ends with its slash", "a.example", "/xy", "all"},
		{"another host's routes don't count", "b.example", "/x/y/z", "other"},
		{"no route of the host", "b.example", "/y/", ""},
		{"no such host", "c.example", "/x/", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			route, found := c.Match(test.host, test.path)
			is.Equal(found, test.want != "")
			is.Equal(route.Name, test.want)
		})
	}
}

// TestSplitMatchesWeights checks that after any number of requests the count of every target differs from its share by at most
// the number of targets, for all weights and all start positions.
func TestSplitMatchesWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 2, 5).Draw(t, "weights")
		start := rapid.Float64Range(0, 0.999).Draw(t, "start")
		requests := rapid.IntRange(1, 400).Draw(t, "requests")
		route := catalog.Route{Name: "r"}
		total := 0
		for i, weight := range weights {
			route.Targets = append(route.Targets, catalog.Target{Pool: string(rune('a' + i)), Weight: float64(weight)})
			total += weight
		}
		splitter := catalog.NewSplitter(func() float64 { return start })
		counts := make(map[string]int)
		for range requests {
			counts[splitter.Pick(route)]++
		}
		for i, weight := range weights {
			share := float64(requests) * float64(weight) / float64(total)
			got := counts[string(rune('a'+i))]
			if math.Abs(float64(got)-share) > float64(len(weights)) {
				t.Fatalf("target %d of weights %v received %d of %d requests; its share is %.1f", i, weights, got, requests, share)
			}
		}
	})
}

func TestSplitSkipsTargetWithoutWeight(t *testing.T) {
	is := is.New(t)
	route := catalog.Route{Name: "r", Targets: []catalog.Target{{Pool: "a", Weight: 0}, {Pool: "b", Weight: 2}}}
	splitter := catalog.NewSplitter(func() float64 { return 0 })
	for range 10 {
		is.Equal(splitter.Pick(route), "b")
	}
}

// TestHolderIgnoresOlderVersions checks that an older or equal version of the configuration, such as a lagging or repeated read
// returns it, changes nothing and notifies no listener.
func TestHolderIgnoresOlderVersions(t *testing.T) {
	is := is.New(t)
	holder := catalog.NewHolder()
	is.True(holder.Set(catalog.New(5, nil, nil, catalog.Limits{})))
	changed := holder.Changed()
	is.True(!holder.Set(catalog.New(3, nil, nil, catalog.Limits{})))
	is.True(!holder.Set(catalog.New(5, nil, nil, catalog.Limits{})))
	is.Equal(holder.Current().Version, int64(5))
	select {
	case <-changed:
		t.Fatal("Set with an older version notified listeners")
	default:
	}
	is.True(holder.SetVersion("m", 2))
	is.True(!holder.SetVersion("m", 1))
	is.Equal(holder.Versions()["m"], int64(2))
}
