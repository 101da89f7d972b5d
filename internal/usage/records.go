package usage

//go:generate go tool msgp -tests=false -unexported

// told is the record of what one process has counted in one window so far.
type told struct {
	// Machine is the one that the process runs on.
	Machine string `msg:"machine"`
	// Counts maps tenants to their requests that began to run.
	Counts map[string]int64 `msg:"counts"`
	// Final says that the window is over and no more is expected; Leaving that the process has ended as planned and counts nothing later.
	Final   bool `msg:"final"`
	Leaving bool `msg:"leaving"`
}

// report is the record of what is reported of a window. It is written before it is sent, and repeated as it stands.
type report struct {
	Window int64            `msg:"window"`
	Counts map[string]int64 `msg:"counts"`
}
