package peer

import (
	"cmp"
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Defaults of the options.
const (
	DefaultPingInterval      = 3 * time.Second
	DefaultPingMisses        = 2
	DefaultClientIdleTimeout = time.Minute
	DefaultServerIdleTimeout = 3 * time.Minute
	DefaultDialTimeout       = 3 * time.Second
	DefaultWindowBytes       = 256 << 10
	DefaultMaxInFlight       = 4096
	DefaultRetryAfter        = 100 * time.Millisecond
)

// ControlMethod stands in for the method where a frame belongs to the connection and not to a call.
const ControlMethod = "peer.control"

// Observer is told the size of every frame, so that the bytes of each mechanism can be counted. It must be safe for
// concurrent use and must not block.
type Observer interface {
	PeerBytes(method string, sent, received int)
}

// KeepAlive sets when a connection counts as lost or idle. A connection on which calls are outstanding and nothing is
// heard is lost after (Misses+1) × Interval at most.
type KeepAlive struct {
	Interval    time.Duration
	Misses      int
	IdleTimeout time.Duration
}

// ClientOptions configures a Client; zero values take the defaults.
type ClientOptions struct {
	KeepAlive   KeepAlive
	DialTimeout time.Duration
	// WindowBytes is how many bytes of messages a stream's server may send ahead of the receiver.
	WindowBytes int
	Observer    Observer
	Logger      *log.Logger
}

// ServerOptions configures a Server; zero values take the defaults.
type ServerOptions struct {
	KeepAlive KeepAlive
	// MaxInFlight is how many calls run at once; further ones are refused with CodeOverloaded.
	MaxInFlight int
	// RetryAfter is told to callers that are refused.
	RetryAfter time.Duration
	Observer   Observer
	Logger     *log.Logger
}

// Stats counts what a client or server met since its start.
type Stats struct {
	// ProtocolErrors counts connections closed because their bytes were not the peer protocol.
	ProtocolErrors uint64
	// LostConnections counts connections closed because pings were not answered.
	LostConnections uint64
	// Overloaded counts calls refused at the limit of calls in flight.
	Overloaded uint64
}

func (k KeepAlive) withDefaults(idle time.Duration) KeepAlive {
	if k.Interval <= 0 {
		k.Interval = DefaultPingInterval
	}
	if k.Misses <= 0 {
		k.Misses = DefaultPingMisses
	}
	if k.IdleTimeout <= 0 {
		k.IdleTimeout = idle
	}
	return k
}

func (o ClientOptions) withDefaults() ClientOptions {
	o.KeepAlive = o.KeepAlive.withDefaults(DefaultClientIdleTimeout)
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.WindowBytes <= 0 {
		o.WindowBytes = DefaultWindowBytes
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	o.Logger = cmp.Or(o.Logger, log.New(io.Discard))
	return o
}

func (o ServerOptions) withDefaults() ServerOptions {
	o.KeepAlive = o.KeepAlive.withDefaults(DefaultServerIdleTimeout)
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.RetryAfter <= 0 {
		o.RetryAfter = DefaultRetryAfter
	}
	if o.Observer == nil {
		o.Observer = noObserver{}
	}
	o.Logger = cmp.Or(o.Logger, log.New(io.Discard))
	return o
}

type noObserver struct{}

func (noObserver) PeerBytes(string, int, int) {}
