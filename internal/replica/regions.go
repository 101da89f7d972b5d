package replica

import (
	"context"
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

// regionMeter counts the bytes that are sent to engines in other regions.
type regionMeter struct {
	engineapi.Client
	region string
	sent   atomic.Int64
}

// meterRegions returns a client whose bytes to engines in other regions are counted, or the client itself in a fleet of one
// region.
func (r *Replica) meterRegions(client engineapi.Client) engineapi.Client {
	meter := &regionMeter{Client: client, region: r.config.Settings.ownRegion()}
	r.metrics.otherRegions(meter.sent.Load)
	if len(r.config.Settings.regions()) < 2 {
		return client
	}
	return meter
}

// Send implements engineapi.Client and counts the bytes of the body.
func (m *regionMeter) Send(ctx context.Context, engine fleet.Engine, call engineapi.Call) (*engineapi.Reply, error) {
	if m.region != "" && engine.Region != "" && engine.Region != m.region {
		m.sent.Add(int64(len(call.Body)))
	}
	return m.Client.Send(ctx, engine, call)
}
