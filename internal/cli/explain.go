package cli

import (
	"context"

	"github.com/hillfork/hillfork/internal/explain"
	"github.com/peterbourgon/ff/v4"
)

// explainCommand tells the story of an id from log lines on the standard input. It calls no node.
func (a *application) explainCommand(parent *ff.FlagSet) *ff.Command {
	flags := ff.NewFlagSet("explain").SetParent(parent)
	return a.command(flags, "hillfork explain ID < LOGS",
		"tell the story of a request, item or job from log lines of any nodes", []string{"ID"},
		func(_ context.Context, arguments []string) error {
			story, err := explain.Read(a.streams.In, arguments[0])
			if err != nil {
				return err
			}
			return story.Write(a.streams.Out)
		})
}
