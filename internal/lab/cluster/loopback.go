package cluster

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/network"
)

// Loopback is the fabric of real sockets: every host has an address of its own in 127.0.0.0/8.
type Loopback struct {
	mu    sync.Mutex
	hosts int
	base  int
}

// The second octet of loopback hosts is drawn from the process id, so that runs at the same time do not meet.
const (
	loopbackFirstNet = 16
	loopbackNets     = 200
	hostsPerNet      = 250
)

// NewLoopback returns a fabric without hosts.
func NewLoopback() *Loopback {
	return &Loopback{base: loopbackFirstNet + os.Getpid()%loopbackNets}
}

// NewHost returns a host with the next free address.
func (l *Loopback) NewHost(Place) Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts++
	ip := fmt.Sprintf("127.%d.%d.%d", l.base, l.hosts/hostsPerNet, 1+l.hosts%hostsPerNet)
	return Host{IP: ip, Network: network.System{}}
}

// Crash has nothing to do: the sockets of a process that is gone are closed.
func (l *Loopback) Crash(string) error { return nil }

// CrashCutsOff is false: the process itself has to end.
func (l *Loopback) CrashCutsOff() bool { return false }

// Restart returns the one network there is.
func (l *Loopback) Restart(string) (network.Network, error) { return network.System{}, nil }

// Pause is not supported within one process.
func (l *Loopback) Pause(string) error { return ErrUnsupported }

// Resume is not supported within one process.
func (l *Loopback) Resume(string) error { return ErrUnsupported }

// Partition is not supported on the loopback interface.
func (l *Loopback) Partition(_, _ []string, _ bool) (func(), error) { return nil, ErrUnsupported }

// SetLoss is not supported on the loopback interface.
func (l *Loopback) SetLoss(float64) error { return ErrUnsupported }

// SetExtraDelay is not supported on the loopback interface.
func (l *Loopback) SetExtraDelay(time.Duration) error { return ErrUnsupported }
