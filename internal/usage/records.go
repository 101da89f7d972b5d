package usage

//go:generate go tool msgp -tests=false -unexported

// windowCounts is the record of the requests that one process has counted in one window so far.
type windowCounts struct {
	// Machine is the machine that the process runs on.
	Machine string `msg:"machine"`
	// Counts is the number of requests that started, by tenant.
	Counts map[string]int64 `msg:"counts"`
	// Final is set when the window is over and no more counts are expected; Leaving when the process has ended as planned and
	// counts nothing later.
	Final   bool `msg:"final"`
	Leaving bool `msg:"leaving"`
}

// report is the record of a window's report. It is stored before it is sent, and any retry sends it unchanged.
type report struct {
	Window int64            `msg:"window"`
	Counts map[string]int64 `msg:"counts"`
}
