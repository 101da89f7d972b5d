package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// probeTimeout bounds the look whether an engine has ended. The dead port of a living machine refuses within one round trip, a few
	// milliseconds; a machine that says nothing leaves open what became of its engine.
	probeTimeout = 150 * time.Millisecond
	// newsTimeout is how long a caller's answer waits until the store has the news that its request is withheld: the caller may come
	// again at once, at another machine. An append takes some milliseconds, and a few times as long on a store that is busy.
	newsTimeout = 100 * time.Millisecond
	// claimTimeout bounds a claim to a trial; a caller waits for it.
	claimTimeout = 300 * time.Millisecond
	// contentsMost bounds the contents that are remembered, some 200 bytes each. The ones that were quiet longest give way.
	contentsMost = 4096
	// forgetMost bounds the contents that are dropped with one append.
	forgetMost = 64
)

// Prober looks at an engine from outside.
type Prober interface {
	// Ended tells whether the engine's address refuses connections, so that no process listens there any more.
	Ended(ctx context.Context, engine fleet.Engine) bool
}

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

// Standing says how a request stands.
type Standing int

// Standings of a request.
const (
	// Clear says that nothing speaks against it.
	Clear Standing = iota
	// Suspect says that an engine has ended under it, or may have: it is to be sent to one engine at a time.
	Suspect
	// Withheld says that it is not to be sent.
	Withheld
)

var standingNames = [...]string{"clear", "suspect", "withheld"}

// String returns the name used in logs.
func (s Standing) String() string {
	return standingNames[s]
}

// Admit tells whether a call may be sent, and for how long it is withheld if not. Strikes is how many ends it takes. A call that is
// admitted for a trial is sent to one engine.
func (q *Quarantine) Admit(ctx context.Context, call engineapi.Call, strikes int) (Standing, time.Duration) {
	if q == nil || q.Contents() == 0 {
		return Clear, 0
	}
	content := ContentOf(call)
	crashes := q.crashes(content)
	access, wait := crashes.Access(strikes, time.Now())
	switch {
	case access == policy.AccessFree && crashes.Engines == 0:
		return Clear, 0
	case access == policy.AccessFree:
		return Suspect, 0
	case q.takeTrial(content):
		return Suspect, 0
	case access == policy.AccessTrial && q.claim(ctx, content, crashes.Trials+1, call.RequestID):
		return Suspect, 0
	case access == policy.AccessTrial:
		// Another one makes it, or nobody can ask for it while the store is away.
		wait = policy.TrialLasts
	}
	return Withheld, wait
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

// claim asks for a trial. It returns whether this claim is the first in the log. Of the calls of one content that come meanwhile none asks
// too. A claim of whose fate nothing was learned may be the first all the same; then the trial is for the next call.
func (q *Quarantine) claim(ctx context.Context, content Content, trial int, requestID string) bool {
	if !q.beginClaim(content) {
		return false
	}
	defer q.endClaim(content)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := eventKey{content: content, trial: trial, claim: q.config.Machine + "#" + strconv.FormatUint(rand.Uint64(), 36)}
	q.note(key)
	appended, err := q.config.Log.Append(ctx, keyedlog.Crashes, []keyedlog.Record{q.record(key)}, nil)
	if err == nil {
		err = q.follower.WaitUntil(ctx, appended.Offset+1)
	}
	won := err == nil && q.takeTrial(content)
	q.config.Logger.Info("trial of a withheld request", "request", requestID, "content", content, "trial", trial, "won", won)
	if err != nil {
		errorlog.Warn(q.config.Logger, "trial not claimed", err, "content", content)
	}
	return won
}

func (q *Quarantine) beginClaim(content Content) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.claims[content] {
		return false
	}
	q.claims[content] = true
	return true
}

func (q *Quarantine) endClaim(content Content) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.claims, content)
}

// note remembers a claim as this process's own.
func (q *Quarantine) note(key eventKey) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[key.content]; ok {
		known.own[key.claim] = true
	}
}

// takeTrial tells whether the last trial of a content is this process's and was not made yet, and takes it.
func (q *Quarantine) takeTrial(content Content) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known, ok := q.histories[content]
	return ok && known.take()
}

// NotRun takes that a call that was admitted has reached no engine that ran it: if it was a trial, that was not made.
func (q *Quarantine) NotRun(call engineapi.Call) {
	if q == nil || q.Contents() == 0 {
		return
	}
	content := ContentOf(call)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if known, ok := q.histories[content]; ok {
		known.giveBack()
	}
}

