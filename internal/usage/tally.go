package usage

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// expectedFor is how many windows after its last word a machine is waited for.
const expectedFor = 2

// Tally adds up what the processes have told. It is safe for concurrent use.
type Tally struct {
	mutex sync.Mutex
	// windows maps windows to what each process has told of it, with where that lies.
	windows map[int64]map[string]entry
}

// entry is what a process has told of a window.
type entry struct {
	told
	partition keyedlog.Partition
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{windows: make(map[int64]map[string]entry)}
}

// Apply takes a record of a partition. An error says that it was skipped.
func (t *Tally) Apply(partition keyedlog.Partition, record keyedlog.Record) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	window, process, ok := parseKey(record.Key)
	if !ok {
		return fmt.Errorf("usage: key of no record: %q", record.Key)
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
	next.merge(processes[process].told)
	processes[process] = next
	return nil
}

// merge takes in what the same process told before: counts only rise, and a record whose append was done late is older than it looks.
func (t *told) merge(earlier told) {
	if t.Counts == nil {
		t.Counts = make(map[string]int64)
	}
	for tenant, count := range earlier.Counts {
		t.Counts[tenant] = max(t.Counts[tenant], count)
	}
	t.Final = t.Final || earlier.Final
	t.Leaving = t.Leaving || earlier.Leaving
}

// Sum returns the requests of each tenant in a window, as far as they have been told.
func (t *Tally) Sum(window int64) map[string]int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sum := make(map[string]int64)
	for _, told := range t.windows[window] {
		for tenant, count := range told.Counts {
			sum[tenant] += count
		}
	}
	return sum
}

// Missing returns the machines from which more of a window is expected: those that told something of it or of the windows before, and
// neither finished the window nor left.
func (t *Tally) Missing(window int64) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	expected := make(map[string]bool)
	for earlier := window - expectedFor; earlier <= window; earlier++ {
		// A machine has left with the last process that told something of it; what one tells later counts again.
		stays := make(map[string]bool)
		for _, told := range t.windows[earlier] {
			stays[told.Machine] = stays[told.Machine] || !told.Leaving
		}
		maps.Copy(expected, stays)
	}
	for _, told := range t.windows[window] {
		if told.Final {
			expected[told.Machine] = false
		}
	}
	var missing []string
	for machine, wanted := range expected {
		if wanted {
			missing = append(missing, machine)
		}
	}
	slices.Sort(missing)
	return missing
}

// Forget forgets the windows before one, and returns their records by partition, to be dropped there.
func (t *Tally) Forget(before int64) map[keyedlog.Partition][]keyedlog.Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	dropped := make(map[keyedlog.Partition][]keyedlog.Record)
	for _, window := range slices.Sorted(maps.Keys(t.windows)) {
		if window >= before {
			break
		}
		for process, told := range t.windows[window] {
			dropped[told.partition] = append(dropped[told.partition], keyedlog.Record{Key: key(window, process)})
		}
		delete(t.windows, window)
	}
	return dropped
}
