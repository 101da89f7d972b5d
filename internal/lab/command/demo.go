package command

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hillfork/hillfork/examples"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/replay"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/peterbourgon/ff/v4"
)

// progressInterval is the time between two lines of progress.
const progressInterval = 3 * time.Second

type demoFlags struct {
	report *string
	logs   *string
}

func demoCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("demo")
	parsed := demoFlags{
		report: flags.StringLong("report", "", "write a JSON report to this file"),
		logs:   flags.StringLong("log-level", "none", "show the nodes' logs of this level: debug, info, warn, error or none"),
	}
	return &ff.Command{
		Name:      "demo",
		Usage:     "hillfork-lab demo [FLAGS]",
		ShortHelp: "run both example deployments for half a minute over loopback (exit 0 held, 1 a promise was broken)",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runDemo(ctx, to, parsed)
		},
	}
}

func runDemo(ctx context.Context, to output, flags demoFlags) error {
	recorded, err := trace.Load(examples.Files, examples.SharedPool)
	if err != nil {
		return err
	}
	fmt.Fprintf(to.out, "Two partners, three training workloads and two interactive ones share %d engines for %v.\n",
		countEngines(&recorded.Topology), time.Duration(recorded.Topology.Duration))
	report, err := replay.Run(ctx, recorded, cluster.NewLoopback(), replay.Options{
		Logger: nodeLogger(to.errors, *flags.logs),
		Watch: func(ctx context.Context, progress func() replay.Progress) {
			showProgress(ctx, to.out, progress)
		},
	})
	if err != nil {
		return err
	}
	printTable(to.out, report)
	if err := writeReports(*flags.report, []*replay.Report{report}); err != nil {
		return err
	}
	if !report.Passed {
		return errBroken
	}
	return nil
}

func countEngines(topology *trace.Topology) int {
	count := 0
	for _, group := range topology.Engines {
		count += group.Count
	}
	return count
}

// showProgress prints a line now and then until ctx ends.
func showProgress(ctx context.Context, out io.Writer, progress func() replay.Progress) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := progress()
		fmt.Fprintf(out, "  %3.0fs  steps %3d  samples %5d  requests %4d (%d completed)  bundle %d\n",
			now.Elapsed.Seconds(), now.Steps, now.Samples, now.Requests, now.Completed, now.BundleVersion)
	}
}

// printTable prints the measures by workload, then the promises.
func printTable(out io.Writer, report *replay.Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nworkload\tsteps\tsamples\tidle s\tversions behind\tage s\trequests\tcompleted\tnot run\tunknown\tp50 ms\tp99 ms")
	for _, name := range sortedNames(report.Measures) {
		m := report.Measures[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.2f\t%.1f\t%d\t%d\t%d\t%d\t%.0f\t%.0f\n", name, m.Steps, m.Samples, m.IdleSeconds,
			m.MeanVersionsBehind, m.MeanAgeSeconds, m.Requests, m.Outcomes[check.OutcomeCompleted],
			m.Outcomes[check.OutcomeNotRun], m.Outcomes[check.OutcomeUnknown]+m.Outcomes[check.OutcomeBroken],
			1000*m.LatencyP50, 1000*m.LatencyP99)
	}
	fmt.Fprintln(table, "\npromise\tchecked\tviolated")
	for _, promise := range check.Promises() {
		verdict := report.Promises[promise]
		fmt.Fprintf(table, "%s\t%d\t%d\n", promise, verdict.Checked, verdict.Violations)
	}
	_ = table.Flush()
	for _, reason := range report.Broken {
		fmt.Fprintln(out, "broken:", reason)
	}
}
