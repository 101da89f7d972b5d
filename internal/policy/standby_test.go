package policy_test

import (
	"testing"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// holders returns members that have equal shares and hold equal numbers of partitions.
func holders(count int, share float64, partitions int) []policy.GroupMember {
	members := make([]policy.GroupMember, count)
	for i := range members {
		members[i] = policy.GroupMember{Share: share, Partitions: partitions}
	}
	return members
}

// TestSmallMachinesStandByForLargeOnes checks which machines take part. An owner places, follows and lists all items of
// its partitions, which takes CPU time in proportion to them, so CPU per partition is what counts. The threshold is the
// machine's own share: below it the group serves partitions sooner with the machine than without.
func TestSmallMachinesStandByForLargeOnes(t *testing.T) {
	const partitions = 16
	for _, test := range []struct {
		name    string
		members []policy.GroupMember
		share   float64
		want    bool
	}{
		{"one large machine per partition: 0.8 cores each", holders(16, 0.8, 1), 0.48, true},
		{"one large machine per partition, smallest machine", holders(16, 0.8, 1), 0.144, true},
		{"three large machines: 0.15 cores per partition, less than 0.48", append(holders(1, 0.8, 6), holders(2, 0.8, 5)...), 0.48, false},
		{"three large machines: 0.15 cores per partition, more than 0.144", append(holders(1, 0.8, 6), holders(2, 0.8, 5)...), 0.144, true},
		{"equal cores per partition: no gain from joining", holders(4, 0.8, 4), 0.2, true},
		{"machines of one size never stand by", holders(16, 0.8, 1), 0.8, false},
		{"a larger machine never stands by for smaller ones", holders(16, 0.144, 1), 0.8, false},
		{"an unowned partition is taken at once", holders(15, 0.8, 1), 0.144, false},
		{"no owners", nil, 0.144, false},
		{"owner sizes unknown", holders(16, 0, 1), 0.144, false},
		{"own size unknown", holders(16, 0.8, 1), 0, false},
		{"two larger sizes add up", append(holders(4, 0.8, 1), holders(12, 0.48, 1)...), 0.192, true},
		{"requesting large machines count, small owners do not", append(holders(16, 0.192, 1), holders(12, 0.8, 0)...), 0.192, true},
		{"too few request", append(holders(16, 0.192, 1), holders(3, 0.8, 0)...), 0.192, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(policy.StandsBy(test.members, partitions, test.share), test.want)
		})
	}
}

// TestOnlyLargerMachinesRequestPartitions covers groups with more members than partitions: the group assigns nothing to
// a new member, and only small owners that leave can change that. Machines of equal size have no reason to request any.
func TestOnlyLargerMachinesRequestPartitions(t *testing.T) {
	is := is.New(t)
	is.True(policy.RequestsPartitions(append(holders(15, 0.8, 1), holders(1, 0.192, 1)...), 0.8))
	is.True(!policy.RequestsPartitions(holders(16, 0.8, 1), 0.8))
	is.True(!policy.RequestsPartitions(holders(16, 0.8, 1), 0.192))
	is.True(!policy.RequestsPartitions(holders(16, 0, 1), 0.8))
	is.True(!policy.RequestsPartitions(holders(16, 0.192, 0), 0.8))
}