// Broke takes that a call was sent to an engine and the engine's answer broke off or never came, for the given cause, and looks whether
// the engine has ended. It returns how the call stands with that many strikes. A first break is looked at while the call goes on: the
// look takes 150 ms where the engine's machine is cut off, as long as callers wait for a whole answer.
func (q *Quarantine) Broke(ctx context.Context, call engineapi.Call, engine fleet.Engine, cause error, strikes int) Standing {
	if q == nil {
		return Clear
	}
	found := breakage{call: call, content: ContentOf(call), engine: engine, cause: cause, strikes: strikes}
	if q.beginLook(found.content) {
		go func() {
			defer q.endLook(found.content)
			q.look(context.WithoutCancel(ctx), found)
		}()
		return Suspect
	}
	defer q.endLook(found.content)
	standing, told := q.look(ctx, found)
	if standing == Withheld && told != nil {
		awaitNews(ctx, told)
	}
	return standing
}

// breakage is an answer that broke off.
type breakage struct {
	call    engineapi.Call
	content Content
	engine  fleet.Engine
	cause   error
	strikes int
}

// beginLook begins a look at an engine. It returns whether nothing is known of the content and nothing else is being found out.
func (q *Quarantine) beginLook(content Content) (first bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, known := q.histories[content]
	first = !known && q.looks[content] == 0
	q.looks[content]++
	return first
}

func (q *Quarantine) endLook(content Content) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.looks[content]--
	if q.looks[content] == 0 {
		delete(q.looks, content)
	}
}

// look finds out whether an engine has ended under a call and remembers it. It returns how the call stands, and what is closed once the
// store has the news, nil if there is none. An engine that was to leave, or that is no longer listed, ends as planned.
func (q *Quarantine) look(ctx context.Context, found breakage) (standing Standing, told <-chan struct{}) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ended := q.config.Prober.Ended(probeCtx, found.engine)
	known, listed := q.config.Directory.Engine(found.engine.ID)
	leaving := !listed || known.Draining
	if ended && !leaving {
		told = q.ended(eventKey{content: found.content, engine: found.engine.ID})
	}
	crashes := q.crashes(found.content)
	standing = standingOf(crashes, found.strikes)
	q.config.Logger.Info("answer broke off", "request", found.call.RequestID, "content", found.content, "engine", found.engine.ID,
		"pool", found.engine.Pool, "ended", ended, "leaving", leaving, "engines_ended", crashes.Engines, "standing", standing,
		"cause", found.cause)
	return standing, told
}

func standingOf(crashes policy.Crashes, strikes int) Standing {
	access, _ := crashes.Access(strikes, time.Now())
	switch {
	case crashes.Engines == 0:
		return Clear
	case access == policy.AccessFree:
		return Suspect
	default:
		return Withheld
	}
}

// ended remembers that an engine ended, and returns what is closed once the store has it.
func (q *Quarantine) ended(key eventKey) <-chan struct{} {
	q.mutex.Lock()
	q.add(key, 0)
	records := append(q.forget(), q.record(key))
	q.mutex.Unlock()
	return q.writer.put(records...)
}

// awaitNews waits a little until the store has what withholds a request.
func awaitNews(ctx context.Context, told <-chan struct{}) {
	timer := time.NewTimer(newsTimeout)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Answered takes that an engine ran a call to its end: its content crashes no engines.
func (q *Quarantine) Answered(call engineapi.Call) {
	if q == nil || q.quiet() {
		return
	}
	content := ContentOf(call)
	q.mutex.Lock()
	q.silences = slices.DeleteFunc(q.silences, func(s silence) bool { return s.content == content })
	known, ok := q.histories[content]
	if !ok {
		q.mutex.Unlock()
		return
	}
	delete(q.histories, content)
	q.mutex.Unlock()
	q.config.Logger.Info("content cleared, an engine answered it", "request", call.RequestID, "content", content,
		"engines_ended", len(known.ended))
	q.writer.put(drops(known.keys(content))...)
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

// forget returns records that drop some of what is too old to count, and the quietest content if there are too many. The mutex must be
// held.
func (q *Quarantine) forget() []keyedlog.Record {
	var records []keyedlog.Record
	var quietest Content
	count := 0
	for content, known := range q.histories {
		if oldest, ok := q.histories[quietest]; !ok || known.last.Before(oldest.last) {
			quietest = content
		}
		if time.Since(known.last) >= policy.CrashMemory && count < forgetMost {
			records = append(records, drops(known.keys(content))...)
			delete(q.histories, content)
			count++
		}
	}
	if len(q.histories) > contentsMost {
		records = append(records, drops(q.histories[quietest].keys(quietest))...)
		delete(q.histories, quietest)
	}
	return records
}

// drops returns the records that drop keys.
func drops(keys []eventKey) []keyedlog.Record {
	records := make([]keyedlog.Record, len(keys))
	for i, key := range keys {
		records[i].Key = key.String()
	}
	return records
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
