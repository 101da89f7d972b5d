package machinelist

import (
	"context"
	"errors"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
)

// Refusals of the registry.
var (
	errNoID       = errors.New("machine has no id")
	errBadKind    = errors.New(`machine kind must be "node" or "engine"`)
	errBadState   = errors.New(`machine state must be "live" or "leaving"`)
	errBadAddress = errors.New("machine address must be IP:PORT")
)

// RegistryHandler serves changes of the list by Connect, below the returned path.
func (l *List) RegistryHandler() (string, http.Handler) {
	return platformv1connect.NewMachineRegistryServiceHandler(registry{list: l})
}

type registry struct {
	list *List
}

func (r registry) SetMachine(_ context.Context, request *connect.Request[platformv1.SetMachineRequest]) (*connect.Response[platformv1.SetMachineResponse], error) {
	machine := machineOf(request.Msg.GetMachine())
	if err := checkMachine(machine); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	r.list.Set(machine)
	return connect.NewResponse(&platformv1.SetMachineResponse{}), nil
}

func (r registry) RemoveMachine(_ context.Context, request *connect.Request[platformv1.RemoveMachineRequest]) (*connect.Response[platformv1.RemoveMachineResponse], error) {
	r.list.Remove(request.Msg.GetId())
	return connect.NewResponse(&platformv1.RemoveMachineResponse{}), nil
}

func machineOf(message *platformv1.Machine) platform.Machine {
	return platform.Machine{
		ID:      message.GetId(),
		Kind:    platform.MachineKind(message.GetKind()),
		Address: message.GetAddress(),
		Zone:    message.GetZone(),
		Region:  message.GetRegion(),
		Pool:    message.GetPool(),
		State:   platform.MachineState(message.GetState()),
	}
}

func checkMachine(machine platform.Machine) error {
	if machine.ID == "" {
		return errNoID
	}
	if machine.Kind != platform.MachineNode && machine.Kind != platform.MachineEngine {
		return errBadKind
	}
	if machine.State != platform.MachineLive && machine.State != platform.MachineLeaving {
		return errBadState
	}
	if _, err := netip.ParseAddrPort(machine.Address); err != nil {
		return errBadAddress
	}
	return nil
}
