package scale

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/settings"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Beside describes a run of real processes beside hollow nodes, over loopback sockets.
type Beside struct {
	// Hollow is how many nodes run in this process, Real how many are started elsewhere from the files in Directory.
	Hollow    int
	Real      int
	Directory string
	// Wait bounds the time until all real nodes are ready.
	Wait time.Duration
}

// RealNode is what one real process spent a second, at rest.
type RealNode struct {
	Name              string             `json:"name"`
	ProcessorPercent  float64            `json:"processor_percent"`
	ResidentMegabytes float64            `json:"resident_megabytes"`
	BytesPerSecond    map[string]float64 `json:"bytes_per_second"`
}

// TotalBytes is the control work of the process, in bytes a second sent and received.
func (n *RealNode) TotalBytes() float64 {
	total := 0.0
	for _, bytes := range n.BytesPerSecond {
		total += bytes
	}
	return total
}

// MeasureBeside stands up the platform, hollow engines and hollow nodes, writes the settings of the real ones, waits until
// these are ready, and measures them at rest.
func MeasureBeside(ctx context.Context, beside Beside, say func(format string, arguments ...any)) ([]RealNode, error) {
	recorded := &trace.Trace{
		Name: "beside", Topology: Topology(beside.Hollow, time.Hour), Bundles: bundles(),
	}
	stood, err := cluster.New(ctx, cluster.Config{Trace: recorded, Fabric: cluster.NewLoopback(), Recorder: check.NewRecorder()})
	if err != nil {
		return nil, err
	}
	defer stood.Close()
	reserved, err := reserve(stood, beside)
	if err != nil {
		return nil, err
	}
	if _, err := stood.RollBundle(ctx, "1.yaml", nil); err != nil {
		return nil, err
	}
	say("%d hollow nodes and %d engines stand; start hillforkd --config with each file in %s", beside.Hollow,
		EnginesFor(beside.Hollow), beside.Directory)
	if err := waitReady(ctx, reserved, beside.Wait); err != nil {
		return nil, err
	}
	say("%d real nodes are ready", beside.Real)
	if err := sleep(ctx, 2*settleTime); err != nil {
		return nil, err
	}
	return measureReal(ctx, reserved)
}

func reserve(stood *cluster.Cluster, beside Beside) ([]*settings.Settings, error) {
	if err := os.MkdirAll(beside.Directory, 0o755); err != nil {
		return nil, err
	}
	var reserved []*settings.Settings
	for number := range beside.Real {
		zone := zoneName(number%regions, number/regions%zonesPerRegion)
		described := stood.Reserve(fmt.Sprintf("real-%d", number+1), zone)
		described.LogLevel, described.LogFormat = "error", settings.FormatText
		file := filepath.Join(beside.Directory, described.Node+".yaml")
		if err := os.WriteFile(file, []byte(described.YAML()), 0o600); err != nil {
			return nil, err
		}
		reserved = append(reserved, described)
	}
	return reserved, nil
}

// waitReady returns when every node answers that it is ready.
func waitReady(ctx context.Context, nodes []*settings.Settings, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, node := range nodes {
		for !isReady(ctx, node) {
			if err := sleep(ctx, time.Second); err != nil {
				return fmt.Errorf("node %s did not get ready: %w", node.Node, err)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, node *settings.Settings) bool {
	answer, err := get(ctx, node, "/readyz")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func get(ctx context.Context, node *settings.Settings, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cluster.MetricsAddress(node)+path, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// Metrics of a process that are read.
const (
	processorMetric = "process_cpu_seconds_total"
	residentMetric  = "process_resident_memory_bytes"
	bytesMetric     = "hillfork_network_bytes_total"
)

func measureReal(ctx context.Context, nodes []*settings.Settings) ([]RealNode, error) {
	before := make([]map[string]*dto.MetricFamily, len(nodes))
	for i, node := range nodes {
		var err error
		if before[i], err = scrape(ctx, node); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	if err := sleep(ctx, restTime); err != nil {
		return nil, err
	}
	var measured []RealNode
	for i, node := range nodes {
		after, err := scrape(ctx, node)
		if err != nil {
			return nil, err
		}
		measured = append(measured, compare(node.Node, before[i], after, time.Since(began)))
	}
	return measured, nil
}

func scrape(ctx context.Context, node *settings.Settings) (map[string]*dto.MetricFamily, error) {
	answer, err := get(ctx, node, "/metrics")
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(answer.Body)
}

func compare(name string, before, after map[string]*dto.MetricFamily, span time.Duration) RealNode {
	result := RealNode{
		Name:              name,
		ProcessorPercent:  100 * (single(after[processorMetric]) - single(before[processorMetric])) / span.Seconds(),
		ResidentMegabytes: single(after[residentMetric]) / (1 << 20),
		BytesPerSecond:    make(map[string]float64),
	}
	earlier := byLabels(before[bytesMetric])
	for labels, value := range byLabels(after[bytesMetric]) {
		if !strings.Contains(labels, dataLabel) {
			result.BytesPerSecond[labels] = (value - earlier[labels]) / span.Seconds()
		}
	}
	return result
}

// dataLabel is the mechanism that is no control work.
const dataLabel = "data"

// single is the value of a metric without labels, a counter or a gauge.
func single(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return total
}

// byLabels returns the counters of a family by the values of their labels.
func byLabels(family *dto.MetricFamily) map[string]float64 {
	values := make(map[string]float64)
	for _, metric := range family.GetMetric() {
		var labels []string
		for _, label := range metric.GetLabel() {
			labels = append(labels, label.GetValue())
		}
		slices.Sort(labels)
		values[strings.Join(labels, "/")] = metric.GetCounter().GetValue()
	}
	return values
}
