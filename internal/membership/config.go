package membership

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/network"
)

// Defaults of Timing.
const (
	DefaultProbeInterval       = time.Second
	DefaultProbeTimeout        = 400 * time.Millisecond
	DefaultSuspicionMultiplier = 4
	DefaultIndirectProbes      = 3
	DefaultFanOut              = 3
	DefaultBytesPerSecond      = 2048
	DefaultBurstBytes          = 16 * DefaultBytesPerSecond
	DefaultSyncInterval        = 10 * time.Second
	DefaultReconnectInterval   = 5 * time.Second
	DefaultReapAfter           = 30 * time.Minute
	DefaultSeedInterval        = 30 * time.Second
)

// DefaultMaxFacts bounds the facts that a node keeps.
const DefaultMaxFacts = 8192

// Config sets up a Membership. Self.Node, Network, ListenAddress are needed; the other zero values take defaults.
type Config struct {
	// Self is this process. An empty GossipAddress becomes the address that is listened at. State is ignored.
	Self Member
	// Cluster separates clusters that could reach each other by mistake; datagrams of another one are dropped.
	Cluster string
	Network network.Network
	// ListenAddress is the "ip:port" for datagrams.
	ListenAddress string
	// Seeds returns gossip addresses that may be tried when nobody is known, or to find parts of the cluster that were
	// cut off. It may block until its context ends; its own address among them does no harm.
	Seeds  func(ctx context.Context) []string
	Timing Timing
	// FactClasses tell what applies to facts, by the longest prefix of their keys. A fact of no class lives on and
	// spreads with the probes.
	FactClasses []FactClass
	// MaxFacts bounds the facts kept; those beyond it are dropped and counted.
	MaxFacts int
	// Seed makes random choices repeatable; 0 draws one.
	Seed     uint64
	Logger   *log.Logger
	Observer Observer
}

// Timing holds the rates and bounds of the protocol. Zero values take the defaults.
type Timing struct {
	// ProbeInterval is how often one member is probed.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before others are asked to probe.
	ProbeTimeout time.Duration
	// SuspicionMultiplier times the decimal logarithm of the cluster size, in probe intervals, is how long a suspect may
	// take to refute.
	SuspicionMultiplier int
	// IndirectProbes is how many others are asked to probe.
	IndirectProbes int
	// FanOut is how many members are sent news at a time.
	FanOut int
	// BytesPerSecond bounds what is sent on the average, headers of IP and UDP included.
	BytesPerSecond int
	// BurstBytes is how many bytes may be saved up for a burst.
	BurstBytes int
	// SyncInterval is how often the state is compared with that of some other member.
	SyncInterval time.Duration
	// ReconnectInterval is how often a dead member or an unknown seed is tried.
	ReconnectInterval time.Duration
	// ReapAfter is how long a dead member is remembered.
	ReapAfter time.Duration
	// SeedInterval is how often the seeds are asked for; while nobody is known it is the probe interval.
	SeedInterval time.Duration
}

// FactClass tells what applies to facts whose keys have a prefix.
type FactClass struct {
	Prefix string
	// TimeToLive is how long a fact stays after it was last set; 0 keeps it.
	TimeToLive time.Duration
	// Urgent facts are sent at once to a few members, each of which does the same.
	Urgent bool
}

// DropReason tells why a datagram or a record was dropped.
type DropReason string

// Reasons to drop.
const (
	// DropMalformed says that a datagram was not of this protocol or this cluster, or was damaged.
	DropMalformed DropReason = "malformed"
	// DropOverBudget says that an answer was not sent because the byte budget was used up.
	DropOverBudget DropReason = "over_budget"
	// DropSendFailed says that the network refused a datagram.
	DropSendFailed DropReason = "send_failed"
	// DropTooManyFacts says that a fact did not fit any more.
	DropTooManyFacts DropReason = "too_many_facts"
)

// Observer is told what is sent and received. Its functions may be nil, must not block, and are called from one
// goroutine. Bytes are those of the datagrams without headers of IP and UDP.
type Observer struct {
	Sent     func(bytes int)
	Received func(bytes int)
	Dropped  func(reason DropReason)
}

func (o Observer) sent(bytes int) {
	if o.Sent != nil {
		o.Sent(bytes)
	}
}

func (o Observer) received(bytes int) {
	if o.Received != nil {
		o.Received(bytes)
	}
}

func (o Observer) dropped(reason DropReason) {
	if o.Dropped != nil {
		o.Dropped(reason)
	}
}

// Bounds of names, so that every record fits a datagram.
const (
	maxNodeBytes     = 64
	maxLocationBytes = 64
	maxFactKeyBytes  = 128
	// MaxFactBytes bounds the value of a fact.
	MaxFactBytes = 96
)

// withDefaults checks the configuration and fills in what is not set.
func (c Config) withDefaults() (Config, error) {
	if err := c.check(); err != nil {
		return c, oops.In("membership").With("node", c.Self.Node).Wrap(err)
	}
	c.Logger = cmp.Or(c.Logger, log.New(io.Discard))
	if c.Seeds == nil {
		c.Seeds = func(context.Context) []string { return nil }
	}
	setDefault(&c.MaxFacts, DefaultMaxFacts)
	c.Timing = c.Timing.withDefaults()
	return c, nil
}

func (c Config) check() error {
	if c.Network == nil {
		return errors.New("a network is needed")
	}
	if c.Self.Node == "" || len(c.Self.Node) > maxNodeBytes {
		return errors.New("the node's name must have 1 to 64 bytes")
	}
	if len(c.Self.Zone) > maxLocationBytes || len(c.Self.Region) > maxLocationBytes {
		return errors.New("zone and region may have up to 64 bytes")
	}
	if _, err := netip.ParseAddrPort(c.Self.PeerAddress); c.Self.PeerAddress != "" && err != nil {
		return oops.Wrapf(err, "peer address")
	}
	if _, err := netip.ParseAddrPort(c.Self.GossipAddress); c.Self.GossipAddress != "" && err != nil {
		return oops.Wrapf(err, "gossip address")
	}
	return nil
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.ProbeInterval, DefaultProbeInterval)
	setDefault(&t.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&t.SuspicionMultiplier, DefaultSuspicionMultiplier)
	setDefault(&t.IndirectProbes, DefaultIndirectProbes)
	setDefault(&t.FanOut, DefaultFanOut)
	setDefault(&t.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&t.BurstBytes, DefaultBurstBytes)
	setDefault(&t.SyncInterval, DefaultSyncInterval)
	setDefault(&t.ReconnectInterval, DefaultReconnectInterval)
	setDefault(&t.ReapAfter, DefaultReapAfter)
	setDefault(&t.SeedInterval, DefaultSeedInterval)
	return t
}

func setDefault[Number int | time.Duration](value *Number, standard Number) {
	if *value <= 0 {
		*value = standard
	}
}

// factClass returns the class of the longest prefix of key; the zero class where none fits.
func (c Config) factClass(key string) FactClass {
	var best FactClass
	for _, class := range c.FactClasses {
		longer := len(class.Prefix) >= len(best.Prefix)
		if longer && strings.HasPrefix(key, class.Prefix) {
			best = class
		}
	}
	return best
}
