// Package byhand runs the stand-ins as processes of their own: the platform's services, the engines of a pool, and the
// trainer of a workload. Each is started by a subcommand of hillfork-lab, so that every program can be run by hand.
package byhand

import (
	"net"
	"net/http"

	"github.com/hillfork/hillfork/internal/network"
)

// mount returns the path of a service and its handler.
type mount func() (string, http.Handler)

// server serves stand-ins on one address.
type server struct {
	listener net.Listener
	http     *http.Server
}

// serve listens on address ("ip:port"; port 0 takes a free one) and serves the mounts until close.
func serve(address string, mounts ...mount) (*server, error) {
	listener, err := network.System{}.Listen(address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	for _, mounted := range mounts {
		mux.Handle(mounted())
	}
	s := &server{listener: listener, http: &http.Server{Handler: mux}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() { _ = s.http.Close() }
