package replay

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/mutation"
)

// TestMutationsAreCaught replays traces with one mechanism switched off and wants a stated outcome to break for it. The
// traces hold without the mutation, as TestTraces shows. docs/notes/0011-mutations.md has the same table.
func TestMutationsAreCaught(t *testing.T) {
	cases := []struct {
		name     string
		switched mutation.Set
		trace    string
		// breaks begins the broken outcome: a promise, or a workload and what it was to reach.
		breaks string
	}{
		{"no staleness check at hand-over", mutation.NoStalenessAtHandover, "answers-grow-old", "drafting: steps"},
		{"no replacement at the cursor", mutation.NoReplacement, "answers-grow-old", "drafting: steps"},
		{"no start record", mutation.NoStartRecord, "unsafe-on-failing-owners", "not_run_is_true: "},
		{"retry of unsafe requests", mutation.RetryUnsafe, "unsafe-on-failing-engines", "unsafe_at_most_once: "},
		{"not run without proof", mutation.NotRunWithoutProof, "unsafe-on-failing-engines", "not_run_is_true: "},
		{"versions from orders", mutation.VersionsFromOrders, "load-fault-unasked", "sample_versions: "},
		{"chunks of other answers", mutation.KeepForeignChunks, "engine-noise", "exactly_once: "},
		{"repeated chunks", mutation.KeepRepeatedChunks, "engine-noise", "drafting: steps"},
		{"leaving ignored", mutation.IgnoreLeaving, "engine-leave", "leaving_no_new_work: "},
		{"no drain", mutation.SkipDrain, "zones-stop-in-turn", "planned_stop_cuts_nothing: "},
		{"no bundle from peers", mutation.IgnoreLearned, "bundle-learned-from-peers", "bundle_in_force: "},
		{"learned bundle reverts", mutation.BundleReverts, "bundle-learned-from-peers", "bundle_in_force: "},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			recorded, err := trace.Load(os.DirFS(tracesDirectory), each.trace)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				report, err := RunSimulated(t.Context(), recorded, Options{Mutations: each.switched})
				if err != nil {
					t.Fatal(err)
				}
				if !breaks(report, each.breaks) {
					t.Errorf("survives: %v", report.Broken)
				}
			})
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
