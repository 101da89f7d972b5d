package requestledger

import (
	"bytes"
	"container/list"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

// Bounds of a shard's state. All are part of the fold: every node must use the same.
const (
	// Retention is how long the end of a request is kept at least, by the owners' clocks.
	Retention = time.Hour
	// MinEndedKeys is how many of the newest ended requests are kept whatever the clocks say.
	MinEndedKeys = 8192
	// MaxKeys bounds the requests of a shard, running and ended. At the bound a new request is refused as not run.
	MaxKeys = 16384
	// MaxAnswerTokens bounds the tokens kept over all answers of a shard. The oldest answers go first; their requests are
	// still kept and never run again.
	MaxAnswerTokens = 512 * 1024
	// MaxClosedAsks bounds the asks answered as not run that are remembered for one request. At the bound the request can
	// not be started any more until it is forgotten.
	MaxClosedAsks = 64
)

// Verdict is what the fold made of a record.
type Verdict uint8

// Verdicts of the fold.
const (
	// VerdictApplied says that the record took effect.
	VerdictApplied Verdict = iota + 1
	// VerdictExists says that the request had been started or ended by another record.
	VerdictExists
	// VerdictClosed says that the ask had been answered as not run.
	VerdictClosed
	// VerdictConflict says that the request was recorded with other content.
	VerdictConflict
	// VerdictFull says that the shard or the request holds as much as it may.
	VerdictFull
	// VerdictNotStarted says that a Finish names an ask that was not started in its epoch.
	VerdictNotStarted
	// VerdictUnreadable says that the record could not be decoded and was skipped.
	VerdictUnreadable
)

type key struct {
	workload  string
	requestID string
}

// entry is what is known of one request.
type entry struct {
	key     key
	running bool
	// ask and epoch are those of the newest valid Start.
	ask    uint64
	epoch  uint64
	digest []byte
	// result is the end; it is set when running is not.
	result result
	// answerDropped says that the answer was completed but its tokens are no longer kept.
	answerDropped bool
	// ownerLost says that the shard was taken over while the request ran; its answer may still be handed in.
	ownerLost bool
	// closed are the asks proven not run.
	closed  []uint64
	endedAt int64
	// place is the entry's element in State.running or State.ended; answerPlace is its element in State.answers.
	place       *list.Element
	answerPlace *list.Element
}

// result is the end of a request.
type result struct {
	outcome          peerapi.Outcome
	reason           string
	retryAfterMillis int64
	tokens           []uint32
	spans            []peerapi.Span
}

// State is the fold of a shard's stream. It implements shard.State.
type State struct {
	epoch   uint64
	clock   int64
	entries map[key]*entry
	running *list.List
	ended   *list.List
	answers *list.List
	tokens  int
}

var _ shard.State = (*State)(nil)

// NewState returns the state of an empty stream.
func NewState() *State {
	return &State{
		entries: make(map[key]*entry),
		running: list.New(),
		ended:   list.New(),
		answers: list.New(),
	}
}

// Apply folds a record and returns its Verdict.
func (s *State) Apply(record shard.Record) any {
	s.enterEpoch(record.Epoch)
	switch record.Kind {
	case kindStart:
		var body startRecord
		if _, err := body.UnmarshalMsg(record.Body); err != nil {
			return VerdictUnreadable
		}
		return s.start(record.Epoch, body)
	case kindFinish:
		var body finishRecord
		if _, err := body.UnmarshalMsg(record.Body); err != nil {
			return VerdictUnreadable
		}
		return s.finish(record.Epoch, body)
	case kindCancel:
		var body cancelRecord
		if _, err := body.UnmarshalMsg(record.Body); err != nil {
			return VerdictUnreadable
		}
		return s.cancel(body)
	}
	return VerdictUnreadable
}

// enterEpoch ends as unknown what an earlier owner left running: no record of its epoch can be valid any more.
func (s *State) enterEpoch(epoch uint64) {
	if epoch <= s.epoch {
		return
	}
	s.epoch = epoch
	for place := s.running.Front(); place != nil; place = s.running.Front() {
		left := place.Value.(*entry)
		s.end(left, ownerLost())
		left.ownerLost = true
	}
}

func ownerLost() result {
	return result{outcome: peerapi.OutcomeUnknown, reason: "the owner of the request was lost while it ran"}
}

func (s *State) start(epoch uint64, body startRecord) Verdict {
	s.advance(body.AtUnixMillis)
	name := key{body.Workload, body.RequestID}
	known := s.entries[name]
	if verdict := s.admitStart(known, body); verdict != VerdictApplied {
		return verdict
	}
	if known == nil {
		known = &entry{key: name}
		s.entries[name] = known
	} else {
		s.ended.Remove(known.place)
	}
	known.running = true
	known.ask = body.Ask
	known.epoch = epoch
	known.digest = body.Digest
	known.result = result{}
	known.place = s.running.PushBack(known)
	return VerdictApplied
}

// admitStart tells whether a Start would be valid now.
func (s *State) admitStart(known *entry, body startRecord) Verdict {
	if known == nil {
		if len(s.entries) >= MaxKeys {
			return VerdictFull
		}
		return VerdictApplied
	}
	if slices.Contains(known.closed, body.Ask) {
		return VerdictClosed
	}
	if known.conflicts(body.Digest) {
		return VerdictConflict
	}
	if known.running || known.result.outcome != peerapi.OutcomeNotRun {
		return VerdictExists
	}
	if len(known.closed) >= MaxClosedAsks {
		return VerdictFull
	}
	return VerdictApplied
}

// conflicts tells whether the request was started with other content. A request that was only cancelled has none.
func (e *entry) conflicts(digest []byte) bool {
	return e.digest != nil && !bytes.Equal(e.digest, digest)
}

func (s *State) finish(epoch uint64, body finishRecord) Verdict {
	s.advance(body.AtUnixMillis)
	how := result{body.Outcome, body.Reason, body.RetryAfterMillis, body.Tokens, body.Spans}
	known := s.entries[key{body.Workload, body.RequestID}]
	if body.StartEpoch != 0 {
		return s.finishLost(known, &body, how)
	}
	if known != nil && known.running && known.ask == body.Ask && known.epoch == epoch {
		s.end(known, how)
		return VerdictApplied
	}
	if body.Outcome != peerapi.OutcomeNotRun {
		return VerdictNotStarted
	}
	return s.cancel(cancelRecord{body.Workload, body.RequestID, body.Ask, body.AtUnixMillis})
}

// finishLost takes the answer of a request whose owner was superseded while it ran. That owner alone knows it, and nobody
// was told more than that the request may have run.
func (s *State) finishLost(known *entry, body *finishRecord, how result) Verdict {
	if known == nil || known.ask != body.Ask || known.epoch != body.StartEpoch {
		return VerdictNotStarted
	}
	if !known.ownerLost || body.Outcome != peerapi.OutcomeCompleted {
		return VerdictExists
	}
	known.ownerLost = false
	s.ended.Remove(known.place)
	s.end(known, how)
	return VerdictApplied
}

func (s *State) cancel(body cancelRecord) Verdict {
	s.advance(body.AtUnixMillis)
	name := key{body.Workload, body.RequestID}
	known := s.entries[name]
	if known == nil {
		if len(s.entries) >= MaxKeys {
			return VerdictFull
		}
		known = &entry{key: name, ask: body.Ask}
		s.entries[name] = known
		s.end(known, result{outcome: peerapi.OutcomeNotRun, reason: "cancelled before it was started"})
		return VerdictApplied
	}
	if known.running || known.result.outcome != peerapi.OutcomeNotRun {
		return VerdictExists
	}
	known.close(body.Ask)
	return VerdictApplied
}

// close remembers that the ask was answered as not run. Past the bound nothing needs to be remembered, for then no ask of
// the request can be started.
func (e *entry) close(ask uint64) {
	if len(e.closed) < MaxClosedAsks && !slices.Contains(e.closed, ask) {
		e.closed = append(e.closed, ask)
	}
}

// end moves an entry to the ended ones.
func (s *State) end(ending *entry, how result) {
	if ending.running {
		s.running.Remove(ending.place)
	}
	ending.running = false
	ending.result = how
	ending.endedAt = s.clock
	if how.outcome == peerapi.OutcomeNotRun {
		ending.close(ending.ask)
	}
	ending.place = s.ended.PushBack(ending)
	if len(how.tokens) > 0 {
		ending.answerPlace = s.answers.PushBack(ending)
		s.tokens += len(how.tokens)
	}
	s.dropAnswers()
}

// dropAnswers forgets the tokens of the oldest answers while there are too many.
func (s *State) dropAnswers() {
	for s.tokens > MaxAnswerTokens && s.answers.Len() > 1 {
		oldest := s.answers.Front().Value.(*entry)
		s.dropAnswer(oldest)
		oldest.answerDropped = true
	}
}

func (s *State) dropAnswer(holder *entry) {
	if holder.answerPlace == nil {
		return
	}
	s.tokens -= len(holder.result.tokens)
	s.answers.Remove(holder.answerPlace)
	holder.answerPlace = nil
	holder.result.tokens = nil
	holder.result.spans = nil
}

// advance moves the fold's clock on and forgets what is past its retention.
func (s *State) advance(at int64) {
	s.clock = max(s.clock, at)
	for s.ended.Len() > MinEndedKeys {
		oldest := s.ended.Front().Value.(*entry)
		if s.clock-oldest.endedAt < Retention.Milliseconds() {
			return
		}
		s.dropAnswer(oldest)
		s.ended.Remove(oldest.place)
		delete(s.entries, oldest.key)
	}
}
