package policy

// Settings choose between the ways in which work can be handed out. The zero value is what runs in production; the lab
// sets others to measure what each is worth. Settings are a property of a process, not of the bundle: they never change
// what may be delivered, only when and where it is made.
type Settings struct {
	// ArrivalOrder gives samples out in the order of their submission, whatever their predicted length.
	ArrivalOrder bool `yaml:"arrival_order" json:"arrival_order,omitempty"`
	// WholePoolSwap lets all engines of a pool load new weights at once.
	WholePoolSwap bool `yaml:"whole_pool_swap" json:"whole_pool_swap,omitempty"`
	// LeastLoaded chooses engines for requests by load alone.
	LeastLoaded bool `yaml:"least_loaded" json:"least_loaded,omitempty"`
	// LookAhead, if set, bounds how many steps beyond the one that the trainer fetches are worked on; unset leaves it to
	// the bundle's objective. 0.25 is a quarter of the samples of the next step.
	LookAhead *float64 `yaml:"look_ahead" json:"look_ahead,omitempty"`
	// AnyVersion begins samples on engines with an old version although their workload prefers fresh ones.
	AnyVersion bool `yaml:"any_version" json:"any_version,omitempty"`
}

// Baseline is the way against which the others are measured: first in first out, least loaded, whole-pool swaps, no
// look-ahead.
func Baseline() Settings {
	none := 0.0
	return Settings{ArrivalOrder: true, WholePoolSwap: true, LeastLoaded: true, LookAhead: &none, AnyVersion: true}
}
