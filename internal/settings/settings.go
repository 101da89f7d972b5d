// Package settings reads and validates a node's startup configuration. Flags take precedence over HILLFORK_ environment
// variables, which take precedence over a YAML settings file. Every value is validated; an invalid one is reported with its
// key, the value and the allowed values. Configuration that operators change at run time is in the bundle, not here.
package settings

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/peterbourgon/ff/v4/ffyaml"
)

// EnvironmentPrefix is the prefix of the environment variables that are read.
const EnvironmentPrefix = "HILLFORK"

// Settings is the validated configuration of one node.
type Settings struct {
	Node   string
	Zone   string
	Region string

	// Listen addresses, "ip:port".
	APIListen     string
	PeerListen    string
	GossipListen  string
	MetricsListen string
	// PeerAdvertise and GossipAdvertise are the addresses advertised to other nodes; they default to the listen addresses.
	PeerAdvertise   string
	GossipAdvertise string

	// Addresses of the platform's services.
	LogAddress      string
	WeightsAddress  string
	MachinesAddress string
	// ScorerAddress may be empty if no workload names a scorer.
	ScorerAddress string

	// Seeds are gossip addresses of other nodes. If there are none, the machine list is used.
	Seeds []string
	// TrustedKeys are the public keys, by partner, that verify the signatures of the first bundle.
	TrustedKeys map[string][]ed25519.PublicKey

	DrainTimeout time.Duration
	LogLevel     string
	LogFormat    string
}

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// ErrHelp is returned by Parse if help was requested and has been written.
var ErrHelp = errors.New("help was asked for")

// InvalidError reports a setting whose value is not allowed.
type InvalidError struct {
	Key     string
	Value   string
	Allowed string
}

// Error returns a message with the key, the value and the allowed values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("setting %s: %q is not allowed; allowed: %s", e.Key, e.Value, e.Allowed)
}

// Parse reads args (without the program's name), the environment and the settings file, and validates every setting. All
// invalid values are reported in one joined error, of which each part is an *InvalidError. If help is requested, Parse
// writes it to helpOutput and returns ErrHelp.
func Parse(program string, args []string, helpOutput io.Writer) (*Settings, error) {
	flags := ff.NewFlagSet(program)
	raw := make(map[string]*string, len(definitions))
	for _, definition := range definitions {
		raw[definition.Key] = flags.StringLong(definition.Key, definition.Default, definition.Usage)
	}
	flags.StringLong(configKey, "", "settings file (YAML) to read")
	err := ff.Parse(flags, args,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag(configKey),
		ff.WithConfigFileParser(ffyaml.Parse),
	)
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(helpOutput, ffhelp.Flags(flags))
		return nil, ErrHelp
	}
	if err != nil {
		return nil, err
	}
	if extra := flags.GetArgs(); len(extra) > 0 {
		return nil, &InvalidError{Key: "(argument)", Value: strings.Join(extra, " "), Allowed: "flags only"}
	}
	return check(raw)
}

func check(raw map[string]*string) (*Settings, error) {
	result := &Settings{}
	var problems []error
	for _, definition := range definitions {
		value := strings.TrimSpace(*raw[definition.Key])
		if definition.apply(result, value) {
			continue
		}
		problems = append(problems, &InvalidError{Key: definition.Key, Value: value, Allowed: definition.Allowed})
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	if result.PeerAdvertise == "" {
		result.PeerAdvertise = result.PeerListen
	}
	if result.GossipAdvertise == "" {
		result.GossipAdvertise = result.GossipListen
	}
	return result, nil
}
