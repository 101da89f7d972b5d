package cluster

import (
	"net"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/standin/logservice"
	"github.com/hillfork/hillfork/internal/standin/machinelist"
	"github.com/hillfork/hillfork/internal/standin/scorer"
	"github.com/hillfork/hillfork/internal/standin/server"
	"github.com/hillfork/hillfork/internal/standin/weightstore"
)

const platformPort = "7500"

// bundleStream is the stream on which operators publish.
const bundleStream = "bundles"

// Platform is the set of stand-ins for the platform's services, on one host.
type Platform struct {
	Address  string
	Log      *logservice.Service
	Store    *weightstore.Store
	Machines *machinelist.List
	Scorer   *scorer.Scorer

	server *server.Server
}

// newPlatform serves the platform's services. The recorder hears of each bundle as the log accepts it.
func newPlatform(host Host, topology *trace.Topology, keys *Keys, recorder *check.Recorder) (*Platform, error) {
	p := &Platform{
		Address:  net.JoinHostPort(host.IP, platformPort),
		Log:      logservice.New(logservice.Config{Seed: topology.Seed, Observer: observeBundles(keys.Trusted(), recorder)}),
		Store:    weightstore.New(weightstore.TransfersOf(time.Duration(topology.Store.TransferTime), topology.Store.MaxReaders)),
		Machines: machinelist.New(machinelist.Config{Lag: time.Duration(topology.MachineListLag)}),
		Scorer:   scorer.New(scorer.Config{}),
	}
	var err error
	p.server, err = server.Start(host.Network, p.Address, p.Log.Handler, p.Store.Handler, p.Machines.Handler, p.Scorer.Handler)
	if err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Platform) close() { p.server.Close() }

// observeBundles folds the bundle stream beside the nodes, and records when each bundle was accepted.
func observeBundles(trusted bundle.TrustedKeys, recorder *check.Recorder) logservice.Observer {
	fold := bundle.NewFold(trusted)
	return func(stream string, offset int64, payload []byte) {
		if stream != bundleStream {
			return
		}
		before := fold.Version()
		fold.Apply(offset, payload)
		if fold.Version() == before {
			return
		}
		accepted := check.BundleAccepted{
			Version: fold.Version(), At: time.Now(), Bounds: boundsOf(&fold.Current().Bundle),
		}
		recorder.Record(func(o *check.Observations) { o.Bundles = append(o.Bundles, accepted) })
	}
}

func boundsOf(b *bundle.Bundle) map[string]check.Bound {
	bounds := make(map[string]check.Bound)
	for _, workload := range b.Workloads {
		if workload.Staleness == nil {
			continue
		}
		bounds[workload.Name] = check.Bound{
			MaxVersionsBehind: workload.Staleness.MaxVersionsBehind,
			MaxAge:            workload.Staleness.MaxAge.Std(),
		}
	}
	return bounds
}

// partnersOf lists the partners of a bundle, in order of name.
func partnersOf(b *bundle.Bundle) []string {
	var names []string
	for _, partner := range b.Partners {
		names = append(names, partner.Name)
	}
	slices.Sort(names)
	return names
}
