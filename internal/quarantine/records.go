package quarantine

//go:generate go tool msgp -tests=false -unexported

// event is the record of an engine that ended while it ran a request, or of a machine's claim to a trial.
type event struct {
	// Machine is the machine that wrote the record.
	Machine string `msg:"machine"`
	// At is the wall-clock time there, in milliseconds since 1970.
	At int64 `msg:"at"`
}
