package scale

import (
	"fmt"
	"strings"
)

// bundleDocument writes version number of the bundle: every pool serves one training workload, of which there are eight.
// Versions differ in the staleness bound.
func bundleDocument(version int) []byte {
	var document strings.Builder
	fmt.Fprintf(&document, "version: %d\nbase: %d\npartners:\n", version, version-1)
	for _, partner := range []string{"first", "second"} {
		fmt.Fprintf(&document, "  - {name: %s, keys: [\"${KEY:%s}\"]}\n", partner, partner)
	}
	document.WriteString("pools:\n")
	for pool := range regions * poolsPerRegion {
		fmt.Fprintf(&document, "  - {name: %s, serving_floor: 0.5}\n", poolName(pool))
	}
	document.WriteString("workloads:\n")
	for number := range trainerCount {
		fmt.Fprintf(&document, "  - name: %s\n    partner: first\n    kind: training\n    pools: [%s]\n    share: 0.9\n"+
			"    model: %s\n    min_version: 1\n    staleness: {max_versions_behind: 4, max_age: %dm}\n"+
			"    objective: {idle_weight: 1, staleness_weight: 1}\n    swap: continue\n"+
			"    limits: {max_prompt_tokens: 4096, max_tokens: 32768, max_step_samples: 4096}\n",
			workloadName(number), poolName(number), modelName(number), 30+version)
	}
	return []byte(document.String())
}
