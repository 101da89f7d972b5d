package experiment

import (
	"fmt"
	"image/color"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgsvg" // draws SVG
)

// Size of a plot.
const (
	plotWidth  = 6.5 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

// SavePlots writes the plots of an experiment below a directory: for each trace idle time against staleness, latencies, and
// the step timeline of the first seed under each policy named in timelines.
func SavePlots(directory string, spec *Spec, results []Result, rows []Row, timelines []string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for _, trace := range tracesOf(results) {
		drawn := map[string]func() (*plot.Plot, error){
			"frontier": func() (*plot.Plot, error) { return frontierPlot(trace, rows) },
			"latency":  func() (*plot.Plot, error) { return latencyPlot(trace, spec, results) },
		}
		for _, name := range timelines {
			title := "timeline-" + strings.ReplaceAll(name, " ", "-")
			drawn[title] = func() (*plot.Plot, error) { return timelinePlot(trace, name, results) }
		}
		for _, name := range slices.Sorted(maps.Keys(drawn)) {
			made, err := drawn[name]()
			if err != nil {
				return err
			}
			file := filepath.Join(directory, fmt.Sprintf("%s-%s.svg", trace, name))
			if err := made.Save(plotWidth, plotHeight, file); err != nil {
				return err
			}
		}
	}
	return nil
}

func tracesOf(results []Result) []string {
	var names []string
	for _, result := range results {
		if !slices.Contains(names, result.Trace) {
			names = append(names, result.Trace)
		}
	}
	return names
}

func newPlot(title, x, y string) *plot.Plot {
	made := plot.New()
	made.Title.Text = title
	made.X.Label.Text = x
	made.Y.Label.Text = y
	made.Legend.Top = true
	return made
}

// frontierPlot shows the median idle time of each policy and training workload against its median staleness.
func frontierPlot(trace string, rows []Row) (*plot.Plot, error) {
	made := newPlot(trace+": idle time against staleness", "mean versions behind", "trainer idle s")
	made.X.Min, made.Y.Min = 0, 0
	made.Legend.Top = false
	var workloads []string
	for _, row := range rows {
		idle, behind := row.Figures[columnIdle], row.Figures[columnBehind]
		if row.Trace != trace || idle.Count == 0 {
			continue
		}
		if !slices.Contains(workloads, row.Workload) {
			workloads = append(workloads, row.Workload)
		}
		points, err := plotter.NewScatter(plotter.XYs{{X: behind.Median, Y: idle.Median}})
		if err != nil {
			return nil, err
		}
		points.Shape = plotutil.Shape(slices.Index(workloads, row.Workload))
		points.Radius = vg.Points(4)
		labels, err := plotter.NewLabels(plotter.XYLabels{
			XYs: plotter.XYs{{X: behind.Median, Y: idle.Median}}, Labels: []string{" " + row.Policy},
		})
		if err != nil {
			return nil, err
		}
		made.Add(points, labels)
	}
	for i, workload := range workloads {
		made.Legend.Add(workload, glyph{draw.GlyphStyle{Color: color.Black, Radius: vg.Points(4), Shape: plotutil.Shape(i)}})
	}
	return made, nil
}

// glyph is a legend's picture of a point.
type glyph struct {
	draw.GlyphStyle
}

// Thumbnail draws the point.
func (g glyph) Thumbnail(canvas *draw.Canvas) { canvas.DrawGlyph(g.GlyphStyle, canvas.Center()) }

// latencyParts are the parts of the requests that latencyPlot shows.
const latencyParts = 100

// latencyPlot shows the distribution of latencies of interactive requests, over all seeds, under each policy.
func latencyPlot(trace string, spec *Spec, results []Result) (*plot.Plot, error) {
	made := newPlot(trace+": latency of interactive requests", "seconds", "part of the requests")
	made.Legend.Top = false
	for i, chosen := range spec.Policies {
		var latencies []float64
		for _, result := range results {
			if result.Trace == trace && result.Policy == chosen.Name {
				for _, listed := range result.latencies {
					latencies = append(latencies, listed...)
				}
			}
		}
		if len(latencies) == 0 {
			continue
		}
		slices.Sort(latencies)
		var points plotter.XYs
		for part := range latencyParts {
			points = append(points, plotter.XY{X: latencies[part*len(latencies)/latencyParts], Y: float64(part) / latencyParts})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		made.Add(line)
		made.Legend.Add(chosen.Name, line)
	}
	return made, nil
}

// timelineLanes is how many bars of different steps an engine's row has room for.
const timelineLanes = 4

// timelinePlot shows, for the first seed, when each engine worked on each step, and with vertical lines when trainers had a
// step whole.
func timelinePlot(trace, chosen string, results []Result) (*plot.Plot, error) {
	made := newPlot(fmt.Sprintf("%s, %s: steps by engine", trace, chosen), "seconds", "")
	at := slices.IndexFunc(results, func(r Result) bool { return r.Trace == trace && r.Policy == chosen && len(r.timeline) > 0 })
	if at < 0 {
		return made, nil
	}
	result := results[at]
	var engines, workloads []string
	for _, bar := range barsOf(result.timeline) {
		if !slices.Contains(engines, bar.Engine) {
			engines = append(engines, bar.Engine)
		}
		if !slices.Contains(workloads, bar.Workload) {
			workloads = append(workloads, bar.Workload)
		}
		lane := float64(bar.Step%timelineLanes) / (timelineLanes + 1)
		row := float64(slices.Index(engines, bar.Engine)) + lane
		line, err := plotter.NewLine(plotter.XYs{{X: bar.From, Y: row}, {X: bar.To, Y: row}})
		if err != nil {
			return nil, err
		}
		line.Width = vg.Points(2)
		line.Color = plotutil.Color(slices.Index(workloads, bar.Workload)*timelineLanes + bar.Step%timelineLanes)
		made.Add(line)
	}
	for _, mark := range result.deliver {
		line, err := plotter.NewLine(plotter.XYs{{X: mark.At, Y: 0}, {X: mark.At, Y: float64(len(engines))}})
		if err != nil {
			return nil, err
		}
		line.Width = vg.Points(0.5)
		made.Add(line)
	}
	made.NominalY(engines...)
	return made, nil
}

// barsOf joins the intervals of each engine and step.
func barsOf(intervals []Interval) []Interval {
	type key struct {
		engine, workload string
		step             int
	}
	joined := make(map[key]int)
	var bars []Interval
	for _, interval := range intervals {
		id := key{interval.Engine, interval.Workload, interval.Step}
		at, found := joined[id]
		if !found {
			joined[id] = len(bars)
			bars = append(bars, interval)
			continue
		}
		bars[at].To = max(bars[at].To, interval.To)
		bars[at].From = min(bars[at].From, interval.From)
	}
	return bars
}
