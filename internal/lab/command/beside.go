package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/hillfork/hillfork/internal/lab/scale"
	"github.com/peterbourgon/ff/v4"
)

// besideWait is how long real nodes may take to be started and get ready.
const besideWait = 5 * time.Minute

func besideCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("beside")
	hollow := flags.IntLong("hollow", 27, "number of hollow nodes in this process")
	real := flags.IntLong("real", 3, "number of real nodes that are started elsewhere")
	directory := flags.StringLong("settings", "", "directory to write the settings files of the real nodes to")
	report := flags.StringLong("report", "", "write a JSON report to this file")
	return &ff.Command{
		Name:      "beside",
		Usage:     "hillfork-lab beside --settings DIR [FLAGS]",
		ShortHelp: "measure real hillforkd processes beside hollow nodes, over loopback (see scripts/beside.sh)",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *directory == "" || *hollow < 1 || *hollow > scale.TargetNodes || *real < 1 {
				return fmt.Errorf("beside: needs --settings, --hollow from 1 to %d and --real of 1 or more", scale.TargetNodes)
			}
			described := scale.Beside{Hollow: *hollow, Real: *real, Directory: *directory, Wait: besideWait}
			return runBeside(ctx, to, described, *report)
		},
	}
}

func runBeside(ctx context.Context, to output, described scale.Beside, report string) error {
	measured, err := scale.MeasureBeside(ctx, described, func(format string, arguments ...any) {
		fmt.Fprintf(to.errors, format+"\n", arguments...)
	})
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(to.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "real node\tprocessor %\tresident MB\tcontrol B/s")
	for i := range measured {
		node := &measured[i]
		fmt.Fprintf(table, "%s\t%.2f\t%.1f\t%.0f\n", node.Name, node.ProcessorPercent, node.ResidentMegabytes, node.TotalBytes())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if report == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(measured, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(report, append(encoded, '\n'), 0o644)
}
