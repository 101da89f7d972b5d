package duty

//go:generate go tool msgp -tests=false -unexported

// announcement is the record of who announced last.
type announcement struct {
	// Machine is the holder's; Epoch is the token of its calls.
	Machine string `msg:"machine"`
	Epoch   int64  `msg:"epoch"`
}
