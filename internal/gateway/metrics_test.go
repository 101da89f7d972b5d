package gateway

import (
	"testing"

	"github.com/matryer/is"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

// TestOutcomeLabels checks the outcome labels, which are documented for operators.
func TestOutcomeLabels(t *testing.T) {
	is := is.New(t)
	for outcome, label := range map[v1.Outcome]string{
		v1.Outcome_OUTCOME_COMPLETED: "completed",
		v1.Outcome_OUTCOME_NOT_RUN:   "not_run",
		v1.Outcome_OUTCOME_UNKNOWN:   "unknown",
		v1.Outcome_OUTCOME_CANCELLED: "cancelled",
	} {
		is.Equal(outcomeLabel(outcome), label)
	}
}
