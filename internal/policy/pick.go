package policy

import (
	"slices"
	"strconv"
)

// EngineState is a gateway's view of one engine. It lags behind the engine.
type EngineState struct {
	ID     string
	Pool   string
	Zone   string
	Region string
	// Served maps a model to the last reported version; nil where nothing is known, which excludes nothing.
	Served map[string]uint64
	// InFlight is the number of running and waiting streams: the dispatcher's last report plus those that this gateway
	// sent since.
	InFlight int
	// Slots is the number of streams that run at once; 0 where it is not known.
	Slots int
	// Leaving and Quarantined engines get no new work.
	Leaving     bool
	Quarantined bool
}

// Snapshot is the gateway's knowledge at the time of a choice.
type Snapshot struct {
	Engines []EngineState
	// Zone and Region are those of the gateway.
	Zone   string
	Region string
}

// Request describes the request that needs an engine.
type Request struct {
	Model    string
	Versions VersionBounds
	// Pools names the pools that may run the request, in order of preference.
	Pools []string
	// PrefixHash identifies the start of the prompt; requests with the same one share cache entries. 0 means none.
	PrefixHash uint64
	// Exclude names engines that were tried already.
	Exclude []string
}

// prefixTokens is the number of tokens of a prompt that determine its affinity.
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

// Weights of the scores. A prefix hit is worth a quarter of an engine's slots in load, and less than a zone crossing;
// that in turn is worth less than a full queue.
const (
	loadWeight     = 4.0
	affinityWeight = 1.0
	zoneWeight     = 1.5
	regionWeight   = 3.0
	poolWeight     = 2.0
	// defaultSlots is used while the number of an engine's slots is not known.
	defaultSlots = 8
)

// candidate is an engine that may run a request.
type candidate struct {
	engine *EngineState
	// distance is the cost of the network path from the gateway to the engine.
	distance float64
}

// PickEngine chooses the engine for a request: it filters the engines, scores them and returns the best. ok is false
// where no engine may run the request.
//
// Requests with the same prefix go to the same engine, the first in the prefix's rendezvous order among the nearest
// ones, as long as its load is not much above that of the others. Beyond that they go to the engine with the lowest
// load, and among equals again by rendezvous order, so that a prefix uses few engines however popular it is.
func PickEngine(snapshot Snapshot, request Request) (engineID string, ok bool) {
	candidates := filterEngines(snapshot, request)
	if len(candidates) == 0 {
		return "", false
	}
	prefix := strconv.FormatUint(request.PrefixHash, 16)
	affine := affineEngine(candidates, prefix)
	best, bestScore := candidates[0], scoreEngine(request, candidates[0], affine)
	for _, other := range candidates[1:] {
		score := scoreEngine(request, other, affine)
		if score > bestScore || score == bestScore && other.beats(best, prefix) {
			best, bestScore = other, score
		}
	}
	return best.engine.ID, true
}

// filterEngines returns the engines that may run the request.
func filterEngines(snapshot Snapshot, request Request) []candidate {
	kept := make([]candidate, 0, len(snapshot.Engines))
	for i := range snapshot.Engines {
		engine := &snapshot.Engines[i]
		if mayRun(engine, request) {
			kept = append(kept, candidate{engine: engine, distance: distance(snapshot, engine)})
		}
	}
	return kept
}

func mayRun(engine *EngineState, request Request) bool {
	if engine.Leaving || engine.Quarantined || !slices.Contains(request.Pools, engine.Pool) {
		return false
	}
	if slices.Contains(request.Exclude, engine.ID) {
		return false
	}
	version, known := engine.Served[request.Model]
	return !known || request.Versions.Accept(version)
}

// load returns the ratio of streams in flight to slots.
func load(engine *EngineState) float64 {
	slots := engine.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(engine.InFlight) / float64(slots)
}

// beats orders engines by rendezvous hashing with the prefix.
func (c candidate) beats(other candidate, prefix string) bool {
	own, others := hashOf("prefix", prefix, c.engine.ID), hashOf("prefix", prefix, other.engine.ID)
	return own > others || own == others && c.engine.ID < other.engine.ID
}

// affineEngine returns the first of the nearest engines in the prefix's rendezvous order.
func affineEngine(candidates []candidate, prefix string) string {
	nearest := candidates[0]
	for _, other := range candidates[1:] {
		if other.distance < nearest.distance || other.distance == nearest.distance && other.beats(nearest, prefix) {
			nearest = other
		}
	}
	return nearest.engine.ID
}

func scoreEngine(request Request, scored candidate, affine string) float64 {
	score := -loadWeight*load(scored.engine) - scored.distance
	score -= poolWeight * float64(slices.Index(request.Pools, scored.engine.Pool))
	if request.PrefixHash != 0 && scored.engine.ID == affine {
		score += affinityWeight
	}
	return score
}

func distance(snapshot Snapshot, engine *EngineState) float64 {
	if snapshot.Region != engine.Region {
		return regionWeight
	}
	if snapshot.Zone != engine.Zone {
		return zoneWeight
	}
	return 0
}
