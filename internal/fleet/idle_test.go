package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestEngineWithIdleConnectionIsPreferred assigns three pieces of work to two engines, of which this process holds two idle
// connections to one. Without the preference the work opens connections while idle ones remain. With a stronger one it would
// pile up at few engines or go to another zone.
func TestEngineWithIdleConnectionIsPreferred(t *testing.T) {
	tests := []struct {
		name     string
		slots    int
		zone     string
		assigned []string
	}{
		{"as many as idle connections", 128, "z", []string{"connected", "connected", "other"}},
		{"load counts more", 8, "z", []string{"connected", "other", "connected"}},
		{"zone counts more", 8, "far", []string{"other", "connected", "other"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := NewDirectory()
			d.Upsert(Engine{ID: "connected", Pool: "p", Zone: test.zone, Slots: test.slots})
			d.Upsert(Engine{ID: "other", Pool: "p", Zone: "z", Slots: test.slots})
			d.SetIdleConnections("connected", 2)
			var assigned []string
			want := Want{Pool: "p", Zone: "z", Share: 1}
			for _, engine := range d.Assign([]Want{want, want, want}) {
				assigned = append(assigned, engine.ID)
			}
			is.Equal(assigned, test.assigned)
		})
	}
}
