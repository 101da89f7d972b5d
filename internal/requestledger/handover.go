package requestledger

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
)

// handoverRetryAfter is the retry delay sent to callers while a shard moves to another owner.
const handoverRetryAfter = 100 * time.Millisecond

// OnHandover waits for the runs of a shard that is about to be released, and refuses new runs in its epoch. A run that
// was cut off would be answered as unknown. Streams of other kinds are ignored. It has the signature of
// shard.Config.OnHandover, and returns early when the context ends.
func (s *Service) OnHandover(ctx context.Context, stream string) {
	if _, _, ours := ParseStream(stream); !ours {
		return
	}
	s.mu.Lock()
	s.handedOver[stream] = s.epochs[stream]
	s.mu.Unlock()
	_ = s.waitForRuns(ctx, func(run *run) bool { return run.stream() == stream })
}

// Drain refuses new runs and waits until all active ones have ended, or the context ends.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.waitForRuns(ctx, func(*run) bool { return true })
}

// waitForRuns waits until every run that is active now and matches has ended.
func (s *Service) waitForRuns(ctx context.Context, matches func(*run) bool) error {
	for _, run := range s.activeRuns(matches) {
		select {
		case <-run.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *Service) activeRuns(matches func(*run) bool) []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*run
	for _, run := range s.runs {
		if matches(run) {
			found = append(found, run)
		}
	}
	return found
}

// open opens the shard of a run. It fails with peer.CodeNotReady if the shard's epoch is being handed over.
func (s *Service) open(ctx context.Context, run *run) (shard.Owner, error) {
	stream := run.stream()
	owner, err := s.config.Opener.Open(ctx, stream)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner.Epoch() <= s.handedOver[stream] {
		return nil, &peer.Error{
			Code:       peer.CodeNotReady,
			Message:    "the shard of the request is moving to another owner",
			RetryAfter: handoverRetryAfter,
		}
	}
	s.epochs[stream] = max(s.epochs[stream], owner.Epoch())
	return owner, nil
}
