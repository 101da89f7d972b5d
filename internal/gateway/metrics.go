package gateway

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hillfork/hillfork/internal/answer"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

// metrics are the Prometheus counters of the gateway.
type metrics struct {
	outcomes *prometheus.CounterVec
	retries  *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	withheld *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hillfork_gateway_requests_total",
			Help: "Interactive requests by workload and outcome.",
		}, []string{"workload", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hillfork_gateway_retries_total",
			Help: "Attempts after the first, by workload and kind: retry before the first token, resume after it.",
		}, []string{"workload", "kind"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hillfork_gateway_dropped_events_total",
			Help: "Events of engines that were not delivered, by cause: foreign, duplicate, overflow.",
		}, []string{"cause"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hillfork_gateway_withheld_fetches_total",
			Help: "Fetch answers withheld at hand-over because the bound in force was passed, by workload.",
		}, []string{"workload"}),
	}
	if registerer != nil {
		registerer.MustRegister(created.outcomes, created.retries, created.dropped, created.withheld)
	}
	return created
}

func (m *metrics) countDrops(drops answer.Drops) {
	m.dropped.WithLabelValues("foreign").Add(float64(drops.Foreign))
	m.dropped.WithLabelValues("duplicate").Add(float64(drops.Duplicate))
	m.dropped.WithLabelValues("overflow").Add(float64(drops.Overflow))
}

// outcomeLabel returns the metric label of an outcome, for example "not_run" for OUTCOME_NOT_RUN.
func outcomeLabel(outcome v1.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(outcome.String(), "OUTCOME_"))
}
