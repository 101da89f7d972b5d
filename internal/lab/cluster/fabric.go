// Package cluster stands up what a trace describes: the platform's stand-ins, nodes, engines, trainers and callers, over
// a fabric that is either an in-memory network or the loopback interface. It brings the trace's faults about and records
// what the outside sees.
package cluster

import (
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/network"
)

// ErrUnsupported says that the fabric cannot bring a fault about.
var ErrUnsupported = errors.New("this fault needs the in-memory network; replay with --virtual")

// Place is where a host stands.
type Place struct {
	Zone   string
	Region string
	// Client says that the host is not in the machine rooms but with callers or trainers.
	Client bool
}

// Host is one machine on the fabric.
type Host struct {
	IP      string
	Network network.Network
}

// Fabric gives hosts their network and brings network faults about. Fault methods return ErrUnsupported where they cannot.
type Fabric interface {
	// NewHost returns a host of its own address.
	NewHost(place Place) Host
	// Crash cuts a host off for good: its connections are reset.
	Crash(ip string) error
	// CrashCutsOff says that nothing of the process on a host gets out once Crash was called, although it still runs.
	CrashCutsOff() bool
	// Restart returns the network of a new process on a crashed host.
	Restart(ip string) (network.Network, error)
	// Pause freezes a host until Resume.
	Pause(ip string) error
	Resume(ip string) error
	// Partition cuts the hosts of places a (zones or regions) from those of b, both ways or from a to b only, until heal.
	Partition(a, b []string, oneWay bool) (heal func(), err error)
	// SetLoss loses datagrams with probability.
	SetLoss(probability float64) error
	// SetExtraDelay makes everything later.
	SetExtraDelay(delay time.Duration) error
}
