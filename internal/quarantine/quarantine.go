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

// Follower tells how far the partition of crashes was applied.
type Follower interface {
	WaitUntil(ctx context.Context, end int64) error
}

// Config configures a quarantine.
type Config struct {
	Log    keyedlog.Log
	Prober Prober
	// Directory tells which engines there are and which of them leave as planned.
	Directory *fleet.Directory
	// Machine names the machine that the process runs on.
	Machine string
	Logger  *log.Logger
}

// Quarantine remembers under which contents engines ended, here and at all other machines, and withholds those that crash engines. All
// machines learn of each end by the log: an end that a caller's retry must not overtake is in the log before the caller has its answer.
// A request that was withheld by coincidence is cleared by a trial, which one machine makes of all: the one whose claim is the first in
// the log. A nil quarantine withholds nothing. It is safe for concurrent use; it implements follow.Applier.
type Quarantine struct {
	config   Config
	follower Follower
	writer   *writer

	mutex     sync.Mutex
	histories map[Content]*history
	// looks counts the engines that are being looked at, by what they ran.
	looks map[Content]int
	// silences are the calls that were given up of late, the oldest first.
	silences []silence
	// claims holds the contents whose trials this process asks for.
	claims map[Content]bool
}

// New returns a quarantine. Attach must follow, and Run writes what it finds.
func New(config Config) *Quarantine {
	return &Quarantine{
		config: config, writer: newWriter(config.Log, config.Logger), histories: make(map[Content]*history), looks: make(map[Content]int),
		claims: make(map[Content]bool),
	}
}

// Attach names the follower that applies the partition of crashes to the quarantine.
func (q *Quarantine) Attach(follower Follower) {
	q.follower = follower
}

// Run finds out what became of silent engines, and writes what this process finds, until the context ends.
func (q *Quarantine) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { q.watchSilences(ctx) })
	q.writer.run(ctx)
	watching.Wait()
}

// Contents returns how many contents are remembered.
func (q *Quarantine) Contents() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.histories)
}

// quiet tells whether no engine has ended or fallen silent under any content.
func (q *Quarantine) quiet() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.histories) == 0 && len(q.silences) == 0
}

func (q *Quarantine) crashes(content Content) policy.Crashes {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[content]; ok {
		return known.crashes()
	}
	return policy.Crashes{}
}

// add takes an event. The mutex must be held.
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

// Apply takes a record of the partition of crashes.
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
