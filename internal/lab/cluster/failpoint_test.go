package cluster

import (
	"errors"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/matryer/is"
)

// TestFailpointThatNothingReaches makes a run an error whose crash never came about, and refuses one that could not be
// clean.
func TestFailpointThatNothingReaches(t *testing.T) {
	is := is.New(t)
	c := &Cluster{config: Config{Fabric: NewSimulated(&trace.Topology{})}}
	process := &nodeProcess{cluster: c, name: "linz-a-1"}
	c.nodes = []*nodeProcess{process}
	is.NoErr(c.unreached())
	is.NoErr(process.arm("after start", false))
	process.reach("before start")
	err := c.unreached()
	is.True(err != nil && strings.Contains(err.Error(), `linz-a-1 never reached "after start"`))
	c.config.Fabric = NewLoopback()
	is.True(errors.Is(process.arm("after start", false), ErrUnsupported))
}
