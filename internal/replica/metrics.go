package replica

import (
	"net/http"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/inbound"
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

// quarantine registers the number of request contents in quarantine.
func (m *metrics) quarantine(contents func() int) {
	m.gauge("quarantine_contents", "Contents of requests under which engines ended.", func() float64 { return float64(contents()) })
}

// ejected registers the number of ejected engines.
func (m *metrics) ejected(engines func() int) {
	m.gauge("engines_ejected", "Engines that take no work of this process for their failures.", func() float64 { return float64(engines()) })
}

// connections registers the counts of connections to engines.
func (m *metrics) connections(stats func() engineapi.ConnectionStats) {
	m.counter("engine_connections_opened_total", "Connections opened to engines.", func() float64 { return float64(stats().Opened) })
	m.counter("engine_connections_reused_total", "Requests to engines over an idle connection.", func() float64 { return float64(stats().Reused) })
	for cause, count := range map[string]func() int64{
		"cancelled": func() int64 { return stats().ClosedCancelled },
		"idle":      func() int64 { return stats().ClosedIdle },
		"broken":    func() int64 { return stats().ClosedBroken },
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "engine_connections_closed_total", Help: "Connections to engines that were closed, by cause.",
			ConstLabels: prometheus.Labels{"cause": cause},
		}, func() float64 { return float64(count()) }))
	}
	for kind := range engineapi.CallKinds {
		m.abandoned(kind, "reset", func() int64 { return stats().AbandonedReset[kind] })
		m.abandoned(kind, "closed", func() int64 { return stats().AbandonedClosed[kind] })
	}
}

// abandoned registers the number of calls of a kind that were abandoned and whose connection ended in the given way.
func (m *metrics) abandoned(kind engineapi.CallKind, connection string, count func() int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metricsNamespace, Name: "engine_calls_abandoned_total", Help: "Calls to engines that were abandoned before their answer was complete.",
		ConstLabels: prometheus.Labels{"kind": kind.String(), "connection": connection},
	}, func() float64 { return float64(count()) }))
}

// cold registers the number of cold engines, and how many health checks were sent.
func (m *metrics) cold(engines func() int, checks func() int64) {
	m.gauge("engines_cold", "Engines that are cold, or suspected to be, in pools with a cold rate.", func() float64 { return float64(engines()) })
	m.counter("health_checks_total", "Health checks sent to engines that may be cold.", func() float64 { return float64(checks()) })
}

// unread registers the metrics of the memory budget for unread answers.
func (m *metrics) unread(stats func() unread.Stats) {
	m.gauge("unread_bytes", "Memory reserved for answers that callers have not read.", func() float64 { return float64(stats().Held) })
	m.counter("unread_cut_total", "Callers cut off because they took nothing of their answer.", func() float64 { return float64(stats().Cut) })
	m.counter("unread_refused_total", "Answers refused because callers' answers hold the memory.", func() float64 {
		return float64(stats().Refused)
	})
}

// inbound registers what answers take while they are read, and what was cut.
func (m *metrics) inbound(stats func() inbound.Stats) {
	m.gauge("inbound_bytes", "Memory that large answers take while they are read.", func() float64 { return float64(stats().Held) })
	for kind := range inbound.Kinds {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "inbound_cut_total", Help: "Answers that were not read to their end, since they were too large or had no memory.",
			ConstLabels: prometheus.Labels{"kind": kind.String()},
		}, func() float64 { return float64(stats().Cut[kind]) }))
	}
}

// otherRegions registers the bytes of requests that were sent to engines in other regions.
func (m *metrics) otherRegions(sent func() int64) {
	m.counter("other_region_sent_bytes_total", "Bytes of requests' bodies sent to engines in other regions.", func() float64 {
		return float64(sent())
	})
}

// leaving registers the number of runs of this process at engines that leave or whose zone is evacuated.
func (m *metrics) leaving(runs func() int) {
	m.gauge("leaving_engine_runs", "Runs of items at engines that leave or whose zone is evacuated.", func() float64 { return float64(runs()) })
}

// departureNews returns a function that observes the maximum age of what a source says of engines that leave: their own records, or
// the list.
func (m *metrics) departureNews(source string) func(maxAge time.Duration) {
	return observer(m.departures.WithLabelValues(source))
}

// withheldSends registers the number of requests that were not sent since their engine leaves.
func (m *metrics) withheldSends(count func() int64) {
	m.counter("requests_withheld_from_leaving_engines_total", "Requests not sent to the engine that was chosen, since it leaves.", func() float64 {
		return float64(count())
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

// views registers what is known of engines only from the views of other owners, and how many records of its own view
// this process wrote.
func (m *metrics) views(written func() int64, known func() fleet.PeerSummary) {
	m.counter("engine_views_written_total", "Records written of what this process knows of engines.", func() float64 {
		return float64(written())
	})
	m.gauge("engine_paces_told", "Engines whose pace is known from other owners alone.", func() float64 { return float64(known().Engines) })
	m.gauge("engine_places_told", "Places of engines that other owners report to hold.", func() float64 { return float64(known().Held) })
	m.gauge("engine_views_age_seconds", "Age of the newest view of engines of another owner, 0 without any.", func() float64 {
		return known().Newest.Seconds()
	})
}

// Metrics serves the replica's counters and histograms.
func (r *Replica) Metrics() http.Handler {
	return promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})
}
