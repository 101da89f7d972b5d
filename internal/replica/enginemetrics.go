package replica

import (
	"time"

	"github.com/hillfork/hillfork/internal/answercheck"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/inbound"
	"github.com/prometheus/client_golang/prometheus"
)

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
	for cause, count := range map[string]func() int64{
		"none_idle":     func() int64 { return stats().NoneIdle },
		"same_identity": func() int64 { return stats().SameIdentity },
		"silent":        func() int64 { return stats().Silent },
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "engine_connections_missed_total", Help: "Requests to engines for which no idle connection could be used, by cause.",
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

// brokenAnswers registers the number of broken answers of each kind.
func (m *metrics) brokenAnswers(count func(answercheck.Kind) int64) {
	for kind := range answercheck.Kinds {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "broken_answers_total", Help: "Answers of engines, the store and the provider that were no answer, or not whole.",
			ConstLabels: prometheus.Labels{"kind": kind.String()},
		}, func() float64 { return float64(count(kind)) }))
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
