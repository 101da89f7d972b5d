package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const stepLog = `2026-03-01T08:00:00Z INFO job submitted job=j1 items=1 model=m step=4 wanted=1
2026-03-01T08:00:00.1Z INFO item placed job=j1 item=i1 engine=e resume_after=0
2026-03-01T08:00:01.3Z INFO item listed job=j1 item=i1 group=g dead=false events=30 after_last_event=0s
2026-03-01T08:00:02Z INFO job ended job=j1
`

const fleetLog = "front-1 2026-03-01T08:00:00Z INFO started node=front-1\nfront-1 2026-03-01T08:00:01Z INFO ready configuration=3\n"

// TestExplainFlags checks what explain prints for each flag, and that it fails with ExitUsage and a message if the flags
// conflict or the input has nothing to explain.
func TestExplainFlags(t *testing.T) {
	tests := []struct {
		name      string
		arguments []string
		input     string
		code      ExitCode
		text      string
	}{
		{"all steps", []string{"explain", "--steps"}, stepLog, ExitDone, "mean of 1"},
		{"all steps as JSON", []string{"--output", "json", "explain", "--steps"}, stepLog, ExitDone, `"job":"j1"`},
		{"one step", []string{"explain", "--step", "j1"}, stepLog, ExitDone, "held to its end by item i1"},
		{"a story", []string{"explain", "i1"}, stepLog, ExitDone, "item placed"},
		{"no such step", []string{"explain", "--step", "j2"}, stepLog, ExitUsage, "no line tells of this job's submission: j2"},
		{"no steps at all", []string{"explain", "--steps"}, "panic: no log line\n", ExitUsage, "no line tells of a job"},
		{"a line that is too long", []string{"explain", "--steps"}, strings.Repeat("x", 2<<20), ExitUsage, "can't be read"},
		{"a fleet", []string{"explain", "--fleet"}, fleetLog, ExitDone, "1 replicas: 0 cut off, 0 in takeover, 0 starting, 1 serving"},
		{"a fleet as JSON", []string{"--output", "json", "explain", "--fleet"}, fleetLog, ExitDone, `"state":"serving"`},
		{"lines without names", []string{"explain", "--fleet"}, stepLog, ExitUsage, "no log line comes with the name of its replica"},
		{"a fleet and steps", []string{"explain", "--fleet", "--steps"}, stepLog, ExitUsage, "takes one of"},
		{"both flags", []string{"explain", "--steps", "--step", "j1"}, stepLog, ExitUsage, "takes one of"},
		{"nothing asked", []string{"explain"}, stepLog, ExitUsage, "takes one of"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var output, failure bytes.Buffer
			code := Run(context.Background(), test.arguments, Streams{In: strings.NewReader(test.input), Out: &output, Err: &failure})
			is.Equal(code, test.code)
			is.True(strings.Contains(output.String()+failure.String(), test.text))
		})
	}
}
