package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/policy"
)

// Follower waits until the partition of crashes was applied up to an offset.
type Follower interface {
	WaitUntil(ctx context.Context, end int64) error
}

// Config configures a quarantine.
type Config struct {
	Log    keyedlog.Log
	Prober Prober
	// Directory lists the engines and whether they are draining.
	Directory *fleet.Directory
	// Machine is the name of the machine that the process runs on.
	Machine string
	Logger  *log.Logger
}

// Quarantine records for which contents engines ended, at this and all other machines, and withholds contents that crash
// engines. All machines read each end from the log. An end whose record must be visible to a caller's retry is written to
// the log before the caller gets its answer. A content that was withheld by coincidence is cleared by a trial, which only
// one machine makes: the one whose claim is the first in the log. A nil quarantine withholds nothing. It is safe for
// concurrent use; it implements follow.Applier.
type Quarantine struct {
	config   Config
	follower Follower
	writer   *writer

	mutex     sync.Mutex
	histories map[Content]*history
	// probes counts the checks of engines in progress by the content that the engine ran.
	probes map[Content]int
	// silentCalls are the calls that were recently abandoned because the engine did not respond, oldest first.
	silentCalls []silentCall
	// claims holds the contents for which this process is claiming a trial.
	claims map[Content]bool
}

// New returns a quarantine. Attach must be called before its first use, and Run must run to write its records.
func New(config Config) *Quarantine {
	return &Quarantine{
		config: config, writer: newWriter(config.Log, config.Logger), histories: make(map[Content]*history), probes: make(map[Content]int),
		claims: make(map[Content]bool),
	}
}

// Attach sets the follower that applies the partition of crashes to the quarantine.
func (q *Quarantine) Attach(follower Follower) {
	q.follower = follower
}

// Run determines which silent engines have ended, and writes the records of this process, until the context ends.
func (q *Quarantine) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { q.watchSilentCalls(ctx) })
	q.writer.run(ctx)
	watching.Wait()
}

// Contents returns the number of contents with a history.
func (q *Quarantine) Contents() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.histories)
}

// idle reports whether there is neither a content with a history nor a silent call.
func (q *Quarantine) idle() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.histories) == 0 && len(q.silentCalls) == 0
}

func (q *Quarantine) crashes(content Content) policy.Crashes {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[content]; ok {
		return known.crashes()
	}
	return policy.Crashes{}
}

// add adds an event to the history of its content. The mutex must be held.
func (q *Quarantine) add(key eventKey, offset int64) {
	known, ok := q.histories[key.content]
	if !ok {
		known = newHistory()
		q.histories[key.content] = known
	}
	known.add(key, offset, time.Now())
}

func (q *Quarantine) record(key eventKey) keyedlog.Record {
	value, err := (&event{Machine: q.config.Machine, At: time.Now().UnixMilli()}).MarshalMsg(nil)
	if err != nil {
		errorlog.Error(q.config.Logger, "record of an ended engine does not encode", err, "key", key)
	}
	return keyedlog.Record{Key: key.String(), Value: value}
}

// Apply applies a record of the partition of crashes.
func (q *Quarantine) Apply(record keyedlog.Record, _ bool) {
	key, ok := parseKey(record.Key)
	if !ok {
		q.config.Logger.Warn("record of an ended engine skipped", "key", record.Key, "offset", record.Offset)
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if record.Value != nil {
		q.add(key, record.Offset)
		return
	}
	if known, found := q.histories[key.content]; found {
		known.remove(key)
		if known.empty() {
			delete(q.histories, key.content)
		}
	}
}

// Advanced does nothing: records are applied one by one.
func (q *Quarantine) Advanced(int64) {}
