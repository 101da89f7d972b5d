package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/explain"
	"github.com/matryer/is"
)

// at prints a moment so many milliseconds after the start of a day.
func at(ms int) string {
	return time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
}

// stepLines are those of one step of three groups of one item, of which two are wanted. The second item loses a run to the
// death of its owner, the third is not needed.
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

func readDay(t *testing.T, lines []string) *explain.Day {
	t.Helper()
	day, err := explain.ReadDay(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return day
}

func TestCriticalPath(t *testing.T) {
	is := is.New(t)
	day := readDay(t, stepLines())
	is.Equal(len(day.Steps), 1)
	is.Equal(day.Quickest, 40*time.Millisecond)
	step := day.Steps[0]
	is.Equal(step.Number, int64(4))
	is.Equal(step.Took(), 5*time.Second)
	path := step.Path
	is.Equal(path.Item, "i2")
	is.Equal(path.Waiting, 100*time.Millisecond)
	// 20 events of the first run are kept, which took 800 of its 2400 ms; 40 of the second, which took 2 s.
	is.Equal(path.Working, 2400*time.Millisecond)
	is.Equal(path.Lost, 1600*time.Millisecond)
	is.Equal(path.Slow, 400*time.Millisecond)
	is.Equal(path.Listing, 80*time.Millisecond)
	is.Equal(path.Reading, 420*time.Millisecond)
	is.Equal(path.Waiting+path.Working+path.Slow+path.Lost+path.Listing+path.Reading, step.Took())
	// The item of 60 events is needed, that of 200 is not.
	is.Equal(step.Bound, 60*40*time.Millisecond)

	// A group of which an item was never listed is not whole: the last one that the trainer waited for is another.
	unlisted := append(stepLines(), at(150)+" INFO item placed job=j1 item=i4 group=g2 engine=quick resume_after=0")
	is.Equal(readDay(t, unlisted).Steps[0].Path.Item, "i3")

	var text strings.Builder
	is.NoErr(day.WriteSteps(&text))
	is.True(strings.Contains(text.String(), "mean of 1"))
	text.Reset()
	is.NoErr(day.WritePath(&text, step))
	is.True(strings.Contains(text.String(), "held to its end by item i2 of group g2, 60 events"))
}

// TestARunOnASlowEngineIsNotLost: what came of it is kept when the item moves on, so that what an operator has to look for is a slow
// engine and no death.
func TestARunOnASlowEngineIsNotLost(t *testing.T) {
	is := is.New(t)
	lines := append(stepLines(), at(1099)+" INFO run ended early job=j1 item=i2 engine=quick ending=stopped events=20")
	lines[5] = at(1100) + " INFO item placed job=j1 item=i2 group=g2 engine=slow resume_after=20"
	lines = append(lines, at(3499)+" INFO run ended early job=j1 item=i2 engine=slow ending=stopped events=40",
		at(3500)+" INFO item placed job=j1 item=i2 group=g2 engine=quick resume_after=40")
	path := readDay(t, lines).Steps[0].Path
	// 20 events of 40 ms in 999 ms, then 20 in 2399 ms, then 20 in 1 s.
	is.Equal(path.Working, 2400*time.Millisecond)
	is.Equal(path.Slow, 1998*time.Millisecond)
	is.Equal(path.Lost, time.Duration(0))
}

// TestMissingLinesAreNamed takes lines away and checks that nothing is told that they don't show.
func TestMissingLinesAreNamed(t *testing.T) {
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
			day := readDay(t, without(test.word))
			is.Equal(day.Gaps, []string{test.gap})
			for _, step := range day.Steps {
				is.True(step.Path == nil)
			}
		})
	}
	t.Run("nothing", func(t *testing.T) {
		is := is.New(t)
		day := readDay(t, nil)
		is.Equal(day.WriteSteps(new(strings.Builder)), explain.ErrNoSteps)
		_, err := day.Step("j1")
		is.True(err != nil)
	})
}

