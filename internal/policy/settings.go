package policy

// Settings select between scheduling strategies. The zero value is the production strategy; the lab uses others to
// measure what each is worth. Settings belong to a process, not to the bundle: they never change what may be delivered,
// only when and where it is made.
type Settings struct {
	// ArrivalOrder dispatches samples in the order of their submission, whatever their predicted length.
	ArrivalOrder bool `yaml:"arrival_order" json:"arrival_order,omitempty"`
	// WholePoolSwap lets all engines of a pool load new weights at once.
	WholePoolSwap bool `yaml:"whole_pool_swap" json:"whole_pool_swap,omitempty"`
	// LeastLoaded chooses engines for requests by load alone.
	LeastLoaded bool `yaml:"least_loaded" json:"least_loaded,omitempty"`
	// LookAhead, if set, limits how many steps beyond the one that the trainer fetches are begun; if unset, the bundle's
	// objective decides. 0.25 is a quarter of the samples of the next step.
	LookAhead *float64 `yaml:"look_ahead" json:"look_ahead,omitempty"`
	// AnyVersion begins samples on engines with an old version although their workload prefers fresh ones.
	AnyVersion bool `yaml:"any_version" json:"any_version,omitempty"`
}

// Baseline returns the strategy that the others are compared with: first in first out, least loaded, whole-pool swaps,
// no look-ahead.
func Baseline() Settings {
	none := 0.0
	return Settings{ArrivalOrder: true, WholePoolSwap: true, LeastLoaded: true, LookAhead: &none, AnyVersion: true}
}
