package quarantine

//go:generate go tool msgp -tests=false -unexported

// event is the record of an engine that ended under a request, or of a trial that a machine asks for.
type event struct {
	// Machine is whose word it is.
	Machine string `msg:"machine"`
	// At is the time of day there, in milliseconds since 1970.
	At int64 `msg:"at"`
}
