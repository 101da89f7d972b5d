package cluster

import (
	"fmt"
	"strings"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

// arm lets the process crash when it reaches a failpoint next.
func (p *nodeProcess) arm(failpoint string, mayMiss bool) error {
	if !p.cluster.config.Fabric.CrashCutsOff() {
		return fmt.Errorf("failpoint %q: %w", failpoint, ErrUnsupported)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = failpoint
	p.mayMiss = mayMiss
	return nil
}

// disarm takes a failpoint back that the running process need not reach, and tells whether there was one.
func (p *nodeProcess) disarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.armed == "" || !p.mayMiss || p.running == nil {
		return false
	}
	p.armed = ""
	return true
}

// reach is the failpoint hook of the node's process. It runs between two steps of a ledger: the host is cut off before
// the next one, and the process ends as soon as it may.
func (p *nodeProcess) reach(name string) {
	p.mu.Lock()
	hit := p.armed == name && p.running != nil
	running := p.running
	if hit {
		p.armed = ""
	}
	p.mu.Unlock()
	if !hit {
		return
	}
	p.cluster.noteDisturbance(&trace.Event{Do: trace.NodeCrash, Node: p.name})
	p.unreachable(processDown)
	p.reachable(processPaused)
	_ = p.cluster.config.Fabric.Crash(p.host.IP)
	running.Kill()
}

// unreached returns an error that names the failpoints at which nodes were to crash and did not: such a run shows
// nothing.
func (c *Cluster) unreached() error {
	var waiting []string
	for _, process := range c.nodes {
		process.mu.Lock()
		if process.armed != "" && !process.mayMiss {
			waiting = append(waiting, fmt.Sprintf("%s never reached %q", process.name, process.armed))
		}
		process.mu.Unlock()
	}
	if len(waiting) == 0 {
		return nil
	}
	return fmt.Errorf("failpoints: %s", strings.Join(waiting, ", "))
}
