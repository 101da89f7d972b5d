package engine

import (
	"context"
	"time"
)

// Defaults of Config.
const (
	DefaultSlots           = 16
	DefaultMaxWaiting      = 64
	DefaultMemoryTokens    = 1 << 17
	DefaultBaseStep        = 20 * time.Millisecond
	DefaultPerStreamStep   = 200 * time.Microsecond
	DefaultPrefillPerToken = 50 * time.Microsecond
	DefaultChunkInterval   = 200 * time.Millisecond
	DefaultSwapPause       = time.Second
	DefaultStatusLag       = 500 * time.Millisecond
	DefaultEventLag        = 500 * time.Millisecond
	DefaultLeavingGrace    = 3 * time.Second
)

// WeightReader transfers weights from the weight store. connectadapter.WeightStore fills it.
type WeightReader interface {
	Read(ctx context.Context, model string, version uint64, reader string) error
}

// Observer learns what truly ran. It is called under the engine's lock: it must not block or call the engine.
type Observer interface {
	// Received is called for each request to generate that reaches the engine, also for one that it refuses.
	Received(engineID, requestID string, attempt uint32, at time.Time)
	// Started is called once per stream, when the engine first gives it a slot. Content is ContentOf its prompt and seed.
	Started(engineID, requestID string, attempt uint32, content uint64, at time.Time)
	// Produced is called for tokens as the engine produces them, sent or not.
	Produced(engineID, requestID string, attempt uint32, index, count int, version uint64)
}

// Config describes an engine. Zero fields take the defaults above.
type Config struct {
	ID   string
	Pool string
	// Zone is for the owner of the engine, who puts it on the machine list.
	Zone string
	// Served maps each model to the version served at start, and after each Restart.
	Served map[string]uint64
	// Slots is how many streams run at once.
	Slots int
	// MaxWaiting bounds the streams that wait for a slot.
	MaxWaiting int
	// MemoryTokens bounds the prefix cache.
	MemoryTokens int
	// One decode step gives every running stream one token and takes BaseStep + PerStreamStep * running streams.
	BaseStep      time.Duration
	PerStreamStep time.Duration
	// PrefillPerToken is what a prompt token costs that the cache doesn't hold.
	PrefillPerToken time.Duration
	// ChunkInterval is how often tokens are sent.
	ChunkInterval time.Duration
	// SwapPause is how long decoding pauses while new weights are put in place.
	SwapPause time.Duration
	// StatusLag is the age of what Status tells.
	StatusLag time.Duration
	// EventLag is how late cache events come.
	EventLag time.Duration
	// EventLoss is the part of the cache events, 0 to 1, that never come.
	EventLoss float64
	// LeavingGrace is how long a leaving engine goes on accepting work.
	LeavingGrace time.Duration
	// NoPreemption keeps work of higher priority from taking the slots of lower.
	NoPreemption bool
	// Weights is asked for the weights of a Load; nil makes transfers take no time.
	Weights WeightReader
	// Observer may be nil.
	Observer Observer
	// Seed seeds the choice of faults.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.MaxWaiting, DefaultMaxWaiting)
	setDefault(&c.MemoryTokens, DefaultMemoryTokens)
	setDefault(&c.BaseStep, DefaultBaseStep)
	setDefault(&c.PerStreamStep, DefaultPerStreamStep)
	setDefault(&c.PrefillPerToken, DefaultPrefillPerToken)
	setDefault(&c.ChunkInterval, DefaultChunkInterval)
	setDefault(&c.SwapPause, DefaultSwapPause)
	setDefault(&c.StatusLag, DefaultStatusLag)
	setDefault(&c.EventLag, DefaultEventLag)
	setDefault(&c.LeavingGrace, DefaultLeavingGrace)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
