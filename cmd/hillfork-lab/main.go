// Command hillfork-lab holds the platform's stand-ins, trace replay and experiments. Production does not need it.
package main

import (
	"os"

	"github.com/hillfork/hillfork/internal/lab/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
