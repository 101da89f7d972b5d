package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// requiredConfirmations is how many members besides the first must suspect a member for the minimum suspicion
	// time.
	requiredConfirmations = 3
	// minSuspicionDivisor divides the maximum suspicion time to give the minimum.
	minSuspicionDivisor = 3
	// finalPingTimeouts is how many probe timeouts before its deadline a suspect is pinged directly, with every tick.
	finalPingTimeouts = 2
)

// suspicion is the time that a suspect has to refute. It is long while only one member suspects it, since the fault
// may be on that member's side, and gets shorter as other members confirm the suspicion.
type suspicion struct {
	start       time.Time
	maxDuration time.Duration
	suspecters  []string
}

// deadline returns when the suspect is declared dead.
func (s *suspicion) deadline() time.Time {
	confirmed := max(0, len(s.suspecters)-1)
	minDuration := s.maxDuration / minSuspicionDivisor
	share := math.Log(float64(confirmed+1)) / math.Log(requiredConfirmations+1)
	return s.start.Add(s.maxDuration - time.Duration(share*float64(s.maxDuration-minDuration)))
}

// confirm adds a member that suspects the same member, and reports whether that brings the deadline forward.
func (s *suspicion) confirm(suspecter string) bool {
	if suspecter == "" || len(s.suspecters) > requiredConfirmations || slices.Contains(s.suspecters, suspecter) {
		return false
	}
	s.suspecters = append(s.suspecters, suspecter)
	return true
}

// startSuspicion starts the suspicion of a member. suspecter is empty if it is not known.
func (p *protocol) startSuspicion(now time.Time, entry *memberEntry, suspecter string) {
	entry.suspicion = suspicion{start: now, maxDuration: p.maxSuspicionDuration()}
	entry.suspicion.confirm(suspecter)
}

// confirmSuspicion records that one more member suspects a member. The confirmation is gossiped, so that all members
// count the same ones.
func (p *protocol) confirmSuspicion(now time.Time, entry *memberEntry, reported stateRecord) {
	current := entry.record.stateRecord()
	sameState := reported.Refutation == current.Refutation && reported.Condition == current.Condition
	if !sameState || current.Condition != conditionSuspect {
		return
	}
	if entry.suspicion.confirm(reported.Suspecter) {
		p.queue.add(memberKey(reported.Node), false)
	}
}

// postponeSuspicions extends all suspicions by the time for which this process was paused.
func (p *protocol) postponeSuspicions(gap time.Duration) {
	for _, entry := range p.members {
		entry.suspicion.start = entry.suspicion.start.Add(gap)
	}
}

// checkSuspects declares suspects dead whose deadline has passed, and removes members that have been dead for
// ReapAfter.
func (p *protocol) checkSuspects(now time.Time) {
	for _, key := range slices.Clone(p.keys.between(memberKeyPrefix, "")) {
		node := key[len(memberKeyPrefix):]
		entry := p.members[node]
		switch entry.record.Condition {
		case conditionSuspect:
			p.pingSuspect(now, node, entry)
			if !now.Before(entry.suspicion.deadline()) {
				declared := entry.record.stateRecord()
				declared.Condition = conditionDead
				p.mergeState(now, declared)
			}
		case conditionDead:
			if now.Sub(entry.deadSince) >= p.config.Timing.ReapAfter && node != p.config.Self.Node {
				p.remove(node)
			}
		}
	}
}

// pingSuspect pings a suspect with every tick shortly before its deadline, since its refutation may not have reached
// this node, and a single ping or its ack may be lost. Other members reach their deadlines at about the same time;
// once one of them has declared the suspect dead, the others need not ping it.
func (p *protocol) pingSuspect(now time.Time, node string, entry *memberEntry) {
	begin := entry.suspicion.deadline().Add(-finalPingTimeouts * p.config.Timing.ProbeTimeout)
	if now.Before(begin) {
		return
	}
	p.sendTo(now, node, &header{Kind: packetPing, Sequence: p.nextSequence(), Target: node})
}

// maxSuspicionDuration returns the maximum time that a suspect has to refute.
func (p *protocol) maxSuspicionDuration() time.Duration {
	scale := math.Max(1, math.Log10(float64(p.currentPeers().count()+1)))
	unit := float64(p.config.Timing.ProbeInterval) * float64(p.config.Timing.SuspicionMultiplier)
	return time.Duration(scale * unit)
}
