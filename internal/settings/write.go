package settings

import (
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// YAML returns the settings as the content of a settings file that Parse accepts.
func (s *Settings) YAML() string {
	lines := []struct{ key, value string }{
		{"node", s.Node}, {"zone", s.Zone}, {"region", s.Region},
		{"api-listen", s.APIListen}, {"peer-listen", s.PeerListen}, {"gossip-listen", s.GossipListen},
		{"metrics-listen", s.MetricsListen}, {"peer-advertise", s.PeerAdvertise}, {"gossip-advertise", s.GossipAdvertise},
		{"log-address", s.LogAddress}, {"weights-address", s.WeightsAddress}, {"machines-address", s.MachinesAddress},
		{"scorer-address", s.ScorerAddress}, {"seeds", strings.Join(s.Seeds, ",")},
		{"trusted-keys", s.trustedKeysText()}, {"drain-timeout", s.DrainTimeout.String()},
		{"log-level", s.LogLevel}, {"log-format", s.LogFormat},
	}
	var file strings.Builder
	for _, line := range lines {
		if line.value != "" {
			fmt.Fprintf(&file, "%s: %q\n", line.key, line.value)
		}
	}
	return file.String()
}

func (s *Settings) trustedKeysText() string {
	var items []string
	for _, partner := range slices.Sorted(maps.Keys(s.TrustedKeys)) {
		for _, key := range s.TrustedKeys[partner] {
			items = append(items, partner+"="+base64.StdEncoding.EncodeToString(key))
		}
	}
	return strings.Join(items, ",")
}
