// Package server serves stand-ins over HTTP.
package server

import (
	"net"
	"net/http"

	"github.com/hillfork/hillfork/internal/network"
)

// Mount returns the path of a service and its handler, as the stand-ins' Handler methods do.
type Mount func() (path string, handler http.Handler)

// Server serves stand-ins on one address.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Start listens on address ("ip:port"; port 0 takes a free one) of a network and serves the mounts until Close.
func Start(on network.Network, address string, mounts ...Mount) (*Server, error) {
	listener, err := on.Listen(address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	for _, mounted := range mounts {
		mux.Handle(mounted())
	}
	s := &Server{listener: listener, http: &http.Server{Handler: mux}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close cuts all connections off.
func (s *Server) Close() { _ = s.http.Close() }
