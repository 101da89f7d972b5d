// Package node assembles the roles of one process: gateway, step ledger, request ledger, engine dispatcher, bundle
// follower and membership, on a network and the services of the platform. All nodes run the same roles.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/accounting"
	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/clientconn"
	"github.com/hillfork/hillfork/internal/dispatch"
	"github.com/hillfork/hillfork/internal/gateway"
	"github.com/hillfork/hillfork/internal/machines"
	"github.com/hillfork/hillfork/internal/membership"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/requestledger"
	"github.com/hillfork/hillfork/internal/route"
	"github.com/hillfork/hillfork/internal/settings"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/stepledger"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
)

// Config holds the settings and dependencies of a node.
type Config struct {
	Settings *settings.Settings
	Network  network.Network
	// Incarnation distinguishes this process from earlier processes of the same node; a later process has a higher value.
	Incarnation uint64
	// Logger receives the log; nil discards it.
	Logger *log.Logger
	// Policy selects how work is assigned; production uses the zero value.
	Policy policy.Settings
	// Failpoint, if set, is called between the steps of a ledger with the name of the point. Tests stop the process there.
	Failpoint func(name string)
	// Mutations disables mechanisms; only tests set it.
	Mutations mutation.Set
}

// Node is one process with all its roles.
type Node struct {
	config   Config
	logger   *log.Logger
	registry *prometheus.Registry

	adapter    *connectadapter.Adapter
	membership *membership.Membership
	directory  *machines.Directory
	follower   *bundle.Follower
	homes      *workloadHomes
	exchange   *bundleExchange
	peerClient *peer.Client
	peerServer *peer.Server
	shards     *shard.Manager
	gate       *joinGate
	steps      *stepledger.Service
	requests   *requestledger.Service
	dispatcher *dispatch.Dispatcher
	gateway    *gateway.Gateway

	listeners   listeners
	connections clientconn.Tracker
	apiServer   *http.Server
	metrics     *http.Server

	stopping      atomic.Bool
	stopRequested chan struct{}
	stopOnce      sync.Once
	cancel        context.CancelFunc
	running       sync.WaitGroup
	failed        chan error
}

type listeners struct {
	api, peer, metrics net.Listener
}

