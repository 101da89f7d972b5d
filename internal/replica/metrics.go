package replica

import (
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/jobrun"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/unread"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const metricsNamespace = "hillfork"

// metrics holds the metrics of a replica.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	listed     prometheus.Histogram
	resumed    prometheus.Histogram
	weights    prometheus.Histogram
	moved      prometheus.Counter
	departures *prometheus.HistogramVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "request_seconds", Help: "Time from a request's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"outcome"}),
		firstEvent: histogram("item_first_event_seconds", "Time from a job's acceptance to the first event of an item."),
		listed:     histogram("item_listed_seconds", "Time from an item's last event and score to its durable listing."),
		resumed:    histogram("item_resumed_seconds", "Time from the break of a run to the first event of the next."),
		weights:    histogram("weights_served_seconds", "Time from learning a named version to an engine serving it."),
		moved: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "runs_moved_total", Help: "Runs that moved off engines that leave.",
		}),
		departures: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "engine_departure_news_seconds",
			Help:    "Maximum age of the news, by its source, that engines leave or are gone.",
			Buckets: prometheus.ExponentialBuckets(0.05, 1.5, 12),
		}, []string{"source"}),
	}
	m.registry.MustRegister(m.requests, m.firstEvent, m.listed, m.resumed, m.weights, m.moved, m.departures,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
	})
}

func (m *metrics) request(outcome forward.Outcome, elapsed time.Duration) {
	m.requests.WithLabelValues(outcome.String()).Observe(elapsed.Seconds())
}

func (m *metrics) rolled(elapsed time.Duration) {
	m.weights.Observe(elapsed.Seconds())
}

func (m *metrics) measures() *jobrun.Metrics {
	return &jobrun.Metrics{
		FirstEvent: observer(m.firstEvent), Listed: observer(m.listed), Resumed: observer(m.resumed), Moved: m.moved.Inc,
	}
}

func observer(histogram prometheus.Observer) func(time.Duration) {
	return func(took time.Duration) { histogram.Observe(took.Seconds()) }
}

// gauge registers a gauge that is read when the metrics are collected.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, read))
}

// counter registers a counter that is read when the metrics are collected.
func (m *metrics) counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, read))
}

// unread registers the metrics of the memory budget for unread answers.
func (m *metrics) unread(stats func() unread.Stats) {
	m.gauge("unread_bytes", "Memory reserved for answers that callers have not read.", func() float64 { return float64(stats().Held) })
	m.counter("unread_cut_total", "Callers cut off because they took nothing of their answer.", func() float64 { return float64(stats().Cut) })
	m.counter("unread_refused_total", "Answers refused because callers' answers hold the memory.", func() float64 {
		return float64(stats().Refused)
	})
}

// holds registers the counts of held reads of results.
func (m *metrics) holds(stats *jobs.HoldStats) {
	m.counter("result_reads_held_total", "Reads of results of jobs with a trainer that were held while results arrived.", func() float64 {
		return float64(stats.Held())
	})
	m.counter("result_reads_held_step_complete_total", "Held reads that were answered because the trainer's step was complete.", func() float64 {
		return float64(stats.StepComplete())
	})
}

// results registers what reads of jobs' results take from the store.
func (m *metrics) results(stats func() jobs.Stats) {
	m.counter("results_tail_reads_total", "Reads of results that needed only the last records of a partition.", func() float64 {
		return float64(stats().TailReads)
	})
	m.counter("results_tail_misses_total", "Reads of results for which the last records of a partition did not suffice.", func() float64 {
		return float64(stats().TailMisses)
	})
	m.counter("results_read_bytes_total", "Bytes of records read from the store for results.", func() float64 {
		return float64(stats().Bytes)
	})
}

// member registers whether this replica is a member of the group that owns the partitions of jobs.
func (m *metrics) member(participates func() bool) {
	m.gauge("jobs_member", "1 if the replica takes part in owning partitions of jobs, 0 if it stands by.", func() float64 {
		if participates() {
			return 1
		}
		return 0
	})
}

// Metrics serves the replica's counters and histograms.
func (r *Replica) Metrics() http.Handler {
	return promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})
}
