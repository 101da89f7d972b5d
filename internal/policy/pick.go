package policy

import "strconv"

// EngineState is what a gateway knows of one engine. It lags.
type EngineState struct {
	ID     string
	Pool   string
	Zone   string
	Region string
	// Served maps a model to the version last heard of; nil where nothing is known, which excludes nothing.
	Served map[string]uint64
	// InFlight is the streams running and waiting, as the dispatcher last said plus those this gateway sent since.
	InFlight int
	// Slots is how many streams run at once; 0 where it is not known.
	Slots int
	// Leaving and Quarantined engines get no new work.
	Leaving     bool
	Quarantined bool
}

// Snapshot is what a gateway knows when it chooses.
type Snapshot struct {
	Engines []EngineState
	// Zone and Region are the gateway's own.
	Zone   string
	Region string
}

// Request is what a choice depends on.
type Request struct {
	Model    string
	Versions VersionBounds
	// Pools names the pools that may run the request, preferred first.
	Pools []string
	// PrefixHash identifies the start of the prompt; requests with the same one share cache entries. 0 is none.
	PrefixHash uint64
	// Exclude names engines that were tried already.
	Exclude []string
}

// prefixTokens is how many tokens of a prompt decide its affinity.
const prefixTokens = 64

// PrefixHash hashes the first tokens of a prompt; it is never 0.
func PrefixHash(prompt []uint32) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	hash := uint64(offset)
	for _, token := range prompt[:min(len(prompt), prefixTokens)] {
		for shift := 0; shift < 32; shift += 8 {
			hash = (hash ^ uint64(token>>shift&0xff)) * prime
		}
	}
	return max(hash, 1)
}

// Weights of the scores. A crossing of zones costs more than the best prefix hit gains, less than a full queue.
const (
	loadWeight     = 4.0
	affinityWeight = 1.0
	zoneWeight     = 1.5
	regionWeight   = 3.0
	poolWeight     = 2.0
	// affinitySlack bounds the load of an engine that is chosen for its prefix: so many times the mean load.
	affinitySlack = 1.25
	// assumedSlots stands in while an engine's slots are not known.
	assumedSlots = 8
)

// PickEngine chooses the engine for a request: filter, score, pick the best. ok is false where no engine may run it.
func PickEngine(snapshot Snapshot, request Request) (engineID string, ok bool) {
	candidates := filterEngines(snapshot.Engines, request)
	if len(candidates) == 0 {
		return "", false
	}
	home := affineEngine(candidates, request.PrefixHash)
	best := candidates[0]
	bestScore := scoreEngine(snapshot, request, best, home)
	for _, candidate := range candidates[1:] {
		score := scoreEngine(snapshot, request, candidate, home)
		if score > bestScore || score == bestScore && beats(candidate, best, request.PrefixHash) {
			best, bestScore = candidate, score
		}
	}
	return best.ID, true
}

// filterEngines keeps the engines that may run the request.
func filterEngines(engines []EngineState, request Request) []EngineState {
	var kept []EngineState
	for _, engine := range engines {
		if mayRun(engine, request) {
			kept = append(kept, engine)
		}
	}
	return kept
}

func mayRun(engine EngineState, request Request) bool {
	if engine.Leaving || engine.Quarantined || indexOf(request.Pools, engine.Pool) < 0 {
		return false
	}
	if indexOf(request.Exclude, engine.ID) >= 0 {
		return false
	}
	version, known := engine.Served[request.Model]
	return !known || request.Versions.Accept(version)
}

func indexOf(names []string, wanted string) int {
	for i, name := range names {
		if name == wanted {
			return i
		}
	}
	return -1
}

// load is streams in flight over slots.
func load(engine EngineState) float64 {
	slots := engine.Slots
	if slots <= 0 {
		slots = assumedSlots
	}
	return float64(engine.InFlight) / float64(slots)
}

// affineEngine is the first engine in the prefix's rendezvous order whose load is within the bound; empty without a
// prefix. The bound keeps a popular prefix from overloading its engine.
func affineEngine(candidates []EngineState, prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	mean := 0.0
	for _, candidate := range candidates {
		mean += load(candidate) / float64(len(candidates))
	}
	bound := affinitySlack*mean + 1.0/assumedSlots
	home, found := EngineState{}, false
	for _, candidate := range candidates {
		if load(candidate) > bound {
			continue
		}
		if !found || beats(candidate, home, prefix) {
			home, found = candidate, true
		}
	}
	return home.ID
}

// beats orders engines by rendezvous hash with the prefix.
func beats(a, b EngineState, prefix uint64) bool {
	key := strconv.FormatUint(prefix, 16)
	hashA, hashB := hashOf("prefix", key, a.ID), hashOf("prefix", key, b.ID)
	return hashA > hashB || hashA == hashB && a.ID < b.ID
}

func scoreEngine(snapshot Snapshot, request Request, engine EngineState, home string) float64 {
	score := -loadWeight*load(engine) - distance(snapshot, engine)
	score -= poolWeight * float64(indexOf(request.Pools, engine.Pool))
	if engine.ID == home {
		score += affinityWeight
	}
	return score
}

// distance is the cost of the way from the gateway to the engine.
func distance(snapshot Snapshot, engine EngineState) float64 {
	if snapshot.Region != engine.Region {
		return regionWeight
	}
	if snapshot.Zone != engine.Zone {
		return zoneWeight
	}
	return 0
}
