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

// zoneDecoder decodes each key of the operator's topic as an evacuated zone.
type zoneDecoder struct{ RecordDecoder }

func (zoneDecoder) OperatorKey(key string) (OperatorRecord, string) {
	zone, found := strings.CutPrefix(key, "evacuate/")
	if !found {
		return OperatorUnknown, ""
	}
	return OperatorEvacuation, zone
}

// TestZoneIsEvacuatedUntilItsRecordIsDropped applies the operator's record of a zone, and then its drop: the engines of
// the zone must get no work in between.
func TestZoneIsEvacuatedUntilItsRecordIsDropped(t *testing.T) {
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