// TestBoundIsNeverBeaten compares the bound of random small steps with the best that any order of their items on two equal
// engines brings, found by trying all of them.
func TestBoundIsNeverBeaten(t *testing.T) {
	const pace = 40
	for seed := range 60 {
		is := is.New(t)
		lengths := make([][]int, 3)
		random := seed*7919 + 13
		next := func(most int) int {
			random = (random*1103515245 + 12345) & 0x7fffffff
			return 1 + random>>8%most
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
				// One item after the other on each of two places.
				began := 10000 * g
				lines = append(lines, fmt.Sprintf("%s INFO item placed job=j item=%d-%d group=%d engine=e resume_after=0", at(began), g, i, g),
					fmt.Sprintf("%s INFO item listed job=j item=%d-%d group=%d dead=false events=%d after_last_event=0s",
						at(began+events*pace), g, i, g, events))
			}
		}
		lines = append(lines, at(40000)+" INFO job ended job=j outcome=done items=6")
		day := readDay(t, lines)
		best := bestOf(lengths, wanted, 2) * pace
		is.True(day.Steps[0].Bound > 0)
		is.True(day.Steps[0].Bound <= time.Duration(best)*time.Millisecond)
		is.True(3*day.Steps[0].Bound >= 2*time.Duration(best)*time.Millisecond)
	}
}

// bestOf returns the least time, in events, in which so many groups can be whole on so many places.
func bestOf(groups [][]int, wanted, places int) int {
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
			best = min(best, bestOn(items, make([]int, places)))
		}
	}
	return best
}

// bestOn returns the least time in which items end on places that are busy so long already.
func bestOn(items, busy []int) int {
	if len(items) == 0 {
		most := 0
		for _, until := range busy {
			most = max(most, until)
		}
		return most
	}
	best := 1 << 30
	for place := range busy {
		busy[place] += items[0]
		best = min(best, bestOn(items[1:], busy))
		busy[place] -= items[0]
	}
	return best
}

// TestMeansOfEachModel checks that the means of two models are printed apart, and those of all under them.
func TestMeansOfEachModel(t *testing.T) {
	is := is.New(t)
	lines := stepLines()
	for _, line := range stepLines() {
		line = strings.ReplaceAll(line, "job=j1", "job=j2")
		line = strings.ReplaceAll(line, "item=i", "item=other")
		lines = append(lines, strings.ReplaceAll(line, "model=m", "model=n"))
	}
	var text strings.Builder
	is.NoErr(readDay(t, lines).WriteSteps(&text))
	var means []string
	for line := range strings.Lines(text.String()) {
		if strings.Contains(line, "mean of") {
			means = append(means, strings.Join(strings.Fields(line)[:4], " "))
		}
	}
	is.Equal(means, []string{"mean of 1 m", "mean of 1 n", "mean of 2 5.00"})
}

// TestStepsAreReadFromLinesOfAnyForm checks that lines which don't begin as this program writes them are read all the same: text, JSON
// with its keys in another order, and messages that hold a quote.
func TestStepsAreReadFromLinesOfAnyForm(t *testing.T) {
	const moment = "2026-03-01T08:00:00Z"
	for _, line := range []string{
		moment + " INFO job submitted job=j1 items=1 model=m step=4 wanted=1",
		`{"time":"` + moment + `","level":"info","msg":"job submitted","job":"j1","items":1,"model":"m","step":4,"wanted":1}`,
		`  12.25 front-1 {"time":"` + moment + `","level":"info","msg":"job submitted","job":"j1","items":1,"model":"m","step":4,"wanted":1}`,
		`{"msg":"job submitted","job":"j1","items":1,"model":"m","step":4,"wanted":1,"level":"info","time":"` + moment + `"}`,
	} {
		is := is.New(t)
		input := line + "\n" + `{"time":"` + moment + `","level":"info","msg":"a \"quoted\" word","job":"j1"}` + "\n"
		day, err := explain.ReadDay(strings.NewReader(input))
		is.NoErr(err)
		is.Equal(len(day.Steps), 1)
		is.Equal(day.Steps[0].Number, int64(4))
		is.Equal(day.Steps[0].Model, "m")
	}
}
