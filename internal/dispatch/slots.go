package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/policy"
)

// workloadSettings is what the bundle in force says of a workload at one engine.
type workloadSettings struct {
	name        string
	interactive bool
	share       float64
	maxInFlight int
	maxQueue    int
}

// workloadLoad is a workload's part of a slot table.
type workloadLoad struct {
	settings workloadSettings
	// held counts slots that run a stream or are reserved for work being pulled.
	held int
	// preempting counts held slots whose streams were told to give way.
	preempting int
	// awaiting counts assignments in hand that have no slot yet.
	awaiting int
	// backlog counts the samples that wait at each step shard.
	backlog []int
	queue   []*ticket
	recent  recentPeak
	// typical is the usual time a request holds its slot.
	typical time.Duration
	used    recentMean
}

// headroom is how many more requests are to be expected, going by the last seconds.
func (w *workloadLoad) headroom() int {
	if !w.settings.interactive {
		return 0
	}
	present := w.held + len(w.queue)
	return max(0, w.recent.observe(time.Now(), present)-present)
}

func (w *workloadLoad) waiting() int {
	if !w.settings.interactive {
		total := w.awaiting
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

// ticket is an interactive request's place in the queue. granted is closed when it gets a slot, refused when the engine
// takes no more work; exactly one of them is closed.
type ticket struct {
	workload string
	granted  chan struct{}
	refused  chan struct{}
}

// slotTable is the truth on the slots of one engine: who holds them, who waits, and who gets the next one.
type slotTable struct {
	// preempt is called, without the lock, to make streams of a training workload give way.
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

// victims counts streams that have to give way, by workload.
type victims map[string]int

// update changes the table under its lock, shares the slots out anew, and tells everybody.
func (s *slotTable) update(change func()) {
	s.mutex.Lock()
	for _, load := range s.workloads {
		load.used.add(time.Now(), load.held)
	}
	change()
	chosen := s.shareOut()
	s.mutex.Unlock()
	for workload, count := range chosen {
		s.preempt(workload, count)
	}
	s.notify.notify()
}

// configure takes the settings of the bundle in force over. Workloads that are gone keep what they hold.
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
				s.dropLocked(name, load)
			}
		}
	})
}

func (s *slotTable) dropLocked(name string, load *workloadLoad) {
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

// setSlots takes over how many streams the engine runs at once.
func (s *slotTable) setSlots(slots int) {
	s.mutex.Lock()
	same := s.slots == slots
	s.mutex.Unlock()
	if !same {
		s.update(func() { s.slots = slots })
	}
}

// close refuses everybody who waits and all who come later.
func (s *slotTable) close() {
	s.update(func() { s.closed = true })
	s.refuseWaiting()
}

// refuseWaiting refuses everybody who waits.
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

// shareOut grants slots to requests that wait and returns the streams that have to give way. The caller holds the lock.
func (s *slotTable) shareOut() victims {
	if s.closed {
		return nil
	}
	var chosen victims
	for _, allocation := range s.allocateLocked() {
		load := s.workloads[allocation.Workload]
		for load.settings.interactive && load.held < allocation.Target && len(load.queue) > 0 && s.freeLocked() > 0 {
			load.held++
			close(load.queue[0].granted)
			load.queue = load.queue[1:]
		}
		if more := allocation.Preempt - load.preempting; more > 0 {
			load.preempting += more
			if chosen == nil {
				chosen = victims{}
			}
			chosen[allocation.Workload] = more
		}
	}
	return chosen
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
			Used:        load.used.mean,
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

// enqueue admits an interactive request to the queue. A refusal proves that nothing ran.
func (s *slotTable) enqueue(workload string, remaining time.Duration) (*ticket, error) {
	var admitted *ticket
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
			TypicalDuration: load.typical,
			Remaining:       remaining,
		})
		if verdict == policy.VerdictRefuse {
			refusal = &peer.Error{Code: peer.CodeOverloaded, Message: "engine queue is full", RetryAfter: retryAfter}
			return
		}
		admitted = &ticket{workload: workload, granted: make(chan struct{}), refused: make(chan struct{})}
		load.queue = append(load.queue, admitted)
	})
	return admitted, refusal
}

// abandon takes a request out of the queue, or gives its slot back if it has just got one.
func (s *slotTable) abandon(abandoned *ticket) {
	s.update(func() {
		load := s.workloads[abandoned.workload]
		if load == nil {
			return
		}
		for i, waiting := range load.queue {
			if waiting == abandoned {
				load.queue = append(load.queue[:i:i], load.queue[i+1:]...)
				return
			}
		}
		if broadcast.Closed(abandoned.granted) {
			s.releaseLocked(load, 1)
		}
	})
}

// finish gives an interactive request's slot back and learns how long it was held.
func (s *slotTable) finish(workload string, held time.Duration) {
	const weight = 8 // of the past against the newest
	s.update(func() {
		load := s.workloadLocked(workload)
		load.typical += (held - load.typical) / weight
		s.releaseLocked(load, 1)
	})
}

// reserve takes up to limit slots for training work about to be pulled, and returns how many.
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

// awaitAgain is how often a slot is asked for while nothing changes: slots kept for requests that were expected become free
// by time alone.
const awaitAgain = time.Second

// await takes a slot for an assignment in hand, as soon as the workload gets one; false when the context ends before.
func (s *slotTable) await(ctx context.Context, workload string) bool {
	s.update(func() { s.workloadLocked(workload).awaiting++ })
	defer s.update(func() { s.workloadLocked(workload).awaiting-- })
	for ctx.Err() == nil {
		changed := s.notify.changed()
		if s.reserve(workload, 1) == 1 {
			return true
		}
		waitFor(ctx, awaitAgain, changed)
	}
	return false
}

// release gives training slots back. preempted tells that the streams were told to give way.
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

// notPreempted takes back the demand for streams that could not be found.
func (s *slotTable) notPreempted(workload string, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	load := s.workloadLocked(workload)
	load.preempting = max(0, load.preempting-count)
}

// setBacklog notes how many samples wait at a step shard.
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

// counts tells the streams in flight or waiting, and the slots.
func (s *slotTable) counts() (inFlight, slots int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, load := range s.workloads {
		inFlight += load.held + len(load.queue)
	}
	return inFlight, s.slots
}

// idle tells whether nothing is in flight.
func (s *slotTable) idle() bool {
	inFlight, _ := s.counts()
	return inFlight == 0
}

// load is streams in flight or waiting over slots.
func (s *slotTable) load() float64 {
	inFlight, slots := s.counts()
	return float64(inFlight) / float64(max(1, slots))
}

func notReady(reason string) *peer.Error {
	return &peer.Error{Code: peer.CodeNotReady, Message: reason}
}
