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

// ControlMethod is the method reported for a frame that belongs to the connection and not to a call.
const ControlMethod = "peer.control"

// Observer receives the size of every frame, so that the bytes of each method can be counted. It must be safe for
// concurrent use and must not block.
type Observer interface {
	PeerBytes(method string, sent, received int)
}

// KeepAlive configures when a connection is treated as lost or idle. A connection with outstanding calls on which no
// bytes arrive is lost after at most (Misses+1) × Interval.
type KeepAlive struct {
	Interval    time.Duration
	Misses      int
	IdleTimeout time.Duration
}

// ClientOptions configures a Client; zero values select the defaults.
type ClientOptions struct {
	KeepAlive   KeepAlive
	DialTimeout time.Duration
	// WindowBytes is the maximum number of message bytes that the server of a stream may send ahead of the receiver.
	WindowBytes int
	Observer    Observer
	Logger      *log.Logger
}

// ServerOptions configures a Server; zero values select the defaults.
type ServerOptions struct {
	KeepAlive KeepAlive
	// MaxInFlight is the maximum number of concurrent calls; further calls are refused with CodeOverloaded.
	MaxInFlight int
	// RetryAfter is the delay sent to callers that are refused with CodeOverloaded.
	RetryAfter time.Duration
	Observer   Observer
	Logger     *log.Logger
}

// Stats holds the counters of a client or server since its start.
type Stats struct {
	// ProtocolErrors counts connections closed because the received bytes violated the peer protocol.
	ProtocolErrors uint64
	// LostConnections counts connections closed because the peer did not respond to pings.
	LostConnections uint64
	// Overloaded counts calls refused because the limit of calls in flight was reached.
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
