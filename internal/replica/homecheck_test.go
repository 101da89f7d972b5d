package replica

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// TestHomesAreCheckedOnceEnginesAreKnown guards against a configuration whose homes have no engine and that no line reports, because the
// list of engines was not read yet when the homes were compared with it.
func TestHomesAreCheckedOnceEnginesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines bytes.Buffer
		r := New(Config{
			Settings: Settings{Node: "n", Zone: "a", Regions: map[string]string{"a": "east", "b": "west"}},
			Log:      memorylog.New(memorylog.Config{Partitions: 1}).For("n"), Logger: log.New(&lines),
		})
		r.catalog.Set(catalog.New(1, []catalog.Route{
			{Name: "bound", Regions: []string{"west"}, Targets: []catalog.Target{{Pool: "p", Weight: 1}}},
		}, nil, catalog.Limits{}))
		r.directory.Upsert(fleet.Engine{ID: "e", Pool: "p", Zone: "a", Slots: 8})
		go r.checkHomes(t.Context())
		time.Sleep(2 * homeCheckDelay)
		r.directory.SetSynced()
		time.Sleep(3 * homeCheckDelay)
		synctest.Wait()
		is.Equal(bytes.Count(lines.Bytes(), []byte(catalog.CauseNoHomeEngine)), 1)
	})
}
