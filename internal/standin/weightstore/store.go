// Package weightstore is a stand-in for the platform's weight store. It holds no weights, only which versions there
// are; a read takes as long as the transfer would, and the rate of reads is limited. It fails on request: see
// docs/STANDINS.md.
package weightstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// ErrNoSuchVersion says that the store does not hold a version.
var ErrNoSuchVersion = errors.New("no such version of the model")

// Defaults of Config.
const (
	DefaultVersionBytes         = 8 << 30
	DefaultReaderBytesPerSecond = 1 << 30
	DefaultMaxReaders           = 8
)

// Config sets the rate of the store. Zero fields take the defaults above.
type Config struct {
	// VersionBytes is the size of each version.
	VersionBytes int
	// ReaderBytesPerSecond is the speed of one transfer.
	ReaderBytesPerSecond int
	// MaxReaders bounds the transfers at one time.
	MaxReaders int
	// TotalBytesPerSecond bounds the transfers begun, averaged beyond a burst of MaxReaders versions; 0 is no bound.
	TotalBytesPerSecond int
}

// transferBytes is the size of a version where only the time of its transfer matters.
const transferBytes = 1 << 20

// TransfersOf returns the configuration of a store in which a transfer takes a time, at least 1 ms, and at most so many
// read at once.
func TransfersOf(transfer time.Duration, maxReaders int) Config {
	seconds := max(transfer, time.Millisecond).Seconds()
	return Config{
		VersionBytes:         transferBytes,
		ReaderBytesPerSecond: int(transferBytes / seconds),
		MaxReaders:           maxReaders,
	}
}

// Store is the weight store. It fills platform.WeightStore and engine.WeightReader directly, and serves all calls
// through Handler.
type Store struct {
	// Gate makes the store unavailable or slow.
	fault.Gate

	config  Config
	limiter *rate.Limiter

	mutex     sync.Mutex
	versions  map[string]map[uint64]bool
	latest    map[string]uint64
	readers   int
	throttled bool
	slowness  float64
	counts    Counts
}

// Counts tells what the store has been asked for.
type Counts struct {
	Reads     int
	Throttled int
	// MostReaders is the most transfers there ever were at one time.
	MostReaders int
}

var _ platform.WeightStore = (*Store)(nil)

// New returns a store without versions.
func New(config Config) *Store {
	config = config.withDefaults()
	return &Store{
		config:   config,
		limiter:  config.limiter(),
		versions: make(map[string]map[uint64]bool),
		latest:   make(map[string]uint64),
		slowness: 1,
	}
}

func (c Config) withDefaults() Config {
	if c.VersionBytes == 0 {
		c.VersionBytes = DefaultVersionBytes
	}
	if c.ReaderBytesPerSecond == 0 {
		c.ReaderBytesPerSecond = DefaultReaderBytesPerSecond
	}
	if c.MaxReaders == 0 {
		c.MaxReaders = DefaultMaxReaders
	}
	return c
}

func (c Config) limiter() *rate.Limiter {
	if c.TotalBytesPerSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(c.TotalBytesPerSecond), c.MaxReaders*c.VersionBytes)
}

// Latest returns the newest version of the model, 0 where there is none.
func (s *Store) Latest(ctx context.Context, model string) (uint64, error) {
	if err := s.Pass(ctx); err != nil {
		return 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.latest[model], nil
}

// PutVersion makes a version available. To repeat it does no harm.
func (s *Store) PutVersion(ctx context.Context, model string, version uint64) error {
	if err := s.Pass(ctx); err != nil {
		return err
	}
	s.Add(model, version)
	return s.Pass(ctx)
}

// Add makes a version available whatever the faults.
func (s *Store) Add(model string, version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.versions[model] == nil {
		s.versions[model] = make(map[uint64]bool)
	}
	s.versions[model][version] = true
	s.latest[model] = max(s.latest[model], version)
}

// Read takes as long as the transfer of a version. platform.ErrThrottled says to come back; the transfer breaks off
// when the store goes down.
func (s *Store) Read(ctx context.Context, model string, version uint64, _ string) error {
	down := s.WentDown()
	if err := s.Pass(ctx); err != nil {
		return err
	}
	duration, err := s.beginTransfer(model, version)
	if err != nil {
		return err
	}
	defer s.endTransfer()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-down:
		return fault.ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Store) beginTransfer(model string, version uint64) (time.Duration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts.Reads++
	if !s.versions[model][version] {
		return 0, fmt.Errorf("%w: %s version %d", ErrNoSuchVersion, model, version)
	}
	if s.throttled || s.readers >= s.config.MaxReaders || !s.limiter.AllowN(time.Now(), s.config.VersionBytes) {
		s.counts.Throttled++
		return 0, platform.ErrThrottled
	}
	s.readers++
	s.counts.MostReaders = max(s.counts.MostReaders, s.readers)
	seconds := float64(s.config.VersionBytes) / float64(s.config.ReaderBytesPerSecond) * s.slowness
	return time.Duration(seconds * float64(time.Second)), nil
}

func (s *Store) endTransfer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers--
}

// SetThrottled makes the store refuse every read until it is called with false.
func (s *Store) SetThrottled(throttled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.throttled = throttled
}

// SlowTransfers makes transfers that begin from now on take factor times as long; 1 ends it.
func (s *Store) SlowTransfers(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowness = factor
}

// Counts tells what the store has been asked for so far.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}
