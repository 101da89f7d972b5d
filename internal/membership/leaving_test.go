package membership

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestLeavingIsMergedAfterRefutationFromHeader delivers a header, which carries only the refutation number, before
// the record with the leaving flag of the same refutation. The flag must be merged although the refutation is no
// longer new.
func TestLeavingIsMergedAfterRefutationFromHeader(t *testing.T) {
	records := map[string]func(*protocol, *simulation, memberRecord) bool{
		"short record": func(p *protocol, s *simulation, reported memberRecord) bool {
			return p.mergeState(s.now, reported.stateRecord())
		},
		"full record": func(p *protocol, s *simulation, reported memberRecord) bool { return p.mergeMember(s.now, reported) },
	}
	for name, merge := range records {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, 2, 1, nil)
			s.introduceAll()
			other, leaver := s.nodes[0], s.nodes[1]
			leaver.leave(s.now)
			reported := leaver.selfEntry().record
			entry := other.members[reported.Node]
			other.mergeSender(s.now, netip.MustParseAddrPort(nodeAddress(1)), &header{
				Kind: packetAck, From: reported.Node, Incarnation: reported.Incarnation, Refutation: reported.Refutation,
			})
			is.Equal(entry.record.Refutation, reported.Refutation)
			is.True(!entry.record.Leaving)
			is.True(merge(other, s, reported))
			is.True(entry.record.Leaving)
			is.True(!merge(other, s, reported)) // not new the second time
			reported.Refutation++
			reported.Leaving = false // as reported by a third node that has only received headers
			is.True(merge(other, s, reported))
			is.True(entry.record.Leaving)
		})
	}
}
