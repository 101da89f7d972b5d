// Package settings reads and checks what a node is told at its start: flags, then HILLFORK_ environment variables, then a
// YAML settings file, the first that names a key winning. Every value is checked; a bad one is reported with its key, the
// value and what is allowed. What operators change while the system runs is in the bundle, not here.
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

// EnvironmentPrefix starts the names of the environment variables that are read.
const EnvironmentPrefix = "HILLFORK"

// Settings is the checked configuration of one node.
type Settings struct {
	Node   string
	Zone   string
	Region string

	// Listen addresses, "ip:port".
	APIListen     string
	PeerListen    string
	GossipListen  string
	MetricsListen string
	// PeerAdvertise and GossipAdvertise are the addresses that other nodes are told; the listen addresses by default.
	PeerAdvertise   string
	GossipAdvertise string

	// Addresses of the platform's services.
	LogAddress      string
	WeightsAddress  string
	MachinesAddress string
	// ScorerAddress is empty where no workload names a scorer.
	ScorerAddress string

	// Seeds are gossip addresses of other nodes; the machine list serves where there is none.
	Seeds []string
	// TrustedKeys are the partners' public keys that sign the first bundle.
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

// ErrHelp says that help was asked for and has been written.
var ErrHelp = errors.New("help was asked for")

// InvalidError names a setting whose value is not allowed.
type InvalidError struct {
	Key     string
	Value   string
	Allowed string
}

// Error names the key, the value and what is allowed.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("setting %s: %q is not allowed; allowed: %s", e.Key, e.Value, e.Allowed)
}

// Parse reads args (without the program's name) and the environment, and checks every setting. All that is wrong is
// reported in one error, of which each part is an *InvalidError. Help goes to helpOutput and yields ErrHelp.
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
