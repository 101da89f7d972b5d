// Package bubble runs functions in the virtual time of testing/synctest outside of "go test", so that the command line
// replays traces as the tests do. synctest needs a *testing.T, which only the testing package's own main function makes.
package bubble

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
)

var initialize = sync.OnceValue(func() error {
	testing.Init()
	return flag.CommandLine.Parse(nil)
})

// Run runs each job in a virtual time of its own, several at once, and returns when all have ended. A job must end every
// goroutine that it starts. It must not be called within a test; tests use synctest.Test themselves.
func Run(jobs ...func()) error {
	return RunAtMost(runtime.GOMAXPROCS(0), jobs, func(_ int, reason any) { panic(reason) })
}

// RunAtMost does as Run, with at most limit jobs at once. failed is called, not concurrently, for each job that panics or
// leaves blocked goroutines behind, with the job's index. A panic of another goroutine than the job's own ends the process.
func RunAtMost(limit int, jobs []func(), failed func(job int, reason any)) error {
	if err := initialize(); err != nil {
		return fmt.Errorf("initialize the testing package: %w", err)
	}
	if err := flag.Set("test.parallel", strconv.Itoa(max(limit, 1))); err != nil {
		return fmt.Errorf("bound the jobs at once: %w", err)
	}
	silence, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer silence.Close()
	output := os.Stdout
	os.Stdout = silence
	defer func() { os.Stdout = output }()
	tests := []testing.InternalTest{{Name: "virtual", F: func(t *testing.T) { runAll(t, jobs, failed) }}}
	if code := testing.MainStart(dependencies{}, tests, nil, nil, nil).Run(); code != 0 {
		return fmt.Errorf("a job in virtual time failed")
	}
	return nil
}

func runAll(t *testing.T, jobs []func(), failed func(job int, reason any)) {
	var mu sync.Mutex
	for i, job := range jobs {
		t.Run(fmt.Sprintf("job-%d", i), func(t *testing.T) {
			t.Parallel()
			defer func() {
				if reason := recover(); reason != nil {
					mu.Lock()
					defer mu.Unlock()
					failed(i, reason)
				}
			}()
			synctest.Test(t, func(*testing.T) { job() })
		})
	}
}
