package replica

import (
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
)

// zoneDecoder takes each key of the operator's topic for a zone that is evacuated.
type zoneDecoder struct{ RecordDecoder }

func (zoneDecoder) OperatorKey(key string) (OperatorRecord, string) {
	zone, found := strings.CutPrefix(key, "evacuate/")
	if !found {
		return OperatorUnknown, ""
	}
	return OperatorEvacuation, zone
}

// TestAZoneIsEvacuatedUntilItsRecordIsDropped applies the operator's record of a zone, and its drop.
func TestAZoneIsEvacuatedUntilItsRecordIsDropped(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	directory.Upsert(fleet.Engine{ID: "e", Pool: "p", Zone: "zone-a", Slots: 1})
	applier := &operatorApplier{decoder: zoneDecoder{}, holder: catalog.NewHolder(), directory: directory, logger: log.New(io.Discard)}
	applier.Apply(keyedlog.Record{Key: "evacuate/zone-a", Value: []byte("{}")}, false)
	_, ok := directory.Acquire(fleet.Want{Pool: "p"})
	is.True(!ok)
	applier.Apply(keyedlog.Record{Key: "evacuate/zone-a"}, false)
	_, ok = directory.Acquire(fleet.Want{Pool: "p"})
	is.True(ok)
}
