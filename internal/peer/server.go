package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// acceptPause is how long the server waits after a failed accept, for instance for want of descriptors.
	acceptPause = 20 * time.Millisecond
	// shutdownLinger is how long clients have to close their connections after the last answer.
	shutdownLinger = 5 * time.Second
)

// handlerEntry is a registered method; one of unary and stream is set.
type handlerEntry struct {
	method string
	unary  UnaryHandler
	stream StreamHandler
}

// Server answers calls. Handlers are registered before Serve.
type Server struct {
	options  ServerOptions
	handlers map[string]*handlerEntry
	counters counters
	inFlight atomic.Int64
	draining atomic.Bool
	context  context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu          sync.Mutex
	listeners   map[net.Listener]struct{}
	connections map[*serverConnection]struct{}
	// changed is closed and replaced when a call or connection ends while the server drains.
	changed chan struct{}
}

var _ Registrar = (*Server)(nil)

// NewServer returns a server without handlers.
func NewServer(options ServerOptions) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		options:     options.withDefaults(),
		handlers:    make(map[string]*handlerEntry),
		context:     ctx,
		cancel:      cancel,
		listeners:   make(map[net.Listener]struct{}),
		connections: make(map[*serverConnection]struct{}),
		changed:     make(chan struct{}),
	}
}

// HandleUnary implements Registrar.
func (s *Server) HandleUnary(method string, handler UnaryHandler) {
	s.register(&handlerEntry{method: method, unary: handler})
}

// HandleStream implements Registrar.
func (s *Server) HandleStream(method string, handler StreamHandler) {
	s.register(&handlerEntry{method: method, stream: handler})
}

func (s *Server) register(entry *handlerEntry) {
	if _, twice := s.handlers[entry.method]; twice {
		panic("peer: method " + entry.method + " is registered twice")
	}
	s.handlers[entry.method] = entry
}

// Stats tells what the server met so far.
func (s *Server) Stats() Stats { return s.counters.snapshot() }

// InFlight tells how many calls run now.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Serve accepts connections until Shutdown or Close, then returns ErrClosed. It closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return ErrClosed
	}
	defer s.removeListener(listener)
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(socket)
		case s.draining.Load():
			return ErrClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			errorlog.Warn(s.options.Logger, "peer accept failed", err)
			pause.For(s.context, acceptPause)
		}
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		_ = listener.Close()
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) removeListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, listener)
	_ = listener.Close()
}

func (s *Server) accept(socket net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		_ = socket.Close()
		return
	}
	connection := newServerConnection(s, socket)
	s.connections[connection] = struct{}{}
	connection.run(&s.group, connection.handle)
}

// Shutdown stops accepting, tells the clients to make no new calls here, and waits until the calls in flight are
// answered. Calls that still arrive are refused with CodeNotReady. When ctx ends first it returns the context's error
// with calls still running; Close then cuts them off.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, connection := range s.drain() {
		connection.announceGoAway()
	}
	if err := s.waitUntil(ctx, func() bool { return s.inFlight.Load() == 0 }); err != nil {
		return err
	}
	lingering, cancel := context.WithTimeout(ctx, shutdownLinger)
	defer cancel()
	// Clients close their connections after the last answer; those that do not are closed below.
	_ = s.waitUntil(lingering, func() bool { return len(s.connections) == 0 })
	return s.Close()
}

// drain marks the server as draining, closes its listeners and returns its connections.
func (s *Server) drain() []*serverConnection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for listener := range s.listeners {
		_ = listener.Close()
	}
	open := make([]*serverConnection, 0, len(s.connections))
	for connection := range s.connections {
		open = append(open, connection)
	}
	return open
}

// waitUntil waits for a condition on the server, which is evaluated with mu held.
func (s *Server) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		changed, reached := s.check(condition)
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) check(condition func() bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, condition()
}

// Close closes listeners and connections, ends the contexts of the calls in flight and waits until they have returned.
func (s *Server) Close() error {
	open := s.drain()
	s.cancel()
	for _, connection := range open {
		connection.fail(ErrClosed)
	}
	s.group.Wait()
	return nil
}

func (s *Server) removeConnection(connection *serverConnection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, connection)
	s.notifyChange()
}

// callEnded counts a call out.
func (s *Server) callEnded() {
	s.inFlight.Add(-1)
	if !s.draining.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChange()
}

// notifyChange is called with mu held.
func (s *Server) notifyChange() {
	if s.draining.Load() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
