package policy_test

import (
	"testing"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// holders returns members of a share that hold partitions, so many each.
func holders(count int, share float64, partitions int) []policy.GroupMember {
	members := make([]policy.GroupMember, count)
	for i := range members {
		members[i] = policy.GroupMember{Share: share, Partitions: partitions}
	}
	return members
}

// TestSmallMachinesStandByForLargeOnes answers the load of an owner: it places, follows and lists all items of its partitions, and that
// takes processor time in proportion to them, so what counts is the processor for each partition. The threshold is what the machine
// itself would give: below it the partitions are served sooner with the machine than without.
func TestSmallMachinesStandByForLargeOnes(t *testing.T) {
	const partitions = 16
	for _, test := range []struct {
		name    string
		members []policy.GroupMember
		share   float64
		stands  bool
	}{
		{"a large one each: 0.8 a partition", holders(16, 0.8, 1), 0.48, true},
		{"a large one each, for the smallest", holders(16, 0.8, 1), 0.144, true},
		{"three large ones: 0.15 a partition, less than 0.48", append(holders(1, 0.8, 6), holders(2, 0.8, 5)...), 0.48, false},
		{"three large ones: 0.15 a partition, more than 0.144", append(holders(1, 0.8, 6), holders(2, 0.8, 5)...), 0.144, true},
		{"exactly as much: nothing is gained by joining", holders(4, 0.8, 4), 0.2, true},
		{"machines of one size never stand by", holders(16, 0.8, 1), 0.8, false},
		{"the larger never stands by for smaller ones", holders(16, 0.144, 1), 0.8, false},
		{"a partition without an owner is taken at once", holders(15, 0.8, 1), 0.144, false},
		{"nobody holds anything", nil, 0.144, false},
		{"sizes of owners not known", holders(16, 0, 1), 0.144, false},
		{"own size not known", holders(16, 0.8, 1), 0, false},
		{"two sizes above count together", append(holders(4, 0.8, 1), holders(12, 0.48, 1)...), 0.192, true},
		{"large ones that ask count, small owners do not", append(holders(16, 0.192, 1), holders(12, 0.8, 0)...), 0.192, true},
		{"too few ask", append(holders(16, 0.192, 1), holders(3, 0.8, 0)...), 0.192, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(policy.StandsBy(test.members, partitions, test.share), test.stands)
		})
	}
}

// TestOnlyLargerMachinesAsk answers the load of more members than partitions: the group deals nothing to a newcomer, which only small
// owners can mend. Machines of one size have nothing to ask for.
func TestOnlyLargerMachinesAsk(t *testing.T) {
	is := is.New(t)
	is.True(policy.AsksFor(append(holders(15, 0.8, 1), holders(1, 0.192, 1)...), 0.8))
	is.True(!policy.AsksFor(holders(16, 0.8, 1), 0.8))
	is.True(!policy.AsksFor(holders(16, 0.8, 1), 0.192))
	is.True(!policy.AsksFor(holders(16, 0, 1), 0.8))
	is.True(!policy.AsksFor(holders(16, 0.192, 0), 0.8))
}
