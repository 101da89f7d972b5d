package cli

import (
	"context"
	"encoding/json"

	"github.com/hillfork/hillfork/internal/explain"
	"github.com/peterbourgon/ff/v4"
)

const explainUsage = "hillfork explain (ID | --steps | --step JOB | --fleet) < LOGS"

// explainCommand tells from log lines on the standard input the story of an id, where the time of steps went, or how replicas stand.
// It calls no node.
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
				return a.explainStory(arguments[0])
			default:
				return usageError("explain takes one of ID, --steps, --step and --fleet; usage: %s", explainUsage)
			}
		},
	}
}

func (a *application) explainStory(id string) error {
	story, err := explain.Read(a.streams.In, id)
	if err != nil {
		return err
	}
	return story.Write(a.streams.Out)
}

func (a *application) explainSteps() error {
	day, err := explain.ReadSteps(a.streams.In)
	if err != nil {
		return usageError("the lines can't be read: %v", err)
	}
	if len(day.Steps) == 0 {
		return usageError("%v", explain.ErrNoSteps)
	}
	if a.output == outputJSON {
		return json.NewEncoder(a.streams.Out).Encode(day)
	}
	return day.WriteSteps(a.streams.Out)
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
	day, err := explain.ReadSteps(a.streams.In)
	if err != nil {
		return usageError("the lines can't be read: %v", err)
	}
	step, err := day.Step(job)
	if err != nil {
		return usageError("%v", err)
	}
	if a.output == outputJSON {
		return json.NewEncoder(a.streams.Out).Encode(step)
	}
	return day.WritePath(a.streams.Out, step)
}
