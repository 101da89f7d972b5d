package usage

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// expectedFor is the number of windows after its last record for which counts of a machine are expected.
const expectedFor = 2

// Tally sums up the counts that the processes have published. It is safe for concurrent use.
type Tally struct {
	mutex sync.Mutex
	// windows holds the latest counts and their partition by window and process.
	windows map[int64]map[string]entry
}

// entry holds the counts that a process has published for a window.
type entry struct {
	windowCounts
	partition keyedlog.Partition
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{windows: make(map[int64]map[string]entry)}
}

// Apply adds a record of a partition. If it returns an error, the record was skipped.
func (t *Tally) Apply(partition keyedlog.Partition, record keyedlog.Record) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	window, process, ok := parseKey(record.Key)
	if !ok {
		return fmt.Errorf("usage: malformed record key: %q", record.Key)
	}
	if record.Value == nil {
		delete(t.windows[window], process)
		return nil
	}
	next := entry{partition: partition}
	if _, err := next.UnmarshalMsg(record.Value); err != nil {
		return fmt.Errorf("usage: record %d: %w", record.Offset, err)
	}
	processes, ok := t.windows[window]
	if !ok {
		processes = make(map[string]entry)
		t.windows[window] = processes
	}
	next.merge(processes[process].windowCounts)
	processes[process] = next
	return nil
}

// merge merges the counts that the same process published earlier. Counts only increase, and a record whose append was delayed
// may be older than its position in the log suggests.
func (t *windowCounts) merge(earlier windowCounts) {
	if t.Counts == nil {
		t.Counts = make(map[string]int64)
	}
	for tenant, count := range earlier.Counts {
		t.Counts[tenant] = max(t.Counts[tenant], count)
	}
	t.Final = t.Final || earlier.Final
	t.Leaving = t.Leaving || earlier.Leaving
}

// Sum returns the number of requests of each tenant in a window that have been published so far.
func (t *Tally) Sum(window int64) map[string]int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sum := make(map[string]int64)
	for _, record := range t.windows[window] {
		for tenant, count := range record.Counts {
			sum[tenant] += count
		}
	}
	return sum
}

// Missing returns the machines that are expected to publish more counts of a window: those with counts of it or of the
// expectedFor windows before it that have neither published final counts of the window nor left.
func (t *Tally) Missing(window int64) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	expected := make(map[string]bool)
	for earlier := window - expectedFor; earlier <= window; earlier++ {
		// A machine has left if all processes with counts of the window are leaving; counts of a later window make it expected
		// again.
		remaining := make(map[string]bool)
		for _, record := range t.windows[earlier] {
			remaining[record.Machine] = remaining[record.Machine] || !record.Leaving
		}
		maps.Copy(expected, remaining)
	}
	for _, record := range t.windows[window] {
		if record.Final {
			expected[record.Machine] = false
		}
	}
	var missing []string
	for machine, isExpected := range expected {
		if isExpected {
			missing = append(missing, machine)
		}
	}
	slices.Sort(missing)
	return missing
}

// Forget removes the windows before one from the tally, and returns deletions of their records by partition, to be appended
// there.
func (t *Tally) Forget(before int64) map[keyedlog.Partition][]keyedlog.Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	deletions := make(map[keyedlog.Partition][]keyedlog.Record)
	for _, window := range slices.Sorted(maps.Keys(t.windows)) {
		if window >= before {
			break
		}
		for process, record := range t.windows[window] {
			deletions[record.partition] = append(deletions[record.partition], keyedlog.Record{Key: key(window, process)})
		}
		delete(t.windows, window)
	}
	return deletions
}
