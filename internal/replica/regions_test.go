package replica

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// sentNothing is a client that reaches no engine.
type sentNothing struct{ engineapi.Client }

func (sentNothing) Send(context.Context, fleet.Engine, engineapi.Call) (*engineapi.Reply, error) {
	return nil, errors.New("not reached")
}

// TestBytesToOtherRegionsAreCounted guards against a metric that counts traffic within the region, or of engines whose region is not known,
// and checks that a fleet of one region calls its engines directly.
func TestBytesToOtherRegionsAreCounted(t *testing.T) {
	for other, want := range map[string]int64{"west": 300, "east": 0} {
		is := is.New(t)
		r := New(Config{
			Settings: Settings{Node: "n", Zone: "a", Regions: map[string]string{"a": "east", "b": other}},
			Log:      memorylog.New(memorylog.Config{Partitions: 1}).For("n"), Client: sentNothing{}, Logger: log.New(io.Discard),
		})
		for _, region := range []string{"east", "west", "west", "west", ""} {
			_, err := r.config.Client.Send(t.Context(), fleet.Engine{Region: region}, engineapi.Call{Body: make([]byte, 100)})
			is.True(err != nil)
		}
		meter, metered := r.config.Client.(*regionMeter)
		is.Equal(metered, want > 0)
		if metered {
			is.Equal(meter.sent.Load(), want)
		}
	}
}
