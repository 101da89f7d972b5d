package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/policy"
)

// workloadSettings holds the settings of a workload in the bundle in force that apply to one engine.
type workloadSettings struct {
	name        string
	interactive bool
	share       float64
	maxInFlight int
	maxQueue    int
}

// workloadLoad is the state of one workload in a slot table.
type workloadLoad struct {
	settings workloadSettings
	// held counts slots that run a stream or are reserved for a pull.
	held int
	// preempting counts held slots whose streams are being preempted.
	preempting int
	// awaitingSlot counts pulled assignments that have no slot yet.
	awaitingSlot int
	// backlog is the number of waiting samples, by step shard.
	backlog []int
	queue   []*queueEntry
	peak    recentPeak
	// typicalHold is the moving average of how long a request holds its slot.
	typicalHold time.Duration
	meanHeld    recentMean
}

// headroom returns how many more requests to expect, based on the recent peak.
func (w *workloadLoad) headroom() int {
	if !w.settings.interactive {
		return 0
	}
	present := w.held + len(w.queue)
	return max(0, w.peak.observe(time.Now(), present)-present)
}

func (w *workloadLoad) waiting() int {
	if !w.settings.interactive {
		total := w.awaitingSlot
		for _, count := range w.backlog {
			total += count
		}
		return total
	}
	waiting := len(w.queue)
	if w.settings.maxInFlight > 0 {
		waiting = min(waiting, max(0, w.settings.maxInFlight-w.held))
	}
	return waiting
}

// queueEntry is an interactive request in the queue. granted is closed when the request gets a slot, refused when the
// engine accepts no more work; exactly one of them is closed, unless the request is abandoned before.
type queueEntry struct {
	workload string
	granted  chan struct{}
	refused  chan struct{}
}

// slotTable allocates the slots of one engine among its workloads. It is authoritative for the held slots and the
// queues of requests.
type slotTable struct {
	// preempt is called without the lock to free slots by preempting streams of a training workload.
	preempt func(workload string, count int)
	notify  *notifier

	mutex     sync.Mutex
	slots     int
	offset    float64
	closed    bool
	order     []string
	workloads map[string]*workloadLoad
}

func newSlotTable(preempt func(string, int)) *slotTable {
	return &slotTable{preempt: preempt, notify: newNotifier(), workloads: map[string]*workloadLoad{}}
}

// preemptions is the number of streams to preempt, by workload.
type preemptions map[string]int

// update changes the table under its lock, reallocates the slots, and notifies the waiters.
func (s *slotTable) update(change func()) {
	s.mutex.Lock()
	for _, load := range s.workloads {
		load.meanHeld.add(time.Now(), load.held)
	}
	change()
	toPreempt := s.grantLocked()
	s.mutex.Unlock()
	for workload, count := range toPreempt {
		s.preempt(workload, count)
	}
	s.notify.notify()
}

// configure applies the settings of the bundle in force. Removed workloads keep the slots that they hold.
func (s *slotTable) configure(settings []workloadSettings, offset float64) {
	s.update(func() {
		s.offset = offset
		wanted := make(map[string]bool, len(settings))
		s.order = s.order[:0]
		for _, setting := range settings {
			wanted[setting.name] = true
			s.order = append(s.order, setting.name)
			s.workloadLocked(setting.name).settings = setting
		}
		for name, load := range s.workloads {
			if !wanted[name] {
				s.removeWorkloadLocked(name, load)
			}
		}
	})
}

func (s *slotTable) removeWorkloadLocked(name string, load *workloadLoad) {
	refuseAll(load)
	load.backlog = nil
	load.settings.share = 0
	if load.held == 0 {
		delete(s.workloads, name)
		return
	}
	s.order = append(s.order, name)
}

func (s *slotTable) workloadLocked(name string) *workloadLoad {
	load := s.workloads[name]
	if load == nil {
		load = &workloadLoad{settings: workloadSettings{name: name}}
		s.workloads[name] = load
	}
	return load
}

// setSlots sets how many streams the engine runs at once.
func (s *slotTable) setSlots(slots int) {
	s.mutex.Lock()
	same := s.slots == slots
	s.mutex.Unlock()
	if !same {
		s.update(func() { s.slots = slots })
	}
}

// close refuses all waiting and later requests.
func (s *slotTable) close() {
	s.update(func() { s.closed = true })
	s.refuseWaiting()
}

// refuseWaiting refuses all requests in the queues.
func (s *slotTable) refuseWaiting() {
	s.update(func() {
		for _, load := range s.workloads {
			refuseAll(load)
		}
	})
}

func refuseAll(load *workloadLoad) {
	for _, waiting := range load.queue {
		close(waiting.refused)
	}
	load.queue = nil
}

// grantLocked grants slots to waiting requests and returns the streams to preempt. The caller holds the lock.
func (s *slotTable) grantLocked() preemptions {
	if s.closed {
		return nil
	}
	var toPreempt preemptions
	for _, allocation := range s.allocateLocked() {
		load := s.workloads[allocation.Workload]
		for load.settings.interactive && load.held < allocation.Target && len(load.queue) > 0 && s.freeLocked() > 0 {
			load.held++
			close(load.queue[0].granted)
			load.queue = load.queue[1:]
		}
		if more := allocation.Preempt - load.preempting; more > 0 {
			load.preempting += more
			if toPreempt == nil {
				toPreempt = preemptions{}
			}
			toPreempt[allocation.Workload] = more
		}
	}
	return toPreempt
}

