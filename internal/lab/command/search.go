package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/lab/search"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/peterbourgon/ff/v4"
)

const (
	// exitStuck says that a run made no headway in real time; its seed and stacks have been written out.
	exitStuck = 3
	// progressEvery is the number of runs between two lines of progress.
	progressEvery = 50
	// shrinkTries is how often each smaller trace is run.
	shrinkTries = 3
)

type searchFlags struct {
	seeds    *string
	jobs     *int
	out      *string
	patience *time.Duration
	minimize *bool
}

// searchSummary is the outcome of a search as JSON.
type searchSummary struct {
	FirstSeed uint64          `json:"first_seed"`
	LastSeed  uint64          `json:"last_seed"`
	Runs      int             `json:"runs"`
	Failures  []searchFailure `json:"failures"`
}

type searchFailure struct {
	Trace  string   `json:"trace"`
	Broken []string `json:"broken"`
}

func searchCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("search")
	parsed := searchFlags{
		seeds:    flags.StringLong("seeds", "1..100", "the first and the last seed"),
		jobs:     flags.IntLong("jobs", runtime.GOMAXPROCS(0), "runs at once"),
		out:      flags.StringLong("out", "", "write the traces of failing seeds and summary.json below this directory"),
		patience: flags.DurationLong("patience", 2*time.Minute, "real time that one run may take; exit code 3 when one takes longer"),
		minimize: flags.BoolLong("minimize", "shrink the traces of failing seeds"),
	}
	return &ff.Command{
		Name:      "search",
		Usage:     "hillfork-lab search [FLAGS]",
		ShortHelp: "draw traces from seeds and run them in virtual time (exit 0 held, 1 broken, 2 bad input, 3 stuck)",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("search: takes no arguments: %w", ff.ErrHelp)
			}
			return runSearch(to, parsed)
		},
	}
}

func runSearch(to output, flags searchFlags) error {
	first, last, err := parseSeeds(*flags.seeds)
	if err != nil {
		return err
	}
	var traces []*trace.Trace
	for seed := first; seed <= last; seed++ {
		traces = append(traces, search.Generate(seed))
	}
	runner := &search.Runner{
		Jobs: *flags.jobs, Patience: *flags.patience,
		OnStuck: func(stuck *trace.Trace) { reportStuck(to, *flags.out, stuck) },
	}
	summary := searchSummary{FirstSeed: first, LastSeed: last}
	var failing []search.Result
	err = runner.Run(traces, func(result search.Result) {
		summary.Runs++
		if len(result.Broken) > 0 {
			failing = append(failing, result)
			summary.Failures = append(summary.Failures, searchFailure{Trace: result.Trace.Name, Broken: result.Broken})
			printFailure(to, result)
		}
		if summary.Runs%progressEvery == 0 {
			fmt.Fprintf(to.errors, "%d of %d runs, %d failed\n", summary.Runs, len(traces), len(failing))
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(to.out, "seeds %d..%d: %d runs, %d failed\n", first, last, summary.Runs, len(failing))
	if err := saveSearch(*flags.out, summary, failing); err != nil {
		return err
	}
	if len(failing) == 0 {
		return nil
	}
	if *flags.minimize {
		if err := shrinkAll(to, runner, *flags.out, failing); err != nil {
			return err
		}
	}
	return errBroken
}

// parseSeeds reads "A..B" or "A".
func parseSeeds(text string) (first, last uint64, err error) {
	from, until, isRange := strings.Cut(text, "..")
	if !isRange {
		until = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("seeds %q: %w", text, err)
	}
	last, err = strconv.ParseUint(until, 10, 64)
	if err != nil || last < first {
		return 0, 0, fmt.Errorf("seeds %q are no range such as 1..100", text)
	}
	return first, last, nil
}

func printFailure(to output, result search.Result) {
	fmt.Fprintf(to.out, "%s BROKEN\n", result.Trace.Name)
	for _, reason := range result.Broken {
		fmt.Fprintf(to.out, "  %s\n", reason)
	}
}

func saveSearch(directory string, summary searchSummary, failing []search.Result) error {
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for _, result := range failing {
		if err := result.Trace.Save(filepath.Join(directory, result.Trace.Name)); err != nil {
			return err
		}
	}
	encoded, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "summary.json"), append(encoded, '\n'), 0o644)
}

func shrinkAll(to output, runner *search.Runner, directory string, failing []search.Result) error {
	shrinker := search.Shrinker{Runner: runner, Tries: shrinkTries}
	for _, result := range failing {
		smallest, reasons, err := shrinker.Shrink(result.Trace)
		if err != nil {
			return err
		}
		if len(reasons) == 0 {
			fmt.Fprintf(to.out, "%s did not fail again in %d runs\n", result.Trace.Name, shrinkTries)
			continue
		}
		fmt.Fprintf(to.out, "%s shrunk to %d events: %s\n", result.Trace.Name, len(smallest.Events), strings.Join(reasons, "; "))
		if directory == "" {
			continue
		}
		if err := smallest.Save(filepath.Join(directory, result.Trace.Name+"-shrunk")); err != nil {
			return err
		}
	}
	return nil
}

// reportStuck says which run makes no headway, writes its trace and the stacks of all goroutines out, and ends the
// process.
func reportStuck(to output, directory string, stuck *trace.Trace) {
	fmt.Fprintf(to.errors, "%s is stuck in real time\n", stuck.Name)
	if directory == "" {
		_ = pprof.Lookup("goroutine").WriteTo(to.errors, 1)
		os.Exit(exitStuck)
	}
	_ = stuck.Save(filepath.Join(directory, stuck.Name))
	if file, err := os.Create(filepath.Join(directory, stuck.Name+"-stacks.txt")); err == nil {
		_ = pprof.Lookup("goroutine").WriteTo(file, 1)
		_ = file.Close()
	}
	os.Exit(exitStuck)
}
