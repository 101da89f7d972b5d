package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/replay"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/logging"
	"github.com/hillfork/hillfork/internal/settings"
	"github.com/peterbourgon/ff/v4"
)

type replayFlags struct {
	report  *string
	logs    *string
	virtual *bool
}

func replayCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("replay")
	parsed := replayFlags{
		report:  flags.StringLong("report", "", "write a JSON report to this file"),
		logs:    flags.StringLong("log-level", "none", "show the nodes' logs of this level: debug, info, warn, error or none"),
		virtual: flags.BoolLong("virtual", "run in virtual time over an in-memory network"),
	}
	return &ff.Command{
		Name:      "replay",
		Usage:     "hillfork-lab replay [FLAGS] DIR...",
		ShortHelp: "run traces and judge their stated outcomes (exit 0 held, 1 broken, 2 bad trace)",
		Flags:     flags,
		Exec: func(ctx context.Context, directories []string) error {
			return runReplay(ctx, to, parsed, directories)
		},
	}
}

func runReplay(ctx context.Context, to output, flags replayFlags, directories []string) error {
	if len(directories) == 0 {
		return fmt.Errorf("replay: name at least one trace directory: %w", ff.ErrHelp)
	}
	var reports []*replay.Report
	passed := true
	for _, directory := range directories {
		recorded, err := loadTrace(directory)
		if err != nil {
			return err
		}
		report, err := replayOne(ctx, recorded, *flags.virtual, nodeLogger(to.errors, *flags.logs))
		if err != nil {
			return fmt.Errorf("%s: %w", directory, err)
		}
		printReport(to.out, report)
		passed = passed && report.Passed
		reports = append(reports, report)
	}
	if err := writeReports(*flags.report, reports); err != nil {
		return err
	}
	if !passed {
		return errBroken
	}
	return nil
}

// loadTrace loads the trace of a directory, whose name may end with a slash, as shells complete it.
func loadTrace(directory string) (*trace.Trace, error) {
	directory = filepath.Clean(directory)
	return trace.Load(os.DirFS(filepath.Dir(directory)), filepath.Base(directory))
}

func replayOne(ctx context.Context, recorded *trace.Trace, virtual bool, logger *log.Logger) (*replay.Report, error) {
	if virtual {
		return replay.RunVirtual(recorded, replay.Options{Logger: logger})
	}
	return replay.Run(ctx, recorded, cluster.NewLoopback(), replay.Options{Logger: logger})
}

// nodeLogger returns the logger of the nodes, nil for level none.
func nodeLogger(to io.Writer, level string) *log.Logger {
	if level == "none" {
		return nil
	}
	return logging.New(to, level, settings.FormatText)
}

func printReport(out io.Writer, report *replay.Report) {
	state := "held"
	if !report.Passed {
		state = "BROKEN"
	}
	fmt.Fprintf(out, "%s: %s\n", report.Trace, state)
	for _, promise := range check.Promises() {
		verdict := report.Promises[promise]
		fmt.Fprintf(out, "  %-28s checked %6d  violated %d\n", promise, verdict.Checked, verdict.Violations)
	}
	for _, name := range sortedNames(report.Measures) {
		encoded, _ := json.Marshal(report.Measures[name])
		fmt.Fprintf(out, "  %s %s\n", name, encoded)
	}
	for _, stop := range report.Stops {
		fmt.Fprintf(out, "  planned stop of %-12s at %6.2fs took %7.3fs, %d requests in flight\n", stop.Name, stop.AtSeconds,
			stop.TookSeconds, stop.InFlight)
	}
	for _, reason := range report.Broken {
		fmt.Fprintf(out, "  broken: %s\n", reason)
	}
}

// writeReports writes one report as an object, several as a list.
func writeReports(file string, reports []*replay.Report) error {
	if file == "" {
		return nil
	}
	var content any = reports
	if len(reports) == 1 {
		content = reports[0]
	}
	encoded, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(encoded, '\n'), 0o644)
}

func sortedNames(measures map[string]replay.Measures) []string {
	return slices.Sorted(maps.Keys(measures))
}
