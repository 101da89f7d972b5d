// Command standin-2 plays the platform, servers and clients of the cases of the second review beside real processes of the project.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(*World) bool{
	"paths":    paths,
	"encoded":  encoded,
	"restarts": restarts,
	"silent":   silent,
	"unframed": unframed,
	"reward":   reward,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "serve" {
		serve(os.Args[2], os.Args[3] == "true")
	}
	if len(os.Args) != 4 {
		fmt.Println("usage: standin-2 CASE HILLFORKD RECORD")
		os.Exit(2)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Println("no such case")
		os.Exit(2)
	}
	binary, err := filepath.Abs(os.Args[2])
	check(err)
	file, err := os.Create(os.Args[3])
	check(err)
	rec := &Record{file: file, start: time.Now()}
	world := NewWorld(rec, binary)
	held := run(world)
	world.Close()
	rec.Say("rule held: %v", held)
	_ = file.Close()
	if !held {
		os.Exit(1)
	}
}
