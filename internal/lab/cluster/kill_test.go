package cluster

import (
	"context"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/matryer/is"
)

// lingering is a fabric whose hosts take their time to close a listener, so that whatever a dying process starts meanwhile
// has its effect.
type lingering struct{ *Simulated }

const lingerTime = time.Second

func (f lingering) NewHost(place Place) Host {
	host := f.Simulated.NewHost(place)
	host.Network = lingeringNetwork{host.Network}
	return host
}

type lingeringNetwork struct{ network.Network }

func (n lingeringNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.Network.Listen(address)
	return lingeringListener{listener}, err
}

type lingeringListener struct{ net.Listener }

func (l lingeringListener) Close() error {
	time.Sleep(lingerTime)
	return l.Listener.Close()
}

// TestAKilledNodeWritesNothing kills the only node of a cluster that can still reach the log: no shard may be released.
func TestAKilledNodeWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recorded, err := trace.Load(os.DirFS("../../../traces"), "thin-path")
		is.NoErr(err)
		region := &recorded.Topology.Regions[0]
		region.Zones[1].Nodes, region.Zones[2].Nodes = 0, 0
		c, err := New(t.Context(), Config{
			Trace: recorded, Fabric: lingering{NewSimulated(&recorded.Topology)}, Recorder: check.NewRecorder(),
		})
		is.NoErr(err)
		defer func() {
			c.Close()
			time.Sleep(time.Minute) // the last segments arrive
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = c.RollBundle(ctx, "first.yaml", nil)
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		tail := func(stream string) int64 {
			result, err := c.platform.Log.Read(ctx, stream, 0, platform.ReadOptions{MaxEntries: 1})
			is.NoErr(err)
			return result.Tail
		}
		streams := []string{"engines/drafter-1", "engines/drafter-2", "engines/drafter-3"}
		before := make(map[string]int64)
		for _, stream := range streams {
			before[stream] = tail(stream)
			is.True(before[stream] > 0) // the node owns the engine
		}
		c.nodes[0].kill()
		time.Sleep(10 * time.Second)
		for _, stream := range streams {
			is.Equal(tail(stream), before[stream])
		}
	})
}
