package machinelist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
)

func TestListLagsAndFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Config{Lag: 5 * time.Second})
		states := func() map[string]platform.MachineState {
			machines, err := l.List(t.Context())
			is.NoErr(err)
			found := make(map[string]platform.MachineState)
			for _, machine := range machines {
				found[machine.ID] = machine.State
			}
			return found
		}
		type expected = map[string]platform.MachineState
		l.Set(platform.Machine{ID: "b", State: platform.MachineLive})
		l.Set(platform.Machine{ID: "a", State: platform.MachineLive})
		is.Equal(states(), expected{})
		time.Sleep(4 * time.Second)
		l.MarkLeaving("a")
		l.MarkLeaving("unknown")
		is.Equal(states(), expected{})
		time.Sleep(time.Second)
		is.Equal(states(), expected{"a": "live", "b": "live"})
		time.Sleep(4 * time.Second)
		is.Equal(states(), expected{"a": "leaving", "b": "live"})
		l.Freeze()
		l.Remove("a")
		time.Sleep(time.Minute)
		is.Equal(states(), expected{"a": "leaving", "b": "live"})
		l.Thaw()
		is.Equal(states(), expected{"b": "live"})
		l.Down()
		_, err := l.List(t.Context())
		is.True(err != nil)
	})
}
