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

// Default values of Timing.
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

// DefaultMaxFacts is the default limit of the facts that a node stores.
const DefaultMaxFacts = 8192

// Config configures a Membership. Self.Node, Network and ListenAddress are required; other zero values take defaults.
type Config struct {
	// Self is this process. An empty GossipAddress is replaced by the address of the socket. State is ignored.
	Self Member
	// Cluster is the cluster's name. Datagrams of other clusters are dropped, in case clusters can reach each other
	// by mistake.
	Cluster string
	Network network.Network
	// ListenAddress is the "ip:port" of the UDP socket.
	ListenAddress string
	// Seeds returns gossip addresses to try when no member is known, or to find parts of the cluster that were
	// partitioned off. It may block until its context ends. The node's own address may be among them.
	Seeds  func(ctx context.Context) []string
	Timing Timing
	// FactClasses set the rules for facts by the longest matching prefix of their keys. A fact without a class does
	// not expire and is gossiped with the probes.
	FactClasses []FactClass
	// MaxFacts limits the number of facts stored; further ones are dropped and counted.
	MaxFacts int
	// Seed makes random choices repeatable; 0 selects a random seed.
	Seed     uint64
	Logger   *log.Logger
	Observer Observer
}

// Timing holds the intervals, timeouts and limits of the protocol. Zero values take the defaults.
type Timing struct {
	// ProbeInterval is the interval between probes; each probes one member.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits for its ack before other members are requested to probe the
	// target.
	ProbeTimeout time.Duration
	// SuspicionMultiplier times the decimal logarithm of the cluster size, in probe intervals, is how long a suspect
	// has to refute.
	SuspicionMultiplier int
	// IndirectProbes is the number of other members that are requested to probe.
	IndirectProbes int
	// FanOut is the number of members that updates are sent to at a time.
	FanOut int
	// BytesPerSecond limits the average send rate, IP and UDP headers included.
	BytesPerSecond int
	// BurstBytes is the maximum number of bytes sent in a burst.
	BurstBytes int
	// SyncInterval is the interval between comparisons of all records with another member.
	SyncInterval time.Duration
	// ReconnectInterval is the interval between attempts to reach a dead member or an unknown seed.
	ReconnectInterval time.Duration
	// ReapAfter is how long a dead member is kept.
	ReapAfter time.Duration
	// SeedInterval is the interval between calls of Seeds; while no member is known it is ProbeInterval.
	SeedInterval time.Duration
}

// FactClass sets the rules for facts whose keys have a prefix.
type FactClass struct {
	Prefix string
	// TimeToLive is how long a fact is kept after it was last set; 0 keeps it without limit.
	TimeToLive time.Duration
	// Urgent facts are sent at once to a few members, each of which forwards them in the same way.
	Urgent bool
}

// DropReason is the reason for dropping a datagram or a record.
type DropReason string

// Reasons for dropping a datagram or a record.
const (
	// DropMalformed means that a datagram was damaged or was not of this protocol or this cluster.
	DropMalformed DropReason = "malformed"
	// DropOverBudget means that a response was not sent because the byte budget was exhausted.
	DropOverBudget DropReason = "over_budget"
	// DropSendFailed means that the network returned an error for a datagram.
	DropSendFailed DropReason = "send_failed"
	// DropTooManyFacts means that a fact exceeded MaxFacts.
	DropTooManyFacts DropReason = "too_many_facts"
)

// Observer receives the sizes of sent and received datagrams and the reasons of drops. Its functions may be nil, must
// not block, and are called from one goroutine. Sizes exclude IP and UDP headers.
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

// Limits of names and values; they ensure that every record fits into a datagram.
const (
	maxNodeBytes     = 64
	maxLocationBytes = 64
	maxFactKeyBytes  = 128
	// MaxFactBytes is the maximum size of a fact's value.
	MaxFactBytes = 96
)

// withDefaults validates the configuration and sets defaults.
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
		return errors.New("a network is required")
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

func setDefault[Number int | time.Duration](value *Number, defaultValue Number) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// factClass returns the class with the longest matching prefix of key, or the zero class if none matches.
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
