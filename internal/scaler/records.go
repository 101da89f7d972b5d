package scaler

//go:generate go tool msgp -tests=false -unexported

// orders is the record of how many preemptible engines were ordered last, by pool and zone.
type orders struct {
	Counts map[string]map[string]int `msg:"counts"`
}