// New opens the sockets of the node and assembles its roles. The caller must call Run, which also releases the sockets.
func New(config Config) (*Node, error) {
	logger := config.Logger
	if logger == nil {
		logger = discardLogger()
	}
	n := &Node{
		config:        config,
		logger:        logger.With("node", config.Settings.Node),
		registry:      prometheus.NewRegistry(),
		stopRequested: make(chan struct{}),
		failed:        make(chan error, 1),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.assemble(); err != nil {
		n.listeners.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	sockets := []struct {
		address string
		target  *net.Listener
	}{
		{n.config.Settings.APIListen, &n.listeners.api},
		{n.config.Settings.PeerListen, &n.listeners.peer},
		{n.config.Settings.MetricsListen, &n.listeners.metrics},
	}
	for _, socket := range sockets {
		listener, err := n.config.Network.Listen(socket.address)
		if err != nil {
			n.listeners.close()
			return oops.With("address", socket.address).Wrapf(err, "listen")
		}
		*socket.target = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.api, l.peer, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// assemble creates the roles in the order of their dependencies.
func (n *Node) assemble() error {
	s := n.config.Settings
	counters := accounting.New(n.registry)
	n.adapter = connectadapter.New(n.config.Network, connectadapter.Options{})
	var platformLog platform.Log = accounting.Log{Next: n.adapter.Log(s.LogAddress), Counters: counters}

	if err := n.joinCluster(counters); err != nil {
		return err
	}
	facts := factSource{n.membership}
	n.directory = machines.New(machines.Config{
		Mutations: n.config.Mutations,
		List:      accounting.MachineList{Next: n.adapter.MachineList(s.MachinesAddress), Counters: counters},
		Facts:     facts,
		Logger:    n.logger.With("role", "machines"),
	})
	n.peerClient = peer.NewClient(n.config.Network, peer.ClientOptions{Observer: counters, Logger: n.logger.With("role", "peer")})
	n.peerServer = peer.NewServer(peer.ServerOptions{Observer: counters, Logger: n.logger.With("role", "peer")})
	n.follow(platformLog)
	n.homes = newWorkloadHomes(n.follower, n.directory)

	placer := placement.NewRendezvous(n.self(), n.membership)
	n.shards = n.newShardManager(platformLog, placer)
	n.gate = newJoinGate(n.shards, n.knowsAllListed)
	owners := ownerCaller{
		router:       route.New(route.Config{Caller: n.peerClient, Placer: placer}),
		preferenceOf: n.preferenceOfStream,
	}
	n.assembleLedgersAndDispatch(owners, placer, facts, counters)
	n.gateway = gateway.New(gateway.Config{
		Self:        n.self(),
		Owners:      owners,
		Nodes:       n.peerClient,
		Members:     memberDirectory{n.membership},
		Engines:     n.directory,
		Bundles:     n.follower,
		BundleAdmin: n.follower,
		Picker:      gateway.PolicyPicker{LeastLoaded: n.config.Policy.LeastLoaded},
		Logger:      n.logger.With("role", "gateway"),
		Metrics:     n.registry,
	})
	n.requests = requestledger.New(requestledger.Config{
		Mutations:  n.config.Mutations,
		Opener:     n.gate,
		Dispatcher: n.gateway.Router(),
		Owners:     owners,
		Bundles:    n.follower,
		Logger:     n.logger.With("role", "requests"),
		Failpoint:  n.requestFailpoint(),
	})
	n.register()
	n.registerMetrics()
	n.apiServer = &http.Server{
		Handler:           clientconn.CloseWhileStopping(n.gateway.Handler(), n.stopping.Load, 0),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         n.connections.Observe,
	}
	n.metrics = &http.Server{Handler: n.statusHandler(), ReadHeaderTimeout: readHeaderTimeout}
	return nil
}

func (n *Node) joinCluster(counters *accounting.Counters) error {
	s := n.config.Settings
	var err error
	n.membership, err = membership.New(membership.Config{
		Self: membership.Member{
			Node: s.Node, Incarnation: n.config.Incarnation, GossipAddress: s.GossipAdvertise, PeerAddress: s.PeerAdvertise,
			Zone: s.Zone, Region: s.Region,
		},
		Network:       n.config.Network,
		ListenAddress: s.GossipListen,
		Seeds:         n.seeds,
		FactClasses:   factClasses,
		Logger:        n.logger.With("role", "membership"),
		Observer: membership.Observer{
			Sent:     func(bytes int) { counters.Sent(accounting.Membership, bytes) },
			Received: func(bytes int) { counters.Received(accounting.Membership, bytes) },
			Dropped:  newDropCounter(n.registry),
		},
	})
	return oops.Wrapf(err, "join the cluster")
}

func (n *Node) follow(platformLog platform.Log) {
	n.follower = bundle.NewFollower(bundle.FollowerConfig{
		Mutations:  n.config.Mutations,
		Log:        platformLog,
		Trusted:    n.config.Settings.TrustedKeys,
		Logger:     n.logger.With("role", "bundle"),
		OnAccepted: func(accepted *bundle.Accepted) { n.exchange.announce(accepted) },
	})
	n.exchange = &bundleExchange{
		follower:   n.follower,
		membership: n.membership,
		caller:     n.peerClient,
		logger:     n.logger.With("role", "bundle"),
	}
}

func (n *Node) newShardManager(platformLog platform.Log, placer placement.Placer) *shard.Manager {
	return shard.NewManager(shard.Config{
		Mutations: n.config.Mutations,
		Log:       platformLog,
		Identity: shard.Identity{
			Node: n.config.Settings.Node, Incarnation: n.config.Incarnation, PeerAddress: n.config.Settings.PeerAdvertise,
		},
		Placer:     placer,
		Preference: n.preferenceOfStream,
		NewState:   newState,
		Alive:      aliveIn(n.membership),
		OnHandover: n.onHandover,
		Logger:     n.logger.With("role", "shards"),
	})
}

func (n *Node) assembleLedgersAndDispatch(
	owners ownerCaller, placer placement.Placer, facts factSource, counters *accounting.Counters,
) {
	s := n.config.Settings
	scorerAddress := s.ScorerAddress
	var scorer platform.Scorer
	if scorerAddress != "" {
		scorer = n.adapter.Scorer(scorerAddress)
	}
	n.steps = stepledger.New(stepledger.Config{
		Mutations: n.config.Mutations,
		Opener:    n.gate,
		Bundles:   n.follower,
		Confirmer: n.follower,
		Scorer:    scorer,
		Logger:    n.logger.With("role", "steps"),
		OnVersion: func(workload string, version uint64) { facts.SetFact(dispatch.WeightFactKey(workload), version, nil) },
		Policy:    n.config.Policy,
		Failpoint: n.config.Failpoint,
	})
	n.dispatcher = dispatch.New(dispatch.Config{
		Mutations: n.config.Mutations,
		Placer:    placer,
		Joined:    n.hasJoined,
		Opener:    n.gate,
		Directory: n.directory,
		Dialer:    accounting.EngineDialer{Next: n.adapter, Counters: counters},
		Bundles:   n.follower,
		Ledger:    owners,
		Weights:   n.adapter.WeightStore(s.WeightsAddress),
		Facts:     facts,
		Policy:    n.config.Policy,
		Logger:    n.logger.With("role", "dispatch"),
	})
}

func (n *Node) register() {
	n.exchange.register(n.peerServer)
	n.steps.Register(n.peerServer)
	n.requests.Register(n.peerServer)
	n.dispatcher.Register(n.peerServer)
	n.registerAdmin(n.peerServer)
}

func (n *Node) self() placement.Member {
	s := n.config.Settings
	return placement.Member{Node: s.Node, PeerAddress: s.PeerAdvertise, Zone: s.Zone, Region: s.Region}
}

// preferenceOfStream returns the preferred placement of a stream: near the engine for the stream of an engine, and in the
// region of the workload's engines for a stream of a workload.
func (n *Node) preferenceOfStream(stream string) placement.Preference {
	if engine, isEngine := engineOfStream(stream); isEngine {
		return n.directory.Preference(engine)
	}
	if workload, isWorkload := workloadOfStream(stream); isWorkload {
		return n.homes.of(workload)
	}
	return placement.Preference{}
}

func (n *Node) onHandover(ctx context.Context, stream string) {
	if _, isEngine := engineOfStream(stream); isEngine {
		n.dispatcher.Handover(ctx, stream)
		return
	}
	n.steps.OnHandover(ctx, stream)
	n.requests.OnHandover(ctx, stream)
}

// readHeaderTimeout limits the time for reading the header of a request. The server also closes connections that were never
// used after this time, so it must be longer than the idle timeout of the clients: if the server closes a connection first,
// a request that the client is sending at that moment is lost.
const readHeaderTimeout = 2 * connectadapter.DefaultIdleTimeout
