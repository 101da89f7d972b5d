package byhand

import (
	"time"

	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/standin/logservice"
	"github.com/hillfork/hillfork/internal/standin/machinelist"
	"github.com/hillfork/hillfork/internal/standin/scorer"
	"github.com/hillfork/hillfork/internal/standin/server"
	"github.com/hillfork/hillfork/internal/standin/weightstore"
)

// PlatformConfig describes the platform's services.
type PlatformConfig struct {
	// Listen is the one address of all services, "ip:port".
	Listen string
	// MachineLag is how late the machine list is.
	MachineLag time.Duration
	// TransferTime is how long an engine takes to read one version of weights; it must be positive.
	TransferTime time.Duration
	// MaxReaders is how many engines read at once; more are throttled.
	MaxReaders int
}

// Platform is the log service, weight store, machine list and scorer on one address. It keeps everything in memory.
type Platform struct {
	server *server.Server
}

// StartPlatform serves the platform until Close.
func StartPlatform(config PlatformConfig) (*Platform, error) {
	store := weightstore.New(weightstore.TransfersOf(config.TransferTime, config.MaxReaders))
	machines := machinelist.New(machinelist.Config{Lag: config.MachineLag})
	served, err := server.Start(network.System{}, config.Listen,
		logservice.New(logservice.Config{}).Handler,
		store.Handler,
		machines.Handler,
		machines.RegistryHandler,
		scorer.New(scorer.Config{}).Handler,
	)
	if err != nil {
		return nil, err
	}
	return &Platform{server: served}, nil
}

// Address is where the services are.
func (p *Platform) Address() string { return p.server.Address() }

// Close cuts all calls off; what the services held is gone.
func (p *Platform) Close() { p.server.Close() }
