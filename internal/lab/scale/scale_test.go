package scale

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/matryer/is"
)

func TestShareDividesTheWhole(t *testing.T) {
	is := is.New(t)
	for _, whole := range []int{3, 9, 27, 410, 900} {
		total := 0
		for number := range regions * zonesPerRegion {
			total += share(whole, regions*zonesPerRegion, number)
		}
		is.Equal(total, whole)
	}
	is.Equal(EnginesFor(TargetNodes), TargetEngines)
}

func TestBundleDocumentIsValid(t *testing.T) {
	is := is.New(t)
	document := string(bundleDocument(2))
	for _, partner := range []string{"first", "second"} {
		key, _, err := bundle.GenerateKey()
		is.NoErr(err)
		document = strings.ReplaceAll(document, "${KEY:"+partner+"}", bundle.FormatPublicKey(key))
	}
	decoded, err := bundle.Decode([]byte(document))
	is.NoErr(err)
	is.Equal(len(decoded.Workloads), trainerCount)
}

func TestFitLeavesOutWhatWasNotReached(t *testing.T) {
	is := is.New(t)
	results := []*Result{{Nodes: 1, JoinSeconds: 2}, {Nodes: 2, JoinSeconds: 4}, {Nodes: 3, JoinSeconds: notReached}}
	join := func(r *Result) float64 { return r.JoinSeconds }
	_, _, fitted := fit(results, join)
	is.True(!fitted)
	intercept, slope, fitted := fit(append(results, &Result{Nodes: 4, JoinSeconds: 8}), join)
	is.True(fitted)
	is.True(slope > 1.999 && slope < 2.001 && intercept > -0.001 && intercept < 0.001)
}

func TestMeasureReachesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		result, err := Measure(t.Context(), 9, t.Logf, t.Context().Err)
		is.NoErr(err)
		for _, line := range measures([]*Result{result}) {
			is.True(line.value(result) != notReached) // line.name
		}
		is.True(result.TotalBytes() > 0)
		is.True(result.BundleSeconds > 0)
	})
}

func TestMergeReplacesTheSameSize(t *testing.T) {
	is := is.New(t)
	merged := Merge([]*Result{{Nodes: 9, Engines: 1}, {Nodes: 81}}, &Result{Nodes: 27})
	merged = Merge(merged, &Result{Nodes: 9, Engines: 2})
	is.Equal(len(merged), 3)
	is.Equal([]int{merged[0].Nodes, merged[0].Engines, merged[1].Nodes, merged[2].Nodes}, []int{9, 2, 27, 81})
}
