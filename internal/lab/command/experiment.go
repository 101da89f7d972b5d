package command

import (
	"context"
	"fmt"
	"runtime"
	"strings"

	"github.com/hillfork/hillfork/internal/lab/experiment"
	"github.com/peterbourgon/ff/v4"
)

type experimentFlags struct {
	out       *string
	jobs      *int
	seeds     *int
	plots     *string
	timelines *string
}

func experimentCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("experiment")
	parsed := experimentFlags{
		out:       flags.StringLong("out", "", "write results.json and results.md below this directory"),
		jobs:      flags.IntLong("jobs", runtime.GOMAXPROCS(0), "runs at once"),
		seeds:     flags.IntLong("seeds", 0, "seeds to run; 0 takes the file's"),
		plots:     flags.StringLong("plots", "", "draw plots as SVG below this directory"),
		timelines: flags.StringLong("timelines", "baseline,hillfork", "policies whose first seed is drawn as a step timeline"),
	}
	return &ff.Command{
		Name:      "experiment",
		Usage:     "hillfork-lab experiment [FLAGS] FILE",
		ShortHelp: "run traces under several policies and seeds (exit 0 held, 1 a promise was broken, 2 bad input)",
		Flags:     flags,
		Exec: func(_ context.Context, files []string) error {
			if len(files) != 1 {
				return fmt.Errorf("experiment: name one file: %w", ff.ErrHelp)
			}
			return runExperiment(to, parsed, files[0])
		},
	}
}

func runExperiment(to output, flags experimentFlags, file string) error {
	spec, err := experiment.Load(file)
	if err != nil {
		return err
	}
	if *flags.seeds > 0 {
		spec.Seeds = *flags.seeds
	}
	broken := 0
	runner := &experiment.Runner{Jobs: *flags.jobs, Progress: func(done, all int, result experiment.Result) {
		fmt.Fprintf(to.errors, "%d of %d: %s %s seed %d load %g\n", done, all, result.Trace, result.Policy, result.Seed, result.Load)
		if len(result.Broken) > 0 {
			broken++
			fmt.Fprintf(to.out, "BROKEN %s %s seed %d: %s\n", result.Trace, result.Policy, result.Seed, strings.Join(result.Broken, "; "))
		}
	}}
	results, err := runner.Run(spec)
	if err != nil {
		return err
	}
	rows := experiment.Summarize(spec, results)
	if err := experiment.WriteMarkdown(to.out, spec, rows); err != nil {
		return err
	}
	if *flags.out != "" {
		if err := experiment.Save(*flags.out, spec, results, rows); err != nil {
			return err
		}
	}
	if *flags.plots != "" {
		err := experiment.SavePlots(*flags.plots, spec, results, rows, strings.Split(*flags.timelines, ","))
		if err != nil {
			return err
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
