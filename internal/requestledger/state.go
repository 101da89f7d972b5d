package requestledger

import (
	"bytes"
	"container/list"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

// Limits of a shard's state. All are part of the fold: every node must use the same values.
const (
	// Retention is the minimum time that the result of a request is kept, measured by the owners' clocks.
	Retention = time.Hour
	// MinEndedKeys is the number of most recently ended requests that are kept regardless of Retention.
	MinEndedKeys = 8192
	// MaxKeys limits the requests of a shard, running and ended. At the limit a new request is refused as not run.
	MaxKeys = 16384
	// MaxAnswerTokens limits the tokens kept over all answers of a shard. The oldest answers are dropped first; their
	// requests are still kept and never run again.
	MaxAnswerTokens = 512 * 1024
	// MaxClosedAsks limits the asks answered as not run that are remembered for one request. At the limit the request
	// cannot be started again until its entry is removed.
	MaxClosedAsks = 64
)

// Verdict is the result of folding a record.
type Verdict uint8

const (
	// VerdictApplied means that the record took effect.
	VerdictApplied Verdict = iota + 1
	// VerdictExists means that another record had started or ended the request.
	VerdictExists
	// VerdictClosed means that the ask had been answered as not run.
	VerdictClosed
	// VerdictConflict means that the request was recorded with other content.
	VerdictConflict
	// VerdictFull means that the shard or the request has reached its limit.
	VerdictFull
	// VerdictNotStarted means that a Finish is for an ask that was not started in its epoch.
	VerdictNotStarted
	// VerdictUnreadable means that the record could not be decoded and was skipped.
	VerdictUnreadable
)

type key struct {
	workload  string
	requestID string
}

// entry is the recorded state of one request.
type entry struct {
	key     key
	running bool
	// ask and epoch are those of the newest valid Start.
	ask    uint64
	epoch  uint64
	digest []byte
	// result is valid only if running is false.
	result result
	// answerDropped reports that the request completed but the tokens of its answer are no longer kept.
	answerDropped bool
	// ownerLost reports that the shard was taken over while the request ran; the earlier owner may still forward its
	// answer.
	ownerLost bool
	// closed holds the asks proven not to have run.
	closed  []uint64
	endedAt int64
	// element is the entry's element in State.running or State.ended; answerElement is its element in State.answers.
	element       *list.Element
	answerElement *list.Element
}

// result is the recorded result of a request.
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

// enterEpoch ends as unknown all requests that an earlier owner left running: no record of the earlier epoch can be
// valid any more.
func (s *State) enterEpoch(epoch uint64) {
	if epoch <= s.epoch {
		return
	}
	s.epoch = epoch
	for element := s.running.Front(); element != nil; element = s.running.Front() {
		interrupted := element.Value.(*entry)
		s.end(interrupted, ownerLostResult())
		interrupted.ownerLost = true
	}
}

func ownerLostResult() result {
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
		s.ended.Remove(known.element)
	}
	known.running = true
	known.ask = body.Ask
	known.epoch = epoch
	known.digest = body.Digest
	known.result = result{}
	known.element = s.running.PushBack(known)
	return VerdictApplied
}

// admitStart returns the verdict that a Start would get now.
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

// conflicts reports whether the request was started with other content. A request that was only cancelled has no
// content to compare.
func (e *entry) conflicts(digest []byte) bool {
	return e.digest != nil && !bytes.Equal(e.digest, digest)
}

func (s *State) finish(epoch uint64, body finishRecord) Verdict {
	s.advance(body.AtUnixMillis)
	final := result{body.Outcome, body.Reason, body.RetryAfterMillis, body.Tokens, body.Spans}
	known := s.entries[key{body.Workload, body.RequestID}]
	if body.StartEpoch != 0 {
		return s.finishAfterTakeover(known, &body, final)
	}
	if known != nil && known.running && known.ask == body.Ask && known.epoch == epoch {
		s.end(known, final)
		return VerdictApplied
	}
	if body.Outcome != peerapi.OutcomeNotRun {
		return VerdictNotStarted
	}
	return s.cancel(cancelRecord{body.Workload, body.RequestID, body.Ask, body.AtUnixMillis})
}

// finishAfterTakeover records the answer of a request whose owner was superseded while it ran. Only that owner has the
// answer, and every caller so far was answered only that the request may have run.
func (s *State) finishAfterTakeover(known *entry, body *finishRecord, final result) Verdict {
	if known == nil || known.ask != body.Ask || known.epoch != body.StartEpoch {
		return VerdictNotStarted
	}
	if !known.ownerLost || body.Outcome != peerapi.OutcomeCompleted {
		return VerdictExists
	}
	known.ownerLost = false
	s.ended.Remove(known.element)
	s.end(known, final)
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

// close marks the ask as answered as not run. Beyond MaxClosedAsks nothing needs to be remembered, because then no ask
// of the request can be started.
func (e *entry) close(ask uint64) {
	if len(e.closed) < MaxClosedAsks && !slices.Contains(e.closed, ask) {
		e.closed = append(e.closed, ask)
	}
}

// end records the result of an entry and moves the entry to the ended ones.
func (s *State) end(ending *entry, final result) {
	if ending.running {
		s.running.Remove(ending.element)
	}
	ending.running = false
	ending.result = final
	ending.endedAt = s.clock
	if final.outcome == peerapi.OutcomeNotRun {
		ending.close(ending.ask)
	}
	ending.element = s.ended.PushBack(ending)
	if len(final.tokens) > 0 {
		ending.answerElement = s.answers.PushBack(ending)
		s.tokens += len(final.tokens)
	}
	s.dropAnswers()
}

// dropAnswers drops the tokens of the oldest answers while the total exceeds MaxAnswerTokens.
func (s *State) dropAnswers() {
	for s.tokens > MaxAnswerTokens && s.answers.Len() > 1 {
		oldest := s.answers.Front().Value.(*entry)
		s.dropAnswer(oldest)
		oldest.answerDropped = true
	}
}

func (s *State) dropAnswer(holder *entry) {
	if holder.answerElement == nil {
		return
	}
	s.tokens -= len(holder.result.tokens)
	s.answers.Remove(holder.answerElement)
	holder.answerElement = nil
	holder.result.tokens = nil
	holder.result.spans = nil
}

// advance advances the fold's clock and removes the entries whose retention has expired.
func (s *State) advance(at int64) {
	s.clock = max(s.clock, at)
	for s.ended.Len() > MinEndedKeys {
		oldest := s.ended.Front().Value.(*entry)
		if s.clock-oldest.endedAt < Retention.Milliseconds() {
			return
		}
		s.dropAnswer(oldest)
		s.ended.Remove(oldest.element)
		delete(s.entries, oldest.key)
	}
}
