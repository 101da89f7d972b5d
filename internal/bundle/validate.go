package bundle

import (
	"fmt"
	"regexp"
)

// Limits on the content of a bundle.
const (
	MaxPartners       = 16
	MaxKeysPerPartner = 8
	MaxPools          = 256
	MaxWorkloads      = 1024
	// MaxTokensBound limits every token count.
	MaxTokensBound = 1 << 24
	// shareTolerance allows for rounding errors in a sum of shares.
	shareTolerance = 1e-9
)

var (
	namePattern      = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)
	modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_./-]{0,126}$`)
)

// Validate checks a bundle that was not decoded from a document. The error is an *Invalid without line numbers.
func Validate(b *Bundle) error {
	found := &problems{}
	validate(b, found)
	return found.err()
}

func validate(b *Bundle, found *problems) {
	if b.Version == 0 || b.Version != b.Base+1 {
		found.add("version", "is %d; must be base + 1", b.Version)
	}
	validatePartners(b, found)
	validatePools(b, found)
	validateWorkloads(b, found)
	validateShares(b, found)
}

func validatePartners(b *Bundle, found *problems) {
	checkLength(found, "partners", len(b.Partners), MaxPartners)
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, partner := range b.Partners {
		path := fmt.Sprintf("partners[%d]", i)
		checkUniqueName(found, path+".name", partner.Name, names)
		checkLength(found, path+".keys", len(partner.Keys), MaxKeysPerPartner)
		for j, key := range partner.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, j)
			if _, err := ParsePublicKey(key); err != nil {
				found.add(keyPath, "%s", err.Error())
			}
			if keys[key] {
				found.add(keyPath, "key is given twice")
			}
			keys[key] = true
		}
	}
}

func validatePools(b *Bundle, found *problems) {
	checkLength(found, "pools", len(b.Pools), MaxPools)
	names := map[string]bool{}
	for i, pool := range b.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		checkUniqueName(found, path+".name", pool.Name, names)
		checkRatio(found, path+".serving_floor", pool.ServingFloor)
	}
	for i, pool := range b.Pools {
		path := fmt.Sprintf("pools[%d].lend_to", i)
		checkPoolNames(b, found, path, pool.LendTo)
		for j, borrower := range pool.LendTo {
			if borrower == pool.Name {
				found.add(fmt.Sprintf("%s[%d]", path, j), "a pool cannot lend to itself")
			}
		}
	}
}

func validateWorkloads(b *Bundle, found *problems) {
	checkLength(found, "workloads", len(b.Workloads), MaxWorkloads)
	names := map[string]bool{}
	for i := range b.Workloads {
		path := fmt.Sprintf("workloads[%d]", i)
		checkUniqueName(found, path+".name", b.Workloads[i].Name, names)
		validateWorkload(b, &b.Workloads[i], path, found)
	}
}

func validateWorkload(b *Bundle, workload *Workload, path string, found *problems) {
	if !hasPartner(b, workload.Partner) {
		found.add(path+".partner", "there is no partner %q", workload.Partner)
	}
	if len(workload.Pools) == 0 {
		found.add(path+".pools", "must not be empty")
	}
	checkPoolNames(b, found, path+".pools", workload.Pools)
	checkRatio(found, path+".share", workload.Share)
	if !modelNamePattern.MatchString(workload.Model) {
		found.add(path+".model", "%q is not a model name", workload.Model)
	}
	if workload.MaxVersion != 0 && workload.MaxVersion < workload.MinVersion {
		found.add(path+".max_version", "is below min_version")
	}
	validateLimits(workload, path, found)
	switch workload.Kind {
	case Training:
		validateTraining(workload, path, found)
	case Interactive:
		validateInteractive(workload, path, found)
	default:
		found.add(path+".kind", "is %q; must be %q or %q", workload.Kind, Training, Interactive)
	}
}

func validateLimits(workload *Workload, path string, found *problems) {
	limits := workload.Limits
	checkTokens(found, path+".limits.max_prompt_tokens", limits.MaxPromptTokens)
	checkTokens(found, path+".limits.max_tokens", limits.MaxTokens)
	if limits.MaxInFlight < 0 {
		found.add(path+".limits.max_in_flight", "must not be negative")
	}
	queuePath := path + ".limits.max_queue"
	if limits.MaxQueue < 0 || (limits.MaxQueue == 0 && found.hasKey(queuePath)) {
		found.add(queuePath, "must be above 0; leave it out for no bound")
	}
}

func validateTraining(workload *Workload, path string, found *problems) {
	validateStaleness(workload.Staleness, path+".staleness", found)
	validateObjective(workload.Objective, path+".objective", found)
	switch workload.Swap {
	case SwapContinue, SwapMove, SwapRestart:
	default:
		found.add(path+".swap", "is %q; must be %q, %q or %q", workload.Swap, SwapContinue, SwapMove, SwapRestart)
	}
	if workload.Scorer != "" && !modelNamePattern.MatchString(workload.Scorer) {
		found.add(path+".scorer", "%q is not a scorer name", workload.Scorer)
	}
	if workload.Limits.MaxStepSamples <= 0 {
		found.add(path+".limits.max_step_samples", "a training workload needs it, above 0")
	}
	checkAbsent(found, path+".limits.timeout", workload.Limits.Timeout != 0, Interactive)
	checkAbsent(found, path+".limits.retry_ratio", workload.Limits.RetryRatio != 0, Interactive)
}

func validateStaleness(staleness *Staleness, path string, found *problems) {
	if staleness == nil {
		found.add(path, "a training workload needs it")
		return
	}
	if staleness.MaxAge <= 0 {
		found.add(path+".max_age", "must be above 0; no sample is that young")
	}
}

func validateObjective(objective *Objective, path string, found *problems) {
	if objective == nil {
		found.add(path, "a training workload needs it")
		return
	}
	if objective.IdleWeight < 0 || objective.StalenessWeight < 0 {
		found.add(path, "weights must not be negative")
	}
	if objective.IdleWeight == 0 && objective.StalenessWeight == 0 {
		found.add(path, "one of the weights must be above 0")
	}
}

func validateInteractive(workload *Workload, path string, found *problems) {
	checkAbsent(found, path+".staleness", workload.Staleness != nil, Training)
	checkAbsent(found, path+".objective", workload.Objective != nil, Training)
	checkAbsent(found, path+".swap", workload.Swap != "", Training)
	checkAbsent(found, path+".scorer", workload.Scorer != "", Training)
	checkAbsent(found, path+".limits.max_step_samples", workload.Limits.MaxStepSamples != 0, Training)
	if workload.Limits.Timeout <= 0 {
		found.add(path+".limits.timeout", "an interactive workload needs it, above 0")
	}
	checkRatio(found, path+".limits.retry_ratio", workload.Limits.RetryRatio)
}

// validateShares checks that the shares of each pool add up to at most 1.
func validateShares(b *Bundle, found *problems) {
	for i, pool := range b.Pools {
		total := 0.0
		for _, workload := range b.Workloads {
			for _, name := range workload.Pools {
				if name == pool.Name {
					total += workload.Share
				}
			}
		}
		if total > 1+shareTolerance {
			found.add(fmt.Sprintf("pools[%d]", i), "the shares of pool %q add up to %.4g; at most 1 is allowed", pool.Name, total)
		}
	}
}

func hasPartner(b *Bundle, name string) bool {
	for _, partner := range b.Partners {
		if partner.Name == name {
			return true
		}
	}
	return false
}

func checkPoolNames(b *Bundle, found *problems, path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if b.Pool(name) == nil {
			found.add(itemPath, "there is no pool %q", name)
		}
		if seen[name] {
			found.add(itemPath, "pool %q is given twice", name)
		}
		seen[name] = true
	}
}

func checkUniqueName(found *problems, path, name string, names map[string]bool) {
	if !namePattern.MatchString(name) {
		found.add(path, "%q is not a name; use a-z, 0-9, '-', '_' and '.', at most 63", name)
	}
	if names[name] {
		found.add(path, "name %q is given twice", name)
	}
	names[name] = true
}

func checkLength(found *problems, path string, length, limit int) {
	if length == 0 {
		found.add(path, "must not be empty")
	}
	if length > limit {
		found.add(path, "has %d items; at most %d are allowed", length, limit)
	}
}

func checkRatio(found *problems, path string, value float64) {
	if !(value >= 0 && value <= 1) {
		found.add(path, "is %g; must be from 0 to 1", value)
	}
}

func checkTokens(found *problems, path string, value int) {
	if value <= 0 || value > MaxTokensBound {
		found.add(path, "is %d; must be from 1 to %d", value, MaxTokensBound)
	}
}

// checkAbsent records a problem if a key is present that is only allowed for workloads of the given kind.
func checkAbsent(found *problems, path string, present bool, kind Kind) {
	if present {
		found.add(path, "is for %s workloads only", kind)
	}
}
