package node

import (
	"testing"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/matryer/is"
)

func TestCommonRegion(t *testing.T) {
	in := func(regions ...string) []platform.Machine {
		var machines []platform.Machine
		for _, region := range regions {
			machines = append(machines, platform.Machine{Region: region})
		}
		return machines
	}
	cases := []struct {
		machines []platform.Machine
		want     string
	}{
		{nil, ""},
		{in("b", "a", "b"), "b"},
		{in("b", "a"), "a"},
		{in("c", "b", "a", "c"), "c"},
	}
	for _, c := range cases {
		is.New(t).Equal(commonRegion(c.machines), c.want)
	}
}
