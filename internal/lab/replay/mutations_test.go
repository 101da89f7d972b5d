package replay

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/mutation"
)

// noiseReplays is for the one mutation that a replay meets by luck: the noise of an engine is drawn anew each time, and about one
// replay in six has no answer that another's chunk completes (4 of 24 measured, before and after the users' platform). The chance
// that six in a row have none is below one in 40,000.
const noiseReplays = 6

// TestMutationsAreCaught replays traces with one mechanism switched off and wants a stated outcome to break for it. The
// traces hold without the mutation, as TestTraces shows. docs/notes/0011-mutations.md has the same table.
func TestMutationsAreCaught(t *testing.T) {
	cases := []struct {
		name     string
		switched mutation.Set
		trace    string
		// breaks begins the broken outcome: a promise, or a workload and what it was to reach.
		breaks string
		// replays is how many replays may pass before one meets the mutation, where that is drawn by luck; 0 stands for 1.
		replays int
	}{
		{"no staleness check at hand-over", mutation.NoStalenessAtHandover, "answers-grow-old", "drafting: steps", 0},
		{"no replacement at the cursor", mutation.NoReplacement, "answers-grow-old", "drafting: steps", 0},
		{"no start record", mutation.NoStartRecord, "unsafe-on-failing-owners", "not_run_is_true: ", 0},
		{"retry of unsafe requests", mutation.RetryUnsafe, "unsafe-on-failing-engines", "unsafe_at_most_once: ", 0},
		{"not run without proof", mutation.NotRunWithoutProof, "unsafe-on-failing-engines", "not_run_is_true: ", 0},
		{"versions from orders", mutation.VersionsFromOrders, "load-fault-unasked", "sample_versions: ", 0},
		{"chunks of other answers", mutation.KeepForeignChunks, "engine-noise", "exactly_once: ", noiseReplays},
		{"repeated chunks", mutation.KeepRepeatedChunks, "engine-noise", "drafting: steps", 0},
		{"leaving ignored", mutation.IgnoreLeaving, "engine-leave", "leaving_no_new_work: ", 0},
		{"no drain", mutation.SkipDrain, "zones-stop-in-turn", "planned_stop_cuts_nothing: ", 0},
		{"no bundle from peers", mutation.IgnoreLearned, "bundle-learned-from-peers", "bundle_in_force: ", 0},
		{"learned bundle reverts", mutation.BundleReverts, "bundle-learned-from-peers", "bundle_in_force: ", 0},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			recorded, err := trace.Load(os.DirFS(tracesDirectory), each.trace)
			if err != nil {
				t.Fatal(err)
			}
			for replay := range max(1, each.replays) {
				caught := false
				synctest.Test(t, func(t *testing.T) {
					report, err := RunSimulated(t.Context(), recorded, Options{Mutations: each.switched})
					if err != nil {
						t.Fatal(err)
					}
					caught = breaks(report, each.breaks)
					if !caught && replay == max(1, each.replays)-1 {
						t.Errorf("survives: %v", report.Broken)
					}
				})
				if caught {
					return
				}
			}
		})
	}
}

// breaks tells whether a stated outcome broke by what happened, not for want of examinations.
func breaks(report *Report, beginning string) bool {
	for _, reason := range report.Broken {
		if strings.HasPrefix(reason, beginning) && !strings.Contains(reason, "examined") {
			return true
		}
	}
	return false
}
