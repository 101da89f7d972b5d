package machinelist

import (
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
)

// TestRegistryRefusesWhatIsNoMachine checks that a bad machine changes nothing, and that good ones come and go.
func TestRegistryRefusesWhatIsNoMachine(t *testing.T) {
	is := is.New(t)
	list := New(Config{})
	set := func(machine *platformv1.Machine) connect.Code {
		_, err := registry{list}.SetMachine(t.Context(), connect.NewRequest(&platformv1.SetMachineRequest{Machine: machine}))
		return connect.CodeOf(err)
	}
	for _, bad := range []*platformv1.Machine{
		nil,
		{Kind: "engine", Address: "127.0.0.1:1", State: "live"},
		{Id: "a", Kind: "toaster", Address: "127.0.0.1:1", State: "live"},
		{Id: "a", Kind: "engine", Address: "somewhere", State: "live"},
		{Id: "a", Kind: "engine", Address: "127.0.0.1:1", State: "tired"},
	} {
		is.Equal(set(bad), connect.CodeInvalidArgument)
	}
	machines, err := list.List(t.Context())
	is.NoErr(err)
	is.Equal(len(machines), 0)

	set(&platformv1.Machine{Id: "a", Kind: "engine", Address: "127.0.0.1:1", State: "leaving"})
	machines, err = list.List(t.Context())
	is.NoErr(err)
	is.Equal(len(machines), 1)
	_, err = registry{list}.RemoveMachine(t.Context(), connect.NewRequest(&platformv1.RemoveMachineRequest{Id: "a"}))
	is.NoErr(err)
	machines, err = list.List(t.Context())
	is.NoErr(err)
	is.Equal(len(machines), 0)
}
