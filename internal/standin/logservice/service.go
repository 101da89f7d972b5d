// Package logservice is a stand-in for the platform's append-only log. It keeps streams in memory, with dense offsets
// from 0, and fails on request: see docs/STANDINS.md.
package logservice

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// maxReadBytes bounds the payload bytes of one read; a read that may return entries returns at least one.
const maxReadBytes = 4 << 20

// Observer sees every entry as it takes effect, in offset order per stream. It is called under the service's lock: it
// must not block or call the service.
type Observer func(stream string, offset int64, payload []byte)

// Config configures a Service. The zero value is ready to use.
type Config struct {
	// Observer may be nil.
	Observer Observer
	// Seed seeds the choice of lost answers.
	Seed uint64
}

// Service is the log. It fills platform.Log directly, and serves it through Handler.
type Service struct {
	// Gate makes the service unavailable or slow.
	fault.Gate

	mutex    sync.Mutex
	observer Observer
	random   *rand.Rand
	streams  map[string]*stream
	faults   appendFaults
}

type stream struct {
	entries [][]byte
	bytes   int64
	// grown is closed and replaced when entries are added.
	grown chan struct{}
}

var _ platform.Log = (*Service)(nil)

// New returns an empty log.
func New(config Config) *Service {
	return &Service{
		observer: config.Observer,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		streams:  make(map[string]*stream),
	}
}

// Append adds payloads to a stream, contiguous and in order, and returns the offset of the first. An error leaves open
// whether they were added.
func (s *Service) Append(ctx context.Context, name string, payloads [][]byte) (int64, error) {
	if err := s.Pass(ctx); err != nil {
		return 0, err
	}
	outcome := s.nextOutcome()
	switch {
	case outcome.lostBeforeEffect:
		return 0, fault.ErrUnavailable
	case outcome.effectDelay > 0:
		s.appendLater(name, payloads, outcome.effectDelay)
		return 0, fault.ErrUnavailable
	}
	first := s.add(name, payloads)
	if err := s.Pass(ctx); err != nil {
		return 0, err
	}
	if outcome.lostAfterEffect {
		return 0, fault.ErrUnavailable
	}
	return first, nil
}

// Read returns entries from offset on, and waits for the first one as long as options say.
func (s *Service) Read(ctx context.Context, name string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	down := s.WentDown()
	if err := s.Pass(ctx); err != nil {
		return platform.ReadResult{}, err
	}
	if err := s.waitFor(ctx, down, name, offset, options.Wait); err != nil {
		return platform.ReadResult{}, err
	}
	result := s.collect(name, offset, options.MaxEntries)
	if err := s.Pass(ctx); err != nil {
		return platform.ReadResult{}, err
	}
	return result, nil
}

// waitFor returns once the stream reaches beyond offset or wait is over; down breaks it off.
func (s *Service) waitFor(ctx context.Context, down <-chan struct{}, name string, offset int64, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		grown, reached := s.reaches(name, offset)
		if reached {
			return nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return nil
		case <-down:
			return fault.ErrUnavailable
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Service) reaches(name string, offset int64) (grown <-chan struct{}, reached bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.stream(name)
	return current.grown, int64(len(current.entries)) > offset
}

func (s *Service) collect(name string, offset int64, maxEntries int) platform.ReadResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.stream(name)
	result := platform.ReadResult{Tail: int64(len(current.entries))}
	size := 0
	for next := max(offset, 0); next < result.Tail && len(result.Entries) < maxEntries; next++ {
		payload := current.entries[next]
		size += len(payload)
		if size > maxReadBytes && len(result.Entries) > 0 {
			break
		}
		result.Entries = append(result.Entries, platform.Entry{Offset: next, Payload: payload})
	}
	return result
}

func (s *Service) add(name string, payloads [][]byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.stream(name)
	first := int64(len(current.entries))
	for _, payload := range payloads {
		payload = bytes.Clone(payload)
		if s.observer != nil {
			s.observer(name, int64(len(current.entries)), payload)
		}
		current.entries = append(current.entries, payload)
		current.bytes += int64(len(payload))
	}
	close(current.grown)
	current.grown = make(chan struct{})
	return first
}

// appendLater adds payloads after delay, as an append does that is stuck somewhere after its caller gave up.
func (s *Service) appendLater(name string, payloads [][]byte, delay time.Duration) {
	kept := make([][]byte, len(payloads))
	for i, payload := range payloads {
		kept[i] = bytes.Clone(payload)
	}
	time.AfterFunc(delay, func() { s.add(name, kept) })
}

// stream returns the named stream, made on demand. The caller holds the lock.
func (s *Service) stream(name string) *stream {
	current, ok := s.streams[name]
	if !ok {
		current = &stream{grown: make(chan struct{})}
		s.streams[name] = current
	}
	return current
}

// Usage is what one stream holds.
type Usage struct {
	Entries int64
	Bytes   int64
}

// Usage tells what each stream holds, payload bytes alone.
func (s *Service) Usage() map[string]Usage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	usage := make(map[string]Usage, len(s.streams))
	for name, current := range s.streams {
		usage[name] = Usage{Entries: int64(len(current.entries)), Bytes: current.bytes}
	}
	return usage
}
