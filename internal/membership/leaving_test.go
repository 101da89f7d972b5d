package membership

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestLeavingIsLearnedAfterTheRefutationThatCameWithIt lets a header, which names the refutation alone, arrive before the
// record that tells of the leaving.
func TestLeavingIsLearnedAfterTheRefutationThatCameWithIt(t *testing.T) {
	records := map[string]func(*protocol, *simulation, memberRecord) bool{
		"short record": func(p *protocol, s *simulation, said memberRecord) bool { return p.mergeState(s.now, said.short()) },
		"full record":  func(p *protocol, s *simulation, said memberRecord) bool { return p.mergeMember(s.now, said) },
	}
	for name, merge := range records {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(t, 2, 1, nil)
			s.introduceAll()
			other, leaver := s.nodes[0], s.nodes[1]
			leaver.leave(s.now)
			said := leaver.selfEntry().record
			held := other.members[said.Node]
			other.mergeSender(s.now, netip.MustParseAddrPort(nodeAddress(1)), &header{
				Kind: packetAck, From: said.Node, Incarnation: said.Incarnation, Refutation: said.Refutation,
			})
			is.Equal(held.record.Refutation, said.Refutation)
			is.True(!held.record.Leaving)
			is.True(merge(other, s, said))
			is.True(held.record.Leaving)
			is.True(!merge(other, s, said)) // no news the second time
			said.Refutation++
			said.Leaving = false // as from a third node that had only seen headers
			is.True(merge(other, s, said))
			is.True(held.record.Leaving)
		})
	}
}
