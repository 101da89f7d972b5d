package replay

import (
	"os"
	"testing"
	"testing/synctest"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

// tracesDirectory holds the traces of the repository.
const tracesDirectory = "../../../traces"

// TestTraces replays every trace of the repository in virtual time.
func TestTraces(t *testing.T) {
	files := os.DirFS(tracesDirectory)
	entries, err := os.ReadDir(tracesDirectory)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) == 0 {
		t.Fatal("there is no trace")
	}
	for _, entry := range entries {
		t.Run(entry.Name(), func(t *testing.T) {
			t.Parallel()
			recorded, err := trace.Load(files, entry.Name())
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { replayTrace(t, recorded) })
		})
	}
}

func replayTrace(t *testing.T, recorded *trace.Trace) {
	report, err := RunSimulated(t.Context(), recorded, Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, reason := range report.Broken {
		t.Error(reason)
	}
}
