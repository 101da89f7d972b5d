// Package node puts the roles of one process together: gateway, step ledger, request ledger, engine dispatcher, bundle
// follower and membership, over a network and the platform's services. Every node is alike and can take every role.
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

// Config is what a node is made from.
type Config struct {
	Settings *settings.Settings
	Network  network.Network
	// Incarnation tells this process from earlier ones of the same node; a later process has the higher one.
	Incarnation uint64
	// Logger may be nil.
	Logger *log.Logger
	// Policy chooses how work is handed out; the zero value is what runs in production.
	Policy policy.Settings
	// Failpoint, if set, is called with the name of each point between two steps of a ledger. Tests stop the process there.
	Failpoint func(name string)
	// Mutations switches mechanisms off; only tests set it.
	Mutations mutation.Set
}

// Node is one process.
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

	stopping  atomic.Bool
	stopAsked chan struct{}
	stopOnce  sync.Once
	cancel    context.CancelFunc
	running   sync.WaitGroup
	failed    chan error
}

type listeners struct {
	api, peer, metrics net.Listener
}

// New opens the node's sockets and puts its roles together. Run must be called, or Kill.
func New(config Config) (*Node, error) {
	logger := config.Logger
	if logger == nil {
		logger = discardLogger()
	}
	n := &Node{
		config:    config,
		logger:    logger.With("node", config.Settings.Node),
		registry:  prometheus.NewRegistry(),
		stopAsked: make(chan struct{}),
		failed:    make(chan error, 1),
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
	opened := []struct {
		address string
		target  *net.Listener
	}{
		{n.config.Settings.APIListen, &n.listeners.api},
		{n.config.Settings.PeerListen, &n.listeners.peer},
		{n.config.Settings.MetricsListen, &n.listeners.metrics},
	}
	for _, item := range opened {
		listener, err := n.config.Network.Listen(item.address)
		if err != nil {
			n.listeners.close()
			return oops.With("address", item.address).Wrapf(err, "listen")
		}
		*item.target = listener
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

// assemble makes the roles, from the rim inwards.
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
	n.gate = newJoinGate(n.shards, n.hasJoinedWhole)
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

// preferenceOfStream places an engine's stream near the engine, and the streams of a workload in the region of its work.
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

// readHeaderTimeout bounds the time in which a client must send its request's header. It also closes connections that
// have not been used yet, and so must be longer than clients keep idle ones: whoever closes a connection under its user
// loses the request that is just being sent.
const readHeaderTimeout = 2 * connectadapter.DefaultIdleTimeout
