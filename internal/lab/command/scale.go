package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/hillfork/hillfork/internal/lab/bubble"
	"github.com/hillfork/hillfork/internal/lab/scale"
	"github.com/peterbourgon/ff/v4"
)

func scaleCommand(to output) *ff.Command {
	flags := ff.NewFlagSet("scale")
	sizes := flags.StringLong("sizes", "3,9,27,81", "numbers of nodes, separated by commas")
	out := flags.StringLong("out", "", "directory for results.json, report.md and the plot; results of other sizes there are kept")
	return &ff.Command{
		Name:      "scale",
		Usage:     "hillfork-lab scale [FLAGS]",
		ShortHelp: "measure control work and the spread of news at several sizes, in virtual time",
		Flags:     flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runScale(ctx, to, *sizes, *out)
		},
	}
}

func runScale(ctx context.Context, to output, sizes, directory string) error {
	results, err := readScale(directory)
	if err != nil {
		return err
	}
	for item := range strings.SplitSeq(sizes, ",") {
		nodes, err := strconv.Atoi(strings.TrimSpace(item))
		if err != nil || nodes < 1 || nodes > scale.TargetNodes {
			return fmt.Errorf("scale: %q is no number of nodes from 1 to %d", item, scale.TargetNodes)
		}
		result, err := measureSize(ctx, to, nodes)
		if err != nil {
			return fmt.Errorf("scale: %d nodes: %w", nodes, err)
		}
		results = scale.Merge(results, result)
		if err := writeScale(directory, results); err != nil {
			return err
		}
	}
	fmt.Fprint(to.out, scale.Markdown(results))
	return nil
}

func measureSize(ctx context.Context, to output, nodes int) (*scale.Result, error) {
	var result *scale.Result
	var measureError error
	err := bubble.Run(func() {
		result, measureError = scale.Measure(context.WithoutCancel(ctx), nodes, func(format string, arguments ...any) {
			fmt.Fprintf(to.errors, format+"\n", arguments...)
		}, ctx.Err)
	})
	if err != nil {
		return nil, err
	}
	return result, measureError
}

const scaleResultsFile = "results.json"

// readScale reads the results of earlier runs; none where there is no directory or no file.
func readScale(directory string) ([]*scale.Result, error) {
	if directory == "" {
		return nil, nil
	}
	content, err := os.ReadFile(filepath.Join(directory, scaleResultsFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var results []*scale.Result
	return results, json.Unmarshal(content, &results)
}

// writeScale writes what has been measured so far, so that a run that is cut short leaves its smaller sizes.
func writeScale(directory string, results []*scale.Result) error {
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, scaleResultsFile), append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, "report.md"), []byte(scale.Markdown(results)), 0o644); err != nil {
		return err
	}
	return scale.Plot(filepath.Join(directory, "bytes.svg"), results)
}
