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
	// acceptRetryDelay is the delay after a failed accept, for instance when the process has run out of file
	// descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// shutdownLinger is the time that clients have to close their connections after the last response.
	shutdownLinger = 5 * time.Second
)

// handlerEntry is a registered method; exactly one of unary and stream is set.
type handlerEntry struct {
	method string
	unary  UnaryHandler
	stream StreamHandler
}

// Server handles calls. Handlers must be registered before Serve.
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
	// changed is closed and replaced whenever a call or connection ends while the server is draining.
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
	if _, registered := s.handlers[entry.method]; registered {
		panic("peer: method " + entry.method + " is registered twice")
	}
	s.handlers[entry.method] = entry
}

// Stats returns the server's counters since its start.
func (s *Server) Stats() Stats { return s.counters.snapshot() }

// InFlight returns the number of calls in flight.
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
			pause.For(s.context, acceptRetryDelay)
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

// Shutdown stops accepting connections, notifies the clients that no new calls are accepted, and waits until the calls
// in flight have completed. Calls that still arrive are refused with CodeNotReady. If ctx ends first, Shutdown returns
// the context's error while calls are still running; Close then cuts them off.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, connection := range s.drain() {
		connection.announceGoAway()
	}
	if err := s.waitUntil(ctx, func() bool { return s.inFlight.Load() == 0 }); err != nil {
		return err
	}
	lingering, cancel := context.WithTimeout(ctx, shutdownLinger)
	defer cancel()
	// Clients close their connections after the last response; Close below closes the remaining ones.
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

// waitUntil waits until condition returns true. The condition is evaluated with mu held.
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

// Close closes the listeners and connections, cancels the contexts of the calls in flight and waits until they have
// returned.
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

// callEnded decrements the number of calls in flight.
func (s *Server) callEnded() {
	s.inFlight.Add(-1)
	if !s.draining.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChange()
}

// notifyChange wakes the callers of waitUntil. It must be called with mu held.
func (s *Server) notifyChange() {
	if s.draining.Load() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
