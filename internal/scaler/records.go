package scaler

//go:generate go tool msgp -tests=false -unexported

// orders is the record of the number of preemptible engines last ordered, by pool and zone.
type orders struct {
	Counts map[string]map[string]int `msg:"counts"`
}