func (s *slotTable) allocateLocked() []policy.Allocation {
	demands := make([]policy.Demand, 0, len(s.order))
	for _, name := range s.order {
		load := s.workloads[name]
		demands = append(demands, policy.Demand{
			Workload:    name,
			Interactive: load.settings.interactive,
			Share:       load.settings.share,
			Running:     load.held,
			Waiting:     load.waiting(),
			Headroom:    load.headroom(),
			Used:        load.meanHeld.mean,
		})
	}
	return policy.Allocate(s.slots, s.offset, demands)
}

func (s *slotTable) freeLocked() int {
	free := s.slots
	for _, load := range s.workloads {
		free -= load.held
	}
	return free
}

// enqueue admits an interactive request to the queue. An error proves that the request did not run.
func (s *slotTable) enqueue(workload string, remaining time.Duration) (*queueEntry, error) {
	var entry *queueEntry
	var refusal error
	s.update(func() {
		load := s.workloads[workload]
		if s.closed || load == nil || s.slots == 0 {
			refusal = notReady("engine takes no work now")
			return
		}
		verdict, retryAfter := policy.Admit(policy.AdmissionState{
			InFlight:        load.held,
			Queued:          len(load.queue),
			MaxInFlight:     load.settings.maxInFlight,
			MaxQueue:        load.settings.maxQueue,
			Slots:           s.slots,
			TypicalDuration: load.typicalHold,
			Remaining:       remaining,
		})
		if verdict == policy.VerdictRefuse {
			refusal = &peer.Error{Code: peer.CodeOverloaded, Message: "engine queue is full", RetryAfter: retryAfter}
			return
		}
		entry = &queueEntry{workload: workload, granted: make(chan struct{}), refused: make(chan struct{})}
		load.queue = append(load.queue, entry)
	})
	return entry, refusal
}

// abandon removes a request from the queue, or releases its slot if it has just been granted one.
func (s *slotTable) abandon(entry *queueEntry) {
	s.update(func() {
		load := s.workloads[entry.workload]
		if load == nil {
			return
		}
		for i, waiting := range load.queue {
			if waiting == entry {
				load.queue = append(load.queue[:i:i], load.queue[i+1:]...)
				return
			}
		}
		if broadcast.Closed(entry.granted) {
			s.releaseLocked(load, 1)
		}
	})
}

// finishRequest releases an interactive request's slot and updates the average hold time.
func (s *slotTable) finishRequest(workload string, held time.Duration) {
	const pastWeight = 8 // weight of the past average against the newest value
	s.update(func() {
		load := s.workloadLocked(workload)
		load.typicalHold += (held - load.typicalHold) / pastWeight
		s.releaseLocked(load, 1)
	})
}

// reserve reserves up to limit slots for a pull of training work and returns how many it reserved.
func (s *slotTable) reserve(workload string, limit int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	load := s.workloads[workload]
	if s.closed || load == nil {
		return 0
	}
	for _, allocation := range s.allocateLocked() {
		if allocation.Workload != workload {
			continue
		}
		count := max(0, min(limit, allocation.Target-load.held, s.freeLocked()))
		load.held += count
		return count
	}
	return 0
}

// awaitRetryInterval is the interval at which awaitSlot retries while nothing changes. A retry is needed because the
// headroom kept for expected requests expires without a notification.
const awaitRetryInterval = time.Second

// awaitSlot reserves a slot for a pulled assignment as soon as the workload gets one. It returns false if the context
// ends first.
func (s *slotTable) awaitSlot(ctx context.Context, workload string) bool {
	s.update(func() { s.workloadLocked(workload).awaitingSlot++ })
	defer s.update(func() { s.workloadLocked(workload).awaitingSlot-- })
	for ctx.Err() == nil {
		changed := s.notify.changed()
		if s.reserve(workload, 1) == 1 {
			return true
		}
		waitFor(ctx, awaitRetryInterval, changed)
	}
	return false
}

// release releases training slots. preempted says that their streams were preempted.
func (s *slotTable) release(workload string, count int, preempted bool) {
	if count == 0 {
		return
	}
	s.update(func() {
		load := s.workloadLocked(workload)
		if preempted {
			load.preempting = max(0, load.preempting-count)
		}
		s.releaseLocked(load, count)
	})
}

func (s *slotTable) releaseLocked(load *workloadLoad, count int) {
	load.held -= count
	if load.held < 0 {
		panic("dispatch: more slots released than held")
	}
}

// withdrawPreemption lowers the preempting count by streams that could not be preempted.
func (s *slotTable) withdrawPreemption(workload string, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	load := s.workloadLocked(workload)
	load.preempting = max(0, load.preempting-count)
}

// setBacklog sets the number of samples waiting at a step shard.
func (s *slotTable) setBacklog(workload string, shard, shards, count int) {
	s.mutex.Lock()
	load := s.workloads[workload]
	same := load == nil || len(load.backlog) == shards && load.backlog[shard] == count
	s.mutex.Unlock()
	if same {
		return
	}
	s.update(func() {
		load := s.workloadLocked(workload)
		if len(load.backlog) != shards {
			load.backlog = make([]int, shards)
		}
		load.backlog[shard] = count
	})
}

// counts returns the number of streams in flight or waiting, and the number of slots.
func (s *slotTable) counts() (inFlight, slots int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, load := range s.workloads {
		inFlight += load.held + len(load.queue)
	}
	return inFlight, s.slots
}

// idle reports whether no stream is in flight or waiting.
func (s *slotTable) idle() bool {
	inFlight, _ := s.counts()
	return inFlight == 0
}

// load returns the ratio of streams in flight or waiting to slots.
func (s *slotTable) load() float64 {
	inFlight, slots := s.counts()
	return float64(inFlight) / float64(max(1, slots))
}

func notReady(reason string) *peer.Error {
	return &peer.Error{Code: peer.CodeNotReady, Message: reason}
}
