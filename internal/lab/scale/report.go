package scale

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// measure is one line of the report.
type measure struct {
	name  string
	value func(*Result) float64
}

// measures returns the lines of the report: the fixed ones and one for each mechanism seen.
func measures(results []*Result) []measure {
	lines := []measure{
		{"control bytes a second, sent and received", (*Result).TotalBytes},
		{"processor, % of a core (stand-ins included)", func(r *Result) float64 { return r.ProcessorPercent }},
		{"memory, MB a node (stand-ins included)", func(r *Result) float64 { return r.HeapMegabytes }},
		{"cold start of all until all know all, s", func(r *Result) float64 { return r.JoinSeconds }},
		{"claims an engine after the cold start", func(r *Result) float64 { return r.ClaimsPerEngine }},
		{"bundle in force everywhere, s", func(r *Result) float64 { return r.BundleSeconds }},
		{"weight version known everywhere, s", func(r *Result) float64 { return r.WeightKnownSeconds }},
		{"weight version on all engines of a pool, s", func(r *Result) float64 { return r.WeightServedSeconds }},
		{"leaving engine known everywhere, s", func(r *Result) float64 { return r.LeavingSeconds }},
		{"death of a node known everywhere, s", func(r *Result) float64 { return r.NodeDeathSeconds }},
		{"its engines owned again, s", func(r *Result) float64 { return r.NodeRecoverySeconds }},
		{"death of a zone known everywhere, s", func(r *Result) float64 { return r.ZoneDeathSeconds }},
		{"its engines owned again, s", func(r *Result) float64 { return r.ZoneRecoverySeconds }},
		{"engines moved by the death of a zone", func(r *Result) float64 { return float64(r.ZoneEnginesMoved) }},
		{"regions know each other after a minute apart, s", func(r *Result) float64 { return r.RegionMeetSeconds }},
	}
	for _, mechanism := range mechanisms(results) {
		lines = append(lines, measure{"bytes a second: " + mechanism, func(r *Result) float64 { return r.BytesPerSecond[mechanism] }})
	}
	return lines
}

// Merge adds a result to others, in the place of one of the same size, in order of size.
func Merge(results []*Result, added *Result) []*Result {
	merged := []*Result{added}
	for _, result := range results {
		if result.Nodes != added.Nodes {
			merged = append(merged, result)
		}
	}
	slices.SortFunc(merged, func(a, b *Result) int { return a.Nodes - b.Nodes })
	return merged
}

func mechanisms(results []*Result) []string {
	names := make(map[string]bool)
	for _, result := range results {
		for name := range result.BytesPerSecond {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Markdown writes a table: one line a measure, one column a size, then the slope of a straight line fitted against the
// number of nodes and its value at the target size. What was not reached is "-" and is left out of the fit.
func Markdown(results []*Result) string {
	var table strings.Builder
	table.WriteString("| per node |")
	for _, result := range results {
		fmt.Fprintf(&table, " %d nodes |", result.Nodes)
	}
	fmt.Fprintf(&table, " slope per 100 nodes | fit at %d |\n|---|%s---|---|\n", TargetNodes, strings.Repeat("---|", len(results)))
	for _, line := range measures(results) {
		fmt.Fprintf(&table, "| %s |", line.name)
		for _, result := range results {
			table.WriteString(" " + cell(line.value(result)) + " |")
		}
		intercept, slope, fitted := fit(results, line.value)
		if !fitted {
			table.WriteString(" - | - |\n")
			continue
		}
		fmt.Fprintf(&table, " %.3g | %.3g |\n", 100*slope, intercept+slope*TargetNodes)
	}
	return table.String()
}

func cell(value float64) string {
	if value == notReached {
		return "-"
	}
	return fmt.Sprintf("%.3g", value)
}

// leastPoints is how many sizes a fit needs.
const leastPoints = 3

// fit fits a straight line against the number of nodes by least squares.
func fit(results []*Result, value func(*Result) float64) (intercept, slope float64, fitted bool) {
	var nodes, values []float64
	for _, result := range results {
		if measured := value(result); measured != notReached {
			nodes = append(nodes, float64(result.Nodes))
			values = append(values, measured)
		}
	}
	if len(nodes) < leastPoints {
		return 0, 0, false
	}
	intercept, slope = stat.LinearRegression(nodes, values, nil, false)
	return intercept, slope, true
}

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the control bytes a second and node against the number of nodes.
func Plot(file string, results []*Result) error {
	points := make(plotter.XYs, 0, len(results))
	for _, result := range results {
		points = append(points, plotter.XY{X: float64(result.Nodes), Y: result.TotalBytes()})
	}
	drawing := plot.New()
	drawing.Title.Text = "Control work at rest"
	drawing.X.Label.Text = "nodes"
	drawing.Y.Label.Text = "bytes a second and node"
	drawing.Y.Min = 0
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	drawing.Add(line, dots, plotter.NewGrid())
	return drawing.Save(plotWidth, plotHeight, file)
}
