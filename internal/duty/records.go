package duty

//go:generate go tool msgp -tests=false -unexported

// announcement is the record of the holder that made the last announcement.
type announcement struct {
	// Machine is the machine of the holder; Epoch is the token of its calls.
	Machine string `msg:"machine"`
	Epoch   int64  `msg:"epoch"`
}
