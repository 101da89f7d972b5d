package bubble

import (
	"errors"
	"io"
	"reflect"
	"time"
)

// dependencies is what testing.MainStart asks of its caller. Only MatchString matters here: every job runs.
type dependencies struct{}

// corpusEntry has the shape of the testing package's own type.
type corpusEntry = struct {
	Parent     string
	Path       string
	Data       []byte
	Values     []any
	Generation int
	IsSeed     bool
}

var errUnsupported = errors.New("not supported outside of go test")

func (dependencies) MatchString(string, string) (bool, error) { return true, nil }

func (dependencies) ImportPath() string                          { return "" }
func (dependencies) ModulePath() string                          { return "" }
func (dependencies) SetPanicOnExit0(bool)                        {}
func (dependencies) StartCPUProfile(io.Writer) error             { return errUnsupported }
func (dependencies) StopCPUProfile()                             {}
func (dependencies) StartTestLog(io.Writer)                      {}
func (dependencies) StopTestLog() error                          { return nil }
func (dependencies) WriteProfileTo(string, io.Writer, int) error { return errUnsupported }
func (dependencies) RunFuzzWorker(func(corpusEntry) error) error { return errUnsupported }
func (dependencies) CheckCorpus([]any, []reflect.Type) error     { return errUnsupported }
func (dependencies) ResetCoverage()                              {}
func (dependencies) SnapshotCoverage()                           {}
func (dependencies) ReadCorpus(string, []reflect.Type) ([]corpusEntry, error) {
	return nil, errUnsupported
}

func (dependencies) CoordinateFuzzing(
	time.Duration, int64, time.Duration, int64, int, []corpusEntry, []reflect.Type, string, string,
) error {
	return errUnsupported
}

func (dependencies) InitRuntimeCoverage() (
	mode string, tearDown func(coverprofile string, gocoverdir string) (string, error), snapcov func() float64,
) {
	return "", nil, nil
}
