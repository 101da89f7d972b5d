package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/explain"
	"github.com/hillfork/hillfork/internal/logging"
	"github.com/matryer/is"
)

// lines are log lines of three nodes, out of order. The text lines start with a node's name, and one line is not a log line.
const lines = `front-b 2026-09-27T08:19:00.250Z INFO item listed job=j1 item=i1 dead=false versions="[1 2]" age=250ms
front-a 2026-09-27T08:19:00.000Z INFO job submitted job=j1 outcome=done items=2
panic: not a log line
front-b 2026-09-27T08:19:00.100Z INFO run ended early job=j1 item=i1 engine=e1 ending=broken error="read: connection reset"
{"time":"2026-09-27T08:19:00.050Z","level":"info","msg":"job started","job":"j1","open_items":2}
front-b 2026-09-27T08:19:00.300Z INFO item listed job=j1 item=i2 dead=false
front-a 2026-09-27T08:19:01.000Z INFO request settled request=r1 outcome=timed_out status=0 attempts=2 left=-1ms
`

func TestHistories(t *testing.T) {
	tests := []struct {
		id      string
		lines   []string
		settled string
	}{
		{"i1", []string{"job submitted", "job started", "run ended early", "item listed"}, "item listed"},
		{"r1", []string{"request settled"}, "request settled"},
		{"j1", []string{"job submitted", "job started", "run ended early", "item listed", "item listed"}, ""},
		{"none", nil, ""},
	}
	for _, test := range tests {
		t.Run(test.id, func(t *testing.T) {
			is := is.New(t)
			history, err := explain.Read(strings.NewReader(lines), test.id)
			is.NoErr(err)
			var messages []string
			for _, line := range history.Lines {
				messages = append(messages, line.Message)
			}
			is.Equal(messages, test.lines)
			is.Equal(history.Settled != nil, test.settled != "")
			if history.Settled != nil {
				is.Equal(history.Settled.Message, test.settled)
			}
			var text bytes.Buffer
			is.NoErr(history.Write(&text))
			is.True(text.Len() > 0)
		})
	}
}

// TestParsesLinesOfLogger guards against a difference between the parser and the logger's output, in both formats.
func TestParsesLinesOfLogger(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		t.Run(format, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			logging.New(&output, "info", format).Info("request settled", "request", "r1", "error", `has "quotes" and = signs`, "status", 503)
			line, ok := explain.Parse(strings.TrimSpace(output.String()))
			is.True(ok)
			is.Equal(line.Message, "request settled")
			is.Equal(line.Fields["request"], "r1")
			is.Equal(line.Fields["status"], "503")
		})
	}
}

func FuzzParse(f *testing.F) {
	for line := range strings.Lines(lines) {
		f.Add(line)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = explain.Parse(text)
	})
}

// TestHistoryOfWithheldRequest checks that the history of a withheld request contains the lines about engines that ended under other
// requests with the same content, but not the lines that settled those requests.
func TestHistoryOfWithheldRequest(t *testing.T) {
	is := is.New(t)
	const withheld = `front-a 2026-09-27T08:19:00.100Z INFO answer broke off request=r1 content=c1 engine=e1 ended=true
front-b 2026-09-27T08:19:00.200Z INFO answer broke off request=r2 content=c1 engine=e2 ended=true
front-b 2026-09-27T08:19:00.210Z INFO request settled request=r2 outcome=lost content=""
front-a 2026-09-27T08:19:00.250Z INFO answer broke off request=r3 content=c2 engine=e2 ended=true
front-a 2026-09-27T08:19:00.300Z INFO request settled request=r4 outcome=withheld content=c1
front-a 2026-09-27T08:19:00.400Z INFO request settled request=r5 outcome=withheld content=c1
`
	history, err := explain.Read(strings.NewReader(withheld), "r4")
	is.NoErr(err)
	is.Equal(len(history.Lines), 3)
	is.Equal(history.Settled.Fields["request"], "r4")
	history, err = explain.Read(strings.NewReader(withheld), "c1")
	is.NoErr(err)
	is.Equal(len(history.Lines), 4)
}
