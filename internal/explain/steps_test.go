package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/explain"
	"github.com/matryer/is"
)

// at formats the time that is ms milliseconds after the first line.
func at(ms int) string {
	return time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
}

// stepLines are the lines of one step with three groups of one item each, of which the trainer wants two. The second item loses a run
// because its owner dies, and the third is not needed.
func stepLines() []string {
	return []string{
		at(0) + " INFO job submitted job=j1 outcome=done items=3 model=m step=4 wanted=2",
		at(100) + " INFO item placed job=j1 item=i1 group=g1 engine=quick resume_after=0",
		at(100) + " INFO item placed job=j1 item=i2 group=g2 engine=quick resume_after=0",
		at(200) + " INFO item placed job=j1 item=i3 group=g3 engine=slow resume_after=0",
		at(1350) + " INFO item listed job=j1 item=i1 group=g1 dead=false events=30 after_last_event=50ms",
		at(2500) + " INFO item placed job=j1 item=i2 group=g2 engine=slow resume_after=20",
		at(4580) + " INFO item listed job=j1 item=i2 group=g2 dead=false events=60 after_last_event=80ms",
		at(5000) + " INFO job ended job=j1 outcome=done items=3",
		at(9000) + " INFO item listed job=j1 item=i3 group=g3 dead=false events=200 after_last_event=0s",
	}
}

