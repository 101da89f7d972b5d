package replay

import (
	"fmt"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

// measureGoodput counts the completed requests by the second in which they ended.
func measureGoodput(o *check.Observations, measures map[string]Measures) {
	for _, request := range o.Requests {
		second := int(request.EndedAt.Sub(o.BeganAt).Seconds())
		if request.Outcome != check.OutcomeCompleted || second < 0 {
			continue
		}
		m := measures[request.Workload]
		for len(m.CompletedBySecond) <= second {
			m.CompletedBySecond = append(m.CompletedBySecond, 0)
		}
		m.CompletedBySecond[second]++
		measures[request.Workload] = m
	}
}

// brokenGoodput compares the goodput under load with that of the base time. A span in which nothing was completed, or that
// is empty, shows nothing and is broken.
func brokenGoodput(bound *trace.GoodputBound, completed []int) []string {
	base, load := goodput(completed, bound.Base), goodput(completed, bound.Load)
	if base > 0 && load >= bound.MinRatio*base {
		return nil
	}
	return []string{fmt.Sprintf("goodput is %.2f a second under load and %.2f before, stated at least %g times as much",
		load, base, bound.MinRatio)}
}

// goodput is the requests completed a second in a span of seconds.
func goodput(completed []int, span [2]int) float64 {
	if span[0] < 0 || span[1] <= span[0] {
		return 0
	}
	sum := 0
	for second := span[0]; second < min(span[1], len(completed)); second++ {
		sum += completed[second]
	}
	return float64(sum) / float64(span[1]-span[0])
}
