package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

const configKey = "config"

// Limits of the drain timeout.
const (
	minDrainTimeout = time.Second
	maxDrainTimeout = time.Hour
)

// Definition describes one setting. The operators' reference page is generated from all definitions.
type Definition struct {
	Key     string
	Default string
	Usage   string
	Allowed string
	// apply validates and stores the value. It returns false if the value is not allowed; the settings may be modified even then.
	apply func(*Settings, string) bool
}

// Definitions returns the definitions of all settings, in the order of the reference page.
func Definitions() []Definition {
	return slices.Clone(definitions)
}

const (
	allowedName            = "1 to 63 letters, digits, '-' or '_'"
	allowedAddress         = "IP:PORT"
	allowedAddressOrNone   = "IP:PORT or nothing"
	allowedAddressList     = "IP:PORT, several separated by commas, or nothing"
	allowedLogLevels       = "debug, info, warn or error"
	allowedLogFormats      = "text or json"
	allowedKeys            = "PARTNER=BASE64 of a 32-byte ed25519 public key, several separated by commas"
	allowedDrainTimeout    = "a duration from 1s to 1h, such as 90s"
	defaultPlatformAddress = "127.0.0.1:7500"
)

var definitions = []Definition{
	{Key: "node", Usage: "unique name of this node", Allowed: allowedName,
		apply: name(func(s *Settings) *string { return &s.Node })},
	{Key: "zone", Usage: "zone this machine stands in", Allowed: allowedName,
		apply: name(func(s *Settings) *string { return &s.Zone })},
	{Key: "region", Usage: "region of the zone", Allowed: allowedName,
		apply: name(func(s *Settings) *string { return &s.Region })},
	{Key: "api-listen", Default: "127.0.0.1:7400", Usage: "address for callers, trainers and operators", Allowed: allowedAddress,
		apply: address(func(s *Settings) *string { return &s.APIListen })},
	{Key: "peer-listen", Default: "127.0.0.1:7401", Usage: "address for calls from other nodes (TCP)", Allowed: allowedAddress,
		apply: address(func(s *Settings) *string { return &s.PeerListen })},
	{Key: "gossip-listen", Default: "127.0.0.1:7402", Usage: "address for membership (UDP)", Allowed: allowedAddress,
		apply: address(func(s *Settings) *string { return &s.GossipListen })},
	{Key: "metrics-listen", Default: "127.0.0.1:7403", Usage: "address for /metrics, /healthz and /readyz", Allowed: allowedAddress,
		apply: address(func(s *Settings) *string { return &s.MetricsListen })},
	{Key: "peer-advertise", Usage: "peer address told to other nodes; peer-listen by default", Allowed: allowedAddressOrNone,
		apply: addressOrNone(func(s *Settings) *string { return &s.PeerAdvertise })},
	{Key: "gossip-advertise", Usage: "gossip address told to other nodes; gossip-listen by default", Allowed: allowedAddressOrNone,
		apply: addressOrNone(func(s *Settings) *string { return &s.GossipAdvertise })},
	{Key: "log-address", Default: defaultPlatformAddress, Usage: "the platform's log service", Allowed: allowedAddress,
		apply: address(func(s *Settings) *string { return &s.LogAddress })},
	{Key: "weights-address", Default: defaultPlatformAddress, Usage: "the platform's weight store", Allowed: allowedAddress,
		apply: address(func(s *Settings) *string { return &s.WeightsAddress })},
	{Key: "machines-address", Default: defaultPlatformAddress, Usage: "the platform's machine list", Allowed: allowedAddress,
		apply: address(func(s *Settings) *string { return &s.MachinesAddress })},
	{Key: "scorer-address", Usage: "the scorers, where a workload names one", Allowed: allowedAddressOrNone,
		apply: addressOrNone(func(s *Settings) *string { return &s.ScorerAddress })},
	{Key: "seeds", Usage: "gossip addresses of other nodes", Allowed: allowedAddressList,
		apply: applySeeds},
	{Key: "trusted-keys", Usage: "partners' public keys that sign the first bundle", Allowed: allowedKeys,
		apply: applyTrustedKeys},
	{Key: "drain-timeout", Default: "10m", Usage: "the longest a planned stop waits for work in flight", Allowed: allowedDrainTimeout,
		apply: applyDrainTimeout},
	{Key: "log-level", Default: "info", Usage: "least level that is logged", Allowed: allowedLogLevels,
		apply: oneOf(func(s *Settings) *string { return &s.LogLevel }, "debug", "info", "warn", "error")},
	{Key: "log-format", Default: FormatText, Usage: "form of the log lines", Allowed: allowedLogFormats,
		apply: oneOf(func(s *Settings) *string { return &s.LogFormat }, FormatText, FormatJSON)},
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)

type field func(*Settings) *string

func name(target field) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		return namePattern.MatchString(value)
	}
}

func address(target field) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		return isAddress(value)
	}
}

func addressOrNone(target field) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		return value == "" || isAddress(value)
	}
}

func oneOf(target field, allowed ...string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*target(s) = value
		return slices.Contains(allowed, value)
	}
}

func isAddress(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

func applySeeds(s *Settings, value string) bool {
	for _, seed := range splitList(value) {
		if !isAddress(seed) {
			return false
		}
		s.Seeds = append(s.Seeds, seed)
	}
	return true
}

func applyTrustedKeys(s *Settings, value string) bool {
	s.TrustedKeys = make(map[string][]ed25519.PublicKey)
	for _, item := range splitList(value) {
		partner, encoded, found := strings.Cut(item, "=")
		if !found || !namePattern.MatchString(partner) {
			return false
		}
		key, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return false
		}
		s.TrustedKeys[partner] = append(s.TrustedKeys[partner], ed25519.PublicKey(key))
	}
	return len(s.TrustedKeys) > 0
}

func applyDrainTimeout(s *Settings, value string) bool {
	timeout, err := time.ParseDuration(value)
	s.DrainTimeout = timeout
	return err == nil && timeout >= minDrainTimeout && timeout <= maxDrainTimeout
}

func splitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		item = strings.TrimSpace(item)
		if item != "" {
			items = append(items, item)
		}
	}
	return items
}