func readReport(t *testing.T, lines []string) *explain.StepReport {
	t.Helper()
	report, err := explain.ReadSteps(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestCriticalPath(t *testing.T) {
	is := is.New(t)
	report := readReport(t, stepLines())
	is.Equal(len(report.Steps), 1)
	is.Equal(report.FastestPace, 40*time.Millisecond)
	step := report.Steps[0]
	is.Equal(step.Number, int64(4))
	is.Equal(step.Duration(), 5*time.Second)
	path := step.Path
	is.Equal(path.Item, "i2")
	is.Equal(path.Waiting, 100*time.Millisecond)
	// The first run keeps 20 events, which take 800 of its 2400 ms at the fastest pace. The second run keeps 40 events and takes 2 s.
	is.Equal(path.Working, 2400*time.Millisecond)
	is.Equal(path.Lost, 1600*time.Millisecond)
	is.Equal(path.Slow, 400*time.Millisecond)
	is.Equal(path.Listing, 80*time.Millisecond)
	is.Equal(path.Reading, 420*time.Millisecond)
	is.Equal(path.Waiting+path.Working+path.Slow+path.Lost+path.Listing+path.Reading, step.Duration())
	// The item with 60 events is needed, the one with 200 is not.
	is.Equal(step.LowerBound, 60*40*time.Millisecond)

	// A group with an item that was never listed is not complete, so the trainer waits for another group last.
	unlisted := append(stepLines(), at(150)+" INFO item placed job=j1 item=i4 group=g2 engine=quick resume_after=0")
	is.Equal(readReport(t, unlisted).Steps[0].Path.Item, "i3")

	var text strings.Builder
	is.NoErr(report.WriteSteps(&text))
	is.True(strings.Contains(text.String(), "mean of 1"))
	text.Reset()
	is.NoErr(report.WritePath(&text, step))
	is.True(strings.Contains(text.String(), "held to its end by item i2 of group g2, 60 events"))
}

// TestRunOnSlowEngineIsNotLost checks that a run on a slow engine counts as slow and not as lost if its events are kept when the item
// moves to another engine. Otherwise an operator would look for a crash instead of a slow engine.
func TestRunOnSlowEngineIsNotLost(t *testing.T) {
	is := is.New(t)
	lines := append(stepLines(), at(1099)+" INFO run ended early job=j1 item=i2 engine=quick ending=stopped events=20")
	lines[5] = at(1100) + " INFO item placed job=j1 item=i2 group=g2 engine=slow resume_after=20"
	lines = append(lines, at(3499)+" INFO run ended early job=j1 item=i2 engine=slow ending=stopped events=40",
		at(3500)+" INFO item placed job=j1 item=i2 group=g2 engine=quick resume_after=40")
	path := readReport(t, lines).Steps[0].Path
	// 20 events of 40 ms in 999 ms, then 20 in 2399 ms, then 20 in 1 s.
	is.Equal(path.Working, 2400*time.Millisecond)
	is.Equal(path.Slow, 1998*time.Millisecond)
	is.Equal(path.Lost, time.Duration(0))
}

// TestMissingLinesAreReported removes lines and checks that the report names the gap and contains nothing that the remaining lines
// don't show.
func TestMissingLinesAreReported(t *testing.T) {
	without := func(word string) []string {
		var kept []string
		for _, line := range stepLines() {
			if !strings.Contains(line, word) {
				kept = append(kept, line)
			}
		}
		return kept
	}
	tests := []struct {
		word string
		gap  string
	}{
		{"job submitted", "1 jobs were submitted where no line tells"},
		{"job ended", "1 steps have no end in these lines"},
		{"item listed", "1 steps ended without a line of a listed item: lines of their owner are missing"},
	}
	for _, test := range tests {
		t.Run(test.word, func(t *testing.T) {
			is := is.New(t)
			report := readReport(t, without(test.word))
			is.Equal(report.Gaps, []string{test.gap})
			for _, step := range report.Steps {
				is.True(step.Path == nil)
			}
		})
	}
	t.Run("nothing", func(t *testing.T) {
		is := is.New(t)
		report := readReport(t, nil)
		is.Equal(report.WriteSteps(new(strings.Builder)), explain.ErrNoSteps)
		_, err := report.Step("j1")
		is.True(err != nil)
	})
}

// TestLowerBoundIsNotExceeded compares the lower bound of random small steps with the best schedule of their items on two equal
// engines, found by exhaustive search.
func TestLowerBoundIsNotExceeded(t *testing.T) {
	const pace = 40
	for seed := range 60 {
		is := is.New(t)
		lengths := make([][]int, 3)
		random := seed*7919 + 13
		next := func(limit int) int {
			random = (random*1103515245 + 12345) & 0x7fffffff
			return 1 + random>>8%limit
		}
		for g := range lengths {
			for range 2 {
				lengths[g] = append(lengths[g], 30+next(60))
			}
		}
		wanted := next(3)
		lines := []string{fmt.Sprintf("%s INFO job submitted job=j items=6 model=m step=0 wanted=%d", at(0), wanted)}
		for g, items := range lengths {
			for i, events := range items {
				// Two slots run one item after the other each.
				start := 10000 * g
				lines = append(lines, fmt.Sprintf("%s INFO item placed job=j item=%d-%d group=%d engine=e resume_after=0", at(start), g, i, g),
					fmt.Sprintf("%s INFO item listed job=j item=%d-%d group=%d dead=false events=%d after_last_event=0s",
						at(start+events*pace), g, i, g, events))
			}
		}
		lines = append(lines, at(40000)+" INFO job ended job=j outcome=done items=6")
		report := readReport(t, lines)
		best := bestOf(lengths, wanted, 2) * pace
		is.True(report.Steps[0].LowerBound > 0)
		is.True(report.Steps[0].LowerBound <= time.Duration(best)*time.Millisecond)
		is.True(3*report.Steps[0].LowerBound >= 2*time.Duration(best)*time.Millisecond)
	}
}

// bestOf returns the minimum time, in events, in which the wanted number of groups can be complete on these slots.
func bestOf(groups [][]int, wanted, slots int) int {
	best := 1 << 30
	for chosen := range 1 << len(groups) {
		var items []int
		count := 0
		for g, lengths := range groups {
			if chosen>>g&1 == 1 {
				items = append(items, lengths...)
				count++
			}
		}
		if count == wanted {
			best = min(best, bestOn(items, make([]int, slots)))
		}
	}
	return best
}

// bestOn returns the minimum time in which all items can end on slots that are already busy until the given times.
func bestOn(items, busy []int) int {
	if len(items) == 0 {
		last := 0
		for _, until := range busy {
			last = max(last, until)
		}
		return last
	}
	best := 1 << 30
	for slot := range busy {
		busy[slot] += items[0]
		best = min(best, bestOn(items[1:], busy))
		busy[slot] -= items[0]
	}
	return best
}

// TestMeansPerModel checks that the means of each of two models are printed, followed by the mean of all steps.
func TestMeansPerModel(t *testing.T) {
	is := is.New(t)
	lines := stepLines()
	for _, line := range stepLines() {
		line = strings.ReplaceAll(line, "job=j1", "job=j2")
		line = strings.ReplaceAll(line, "item=i", "item=other")
		lines = append(lines, strings.ReplaceAll(line, "model=m", "model=n"))
	}
	var text strings.Builder
	is.NoErr(readReport(t, lines).WriteSteps(&text))
	var means []string
	for line := range strings.Lines(text.String()) {
		if strings.Contains(line, "mean of") {
			means = append(means, strings.Join(strings.Fields(line)[:4], " "))
		}
	}
	is.Equal(means, []string{"mean of 1 m", "mean of 1 n", "mean of 2 5.00"})
}

// TestStepsFromLinesOfAnyFormat checks that lines in other formats than this program's are read too: text, JSON with its keys in another
// order, and messages with quotes.
func TestStepsFromLinesOfAnyFormat(t *testing.T) {
	const moment = "2026-03-01T08:00:00Z"
	for _, line := range []string{
		moment + " INFO job submitted job=j1 items=1 model=m step=4 wanted=1",
		`{"time":"` + moment + `","level":"info","msg":"job submitted","job":"j1","items":1,"model":"m","step":4,"wanted":1}`,
		`  12.25 front-1 {"time":"` + moment + `","level":"info","msg":"job submitted","job":"j1","items":1,"model":"m","step":4,"wanted":1}`,
		`{"msg":"job submitted","job":"j1","items":1,"model":"m","step":4,"wanted":1,"level":"info","time":"` + moment + `"}`,
	} {
		is := is.New(t)
		input := line + "\n" + `{"time":"` + moment + `","level":"info","msg":"a \"quoted\" word","job":"j1"}` + "\n"
		report, err := explain.ReadSteps(strings.NewReader(input))
		is.NoErr(err)
		is.Equal(len(report.Steps), 1)
		is.Equal(report.Steps[0].Number, int64(4))
		is.Equal(report.Steps[0].Model, "m")
	}
}
