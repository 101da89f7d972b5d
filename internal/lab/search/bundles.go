package search

import (
	"fmt"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
)

// Files of the bundles that traces roll.
const (
	firstBundle = "first.yaml"
	raceBundleA = "race-a.yaml"
	raceBundleB = "race-b.yaml"
	tightBundle = "tight.yaml"
	halfBundle  = "half-signed.yaml"
)

// bundleTerms are what differs between the bundles of one trace.
type bundleTerms struct {
	version      int
	share        float64
	maxBehind    int
	maxAge       time.Duration
	swap         string
	draftPools   string
	captionPools string
	callerPools  string
	scorer       bool
}

// drawBundles draws the first bundle, in some traces two that race for its succession, in some one that a partner does not
// sign, and in some one that tightens the bound on staleness later.
func (g *generator) drawBundles() {
	terms := bundleTerms{
		version: 1, share: 0.4, maxBehind: g.between(1, 4), maxAge: g.time(30*time.Second, 10*time.Minute),
		swap:       pick(g, []string{"continue", "move", "restart"}),
		draftPools: g.drawPools(), captionPools: g.drawPools(), callerPools: g.drawPools(), scorer: g.chance(0.5),
	}
	g.addBundle(firstBundle, 0, terms)
	if g.chance(0.4) {
		at := g.time(4*time.Second, g.healedBy()/2)
		terms.version++
		terms.share = 0.3
		g.addBundle(raceBundleA, at, terms)
		terms.share = 0.2
		g.addBundle(raceBundleB, at+g.time(0, 50*time.Millisecond), terms)
	}
	if g.chance(0.15) {
		half := terms
		half.version++
		g.addBundle(halfBundle, g.time(4*time.Second, g.healedBy()), half)
		g.trace.Events[len(g.trace.Events)-1].SignAs = []string{"museums"}
	}
	if g.chance(0.4) {
		terms.version++
		terms.maxBehind = g.between(1, terms.maxBehind)
		terms.maxAge = g.time(10*time.Second, 30*time.Second)
		g.addBundle(tightBundle, g.time(g.healedBy()/2, g.healedBy()), terms)
	}
}

// drawPools draws the pools of a workload, written as a YAML list.
func (g *generator) drawPools() string {
	return "[" + strings.Join(subset(g, g.pools, g.between(1, len(g.pools))), ", ") + "]"
}

func (g *generator) addBundle(file string, at time.Duration, terms bundleTerms) {
	g.trace.Bundles[file] = []byte(g.bundleDocument(terms))
	g.trace.Events = append(g.trace.Events, trace.Event{At: trace.Duration(at), Do: trace.RollBundle, File: file})
}

func (g *generator) bundleDocument(terms bundleTerms) string {
	var text strings.Builder
	fmt.Fprintf(&text, "version: %d\nbase: %d\n", terms.version, terms.version-1)
	text.WriteString("partners:\n")
	for _, partner := range []string{"zollwerk", "museums"} {
		fmt.Fprintf(&text, "  - {name: %s, keys: [\"${KEY:%s}\"]}\n", partner, partner)
	}
	text.WriteString("pools:\n")
	for _, pool := range g.pools {
		fmt.Fprintf(&text, "  - {name: %s, serving_floor: 0.5}\n", pool)
	}
	text.WriteString("workloads:\n")
	writeTraining(&text, draftWorkload, "zollwerk", draftModel, terms.draftPools, terms)
	writeTraining(&text, captionWorkload, "museums", captionModel, terms.captionPools, terms)
	for _, caller := range g.trace.Topology.Callers {
		writeInteractive(&text, caller.Workload, terms)
	}
	return text.String()
}

func writeTraining(text *strings.Builder, workload, partner, model, pools string, terms bundleTerms) {
	fmt.Fprintf(text, "  - name: %s\n    partner: %s\n    kind: training\n    pools: %s\n", workload, partner, pools)
	fmt.Fprintf(text, "    share: %.1f\n    model: %s\n    min_version: 1\n", terms.share, model)
	fmt.Fprintf(text, "    staleness: {max_versions_behind: %d, max_age: %s}\n", terms.maxBehind, terms.maxAge)
	fmt.Fprintf(text, "    objective: {idle_weight: 0.5, staleness_weight: 0.5}\n    swap: %s\n", terms.swap)
	if terms.scorer {
		text.WriteString("    scorer: drafts\n")
	}
	text.WriteString("    limits: {max_prompt_tokens: 4096, max_tokens: 4096, max_step_samples: 4096}\n")
}

func writeInteractive(text *strings.Builder, workload string, terms bundleTerms) {
	fmt.Fprintf(text, "  - name: %s\n    partner: zollwerk\n    kind: interactive\n    pools: %s\n", workload, terms.callerPools)
	fmt.Fprintf(text, "    share: 0.1\n    model: %s\n    min_version: 1\n", draftModel)
	text.WriteString("    limits: {max_prompt_tokens: 4096, max_tokens: 4096, max_in_flight: 100, max_queue: 100, " +
		"timeout: 60s, retry_ratio: 0.2}\n")
}
