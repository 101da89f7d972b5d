// Package connectadapter fills the interfaces of package platform by Connect over net/http. Connections come from a
// network.Network, speak HTTP/1.1 and are kept alive between calls.
package connectadapter

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/answercheck"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/platform"
)

// Defaults of Options.
const (
	DefaultMaxIdlePerHost = 64
	DefaultIdleTimeout    = 30 * time.Second
	DefaultReadMaxBytes   = 32 << 20
)

// Options tune an Adapter. Zero fields take the defaults.
type Options struct {
	// MaxIdlePerHost bounds the idle connections kept per address.
	MaxIdlePerHost int
	// IdleTimeout closes connections that were idle so long.
	IdleTimeout time.Duration
	// ReadMaxBytes bounds one message received.
	ReadMaxBytes int
}

// Adapter opens platform services by address ("ip:port") and shares one HTTP client between them. Calls end by their
// contexts alone: the adapter sets no timeouts and repeats nothing.
type Adapter struct {
	client    *http.Client
	transport *http.Transport
	options   []connect.ClientOption
}

var _ platform.EngineDialer = (*Adapter)(nil)

// New returns an Adapter that dials through dialer.
func New(dialer network.Network, options Options) *Adapter {
	options = options.withDefaults()
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			opened, err := dialer.DialContext(ctx, address)
			if err != nil {
				return nil, err
			}
			return answercheck.Wrap(opened), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: options.MaxIdlePerHost,
		IdleConnTimeout:     options.IdleTimeout,
	}
	return &Adapter{
		client:    &http.Client{Transport: sentTracker{next: transport}},
		transport: transport,
		options: []connect.ClientOption{
			connect.WithReadMaxBytes(options.ReadMaxBytes),
			connect.WithAcceptCompression("gzip", nil, nil),
		},
	}
}

func (o Options) withDefaults() Options {
	if o.MaxIdlePerHost == 0 {
		o.MaxIdlePerHost = DefaultMaxIdlePerHost
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.ReadMaxBytes == 0 {
		o.ReadMaxBytes = DefaultReadMaxBytes
	}
	return o
}

// HTTPClient returns the client that all services share. Errors of calls that were provably not sent match
// platform.ErrNotSent.
func (a *Adapter) HTTPClient() *http.Client {
	return a.client
}

// ClientOptions returns the Connect options that all services share.
func (a *Adapter) ClientOptions() []connect.ClientOption {
	return a.options
}

// Close drops idle connections. Connections of calls in flight close with their calls.
func (a *Adapter) Close() {
	a.transport.CloseIdleConnections()
}

// BaseURL is the URL of the services at address.
func BaseURL(address string) string {
	return "http://" + address
}
