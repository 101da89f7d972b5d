package replica

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
	applier := &operatorApplier{decoder: zoneDecoder{}, holder: catalog.NewHolder(), directory: directory, evacuations: newEvacuations(directory, log.New(io.Discard))}
	applier.Apply(keyedlog.Record{Key: "evacuate/zone-a", Value: []byte("{}")}, false)
	_, ok := directory.Acquire(fleet.Want{Pool: "p"})
	is.True(!ok)
	applier.Apply(keyedlog.Record{Key: "evacuate/zone-a"}, false)
	_, ok = directory.Acquire(fleet.Want{Pool: "p"})
	is.True(ok)
}

// TestProgressOfAnEvacuationIsLogged evacuates a zone with one run. An operator must see how much is left there, and when the
// last run has ended, or the zone is switched off too early.
func TestProgressOfAnEvacuationIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		directory.Upsert(fleet.Engine{ID: "e", Pool: "p", Zone: "zone-a", Slots: 1})
		_, ok := directory.Acquire(fleet.Want{Pool: "p"})
		is.True(ok)
		var lines bytes.Buffer
		evacuated := newEvacuations(directory, log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter}))
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { evacuated.run(ctx) })
		evacuated.set("zone-a", true, 1)
		evacuated.set("zone-b", true, 2)
		time.Sleep(2900 * time.Millisecond)
		directory.Release("e")
		time.Sleep(1100 * time.Millisecond)
		evacuated.set("zone-a", false, 3)
		cancel()
		running.Wait()
		is.Equal(strings.Split(strings.TrimSpace(strings.ReplaceAll(lines.String(), "level=info msg=", "")), "\n"), []string{
			`"zone evacuated" zone=zone-a evacuated=true offset=1 runs=1`,
			`"zone evacuated" zone=zone-b evacuated=true offset=2 runs=0`,
			`"evacuated zone has runs left" zone=zone-a runs=1 after=2s`,
			`"evacuated zone has no runs left" zone=zone-a after=3s`,
			`"zone evacuated" zone=zone-a evacuated=false offset=3 runs=0 lasted=4s`,
		})
	})
}
