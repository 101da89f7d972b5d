package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// confirmations is how many members besides the first must find a suspect silent for the shortest suspicion.
	confirmations = 3
	// shortestSuspicionShare divides the longest suspicion to give the shortest.
	shortestSuspicionShare = 3
	// lastWordTimeouts is how many probe timeouts before the end of its time a suspect is asked directly, with every tick.
	lastWordTimeouts = 2
)

// suspicion is the time that a suspect has to refute. It is long while one member alone has found the suspect silent, for
// that may be the fault of the finder, and gets shorter as others find the same.
type suspicion struct {
	since      time.Time
	longest    time.Duration
	suspecters []string
}

// until is when the suspect is declared dead.
func (s *suspicion) until() time.Time {
	confirmed := max(0, len(s.suspecters)-1)
	shortest := s.longest / shortestSuspicionShare
	share := math.Log(float64(confirmed+1)) / math.Log(confirmations+1)
	return s.since.Add(s.longest - time.Duration(share*float64(s.longest-shortest)))
}

// confirm adds a member that found the suspect silent, and tells whether it shortens the time.
func (s *suspicion) confirm(suspecter string) bool {
	if suspecter == "" || len(s.suspecters) > confirmations || slices.Contains(s.suspecters, suspecter) {
		return false
	}
	s.suspecters = append(s.suspecters, suspecter)
	return true
}

// beginSuspicion starts the time of a suspect. suspecter is empty where it is not known.
func (p *protocol) beginSuspicion(now time.Time, held *entry, suspecter string) {
	held.suspicion = suspicion{since: now, longest: p.suspicionTime()}
	held.suspicion.confirm(suspecter)
}

// confirmSuspicion takes in that one more member finds a suspect silent. It is spread, so that all count the same.
func (p *protocol) confirmSuspicion(now time.Time, held *entry, said stateRecord) {
	current := held.record.short()
	sameWords := said.Refutation == current.Refutation && said.Condition == current.Condition
	if !sameWords || current.Condition != conditionSuspect {
		return
	}
	if held.suspicion.confirm(said.Suspecter) {
		p.queue.add(memberKey(said.Node), false)
	}
}

// postponeSuspicions gives suspects the time that this process stood still.
func (p *protocol) postponeSuspicions(gap time.Duration) {
	for _, held := range p.members {
		held.suspicion.since = held.suspicion.since.Add(gap)
	}
}

// checkSuspects declares suspects dead that have not refuted in time, and forgets the long dead.
func (p *protocol) checkSuspects(now time.Time) {
	for _, key := range slices.Clone(p.keys.between(memberKeyPrefix, "")) {
		node := key[len(memberKeyPrefix):]
		held := p.members[node]
		switch held.record.Condition {
		case conditionSuspect:
			p.askDirectly(now, node, held)
			if !now.Before(held.suspicion.until()) {
				declared := held.record.short()
				declared.Condition = conditionDead
				p.mergeState(now, declared)
			}
		case conditionDead:
			if now.Sub(held.deadSince) >= p.config.Timing.ReapAfter && node != p.config.Self.Node {
				p.remove(node)
			}
		}
	}
}

// askDirectly pings a suspect with every tick shortly before it would be declared dead, since its refutation may not have
// reached this node, and a single ping or its answer may be lost. Others declare at about the same time, so that the first
// to do so spares them the pings.
func (p *protocol) askDirectly(now time.Time, node string, held *entry) {
	begin := held.suspicion.until().Add(-lastWordTimeouts * p.config.Timing.ProbeTimeout)
	if now.Before(begin) {
		return
	}
	p.sendTo(now, node, &header{Kind: packetPing, Sequence: p.nextSequence(), Target: node})
}

// suspicionTime is how long a suspect may take to refute at the most.
func (p *protocol) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(p.currentPeers().count()+1)))
	unit := float64(p.config.Timing.ProbeInterval) * float64(p.config.Timing.SuspicionMultiplier)
	return time.Duration(scale * unit)
}
