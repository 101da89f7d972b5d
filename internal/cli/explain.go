package cli

import (
	"context"
	"encoding/json"

	"github.com/hillfork/hillfork/internal/explain"
	"github.com/peterbourgon/ff/v4"
)

const explainUsage = "hillfork explain (ID | --steps | --step JOB | --fleet) < LOGS"

// explainCommand returns the command that reads log lines from the standard input and prints the history of an ID, how the
// time of steps was spent, or the state of each replica. It calls no node.
func (a *application) explainCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("explain").SetParent(parent)
	var steps, fleet bool
	var step string
	flags.BoolVar(&steps, 0, "steps", "tell of each step what held it, and how that item's time divides")
	flags.StringVar(&step, 0, "step", "", "tell of one step, by its job, the way of the item that held it")
	flags.BoolVar(&fleet, 0, "fleet", "tell how each replica stood at the end, from lines that come with its name")
	return &ff.Command{
		Name:  flags.GetName(),
		Usage: explainUsage,
		ShortHelp: "tell from log lines of any nodes the story of a request, item or job, where the time of steps went, " +
			"or how replicas stand",
		Flags: flags,
		Exec: func(_ context.Context, arguments []string) error {
			switch {
			case fleet && !steps && step == "" && len(arguments) == 0:
				return a.explainFleet()
			case steps && !fleet && step == "" && len(arguments) == 0:
				return a.explainSteps()
			case step != "" && !steps && !fleet && len(arguments) == 0:
				return a.explainStep(step)
			case !steps && !fleet && step == "" && len(arguments) == 1:
				return a.explainID(arguments[0])
			default:
				return usageError("explain takes one of ID, --steps, --step and --fleet; usage: %s", explainUsage)
			}
		},
	}
}

func (a *application) explainID(id string) error {
	history, err := explain.Read(a.streams.In, id)
	if err != nil {
		return err
	}
	return history.Write(a.streams.Out)
}

func (a *application) explainSteps() error {
	report, err := explain.ReadSteps(a.streams.In)
	if err != nil {
		return usageError("the lines can't be read: %v", err)
	}
	if len(report.Steps) == 0 {
		return usageError("%v", explain.ErrNoSteps)
	}
	if a.output == outputJSON {
		return json.NewEncoder(a.streams.Out).Encode(report)
	}
	return report.WriteSteps(a.streams.Out)
}

func (a *application) explainFleet() error {
	fleet, err := explain.ReadFleet(a.streams.In)
	if err != nil {
		return usageError("the lines can't be read: %v", err)
	}
	if len(fleet.Replicas) == 0 {
		return usageError("%v", explain.ErrNoReplicas)
	}
	if a.output == outputJSON {
		return json.NewEncoder(a.streams.Out).Encode(fleet)
	}
	return fleet.WriteFleet(a.streams.Out)
}

func (a *application) explainStep(job string) error {
	report, err := explain.ReadSteps(a.streams.In)
	if err != nil {
		return usageError("the lines can't be read: %v", err)
	}
	step, err := report.Step(job)
	if err != nil {
		return usageError("%v", err)
	}
	if a.output == outputJSON {
		return json.NewEncoder(a.streams.Out).Encode(step)
	}
	return report.WritePath(a.streams.Out, step)
}
