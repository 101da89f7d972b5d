package command

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBadFlagsAreNamed gives each program a bad value: it ends with the code of bad input and names the flag.
func TestBadFlagsAreNamed(t *testing.T) {
	engines := "engines --pool p --zone z --region r --models m@1"
	training := "trainer --workload w --model m"
	for _, test := range []struct{ line, named string }{
		{"platform --listen nowhere", "--listen"},
		{"platform --transfer-time 0s", "--transfer-time"},
		{"platform --max-readers 0", "--max-readers"},
		{"engines", "--pool"},
		{engines + " --models m", "--models"},
		{engines + " --models m@0", "--models"},
		{engines + " --listen 127.0.0.1:65535 --count 2", "--count"},
		{engines + " --platform example.org:1", "--platform"},
		{training + " --gateways 127.0.0.1:1,x", "--gateways"},
		{training + " --steps -1", "--steps"},
		{training + " --first-step 0", "--first-step"},
		{"trainer --workload w", "--model"},
	} {
		t.Run(test.line, func(t *testing.T) {
			is := is.New(t)
			var out, problems bytes.Buffer
			is.Equal(Run(strings.Fields(test.line), &out, &problems), exitBadInput)
			is.True(strings.Contains(problems.String(), test.named+":"))
		})
	}
}

// TestHelpIsNoMistake asks every program and subcommand for help: it comes on the standard output, and the exit code is 0.
func TestHelpIsNoMistake(t *testing.T) {
	for _, line := range []string{
		"--help", "demo --help", "replay --help", "search -h", "experiment --help", "platform --help",
		"engines --help", "trainer --help",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			var out, problems bytes.Buffer
			is.Equal(Run(strings.Fields(line), &out, &problems), exitOK)
			is.True(strings.Contains(out.String(), "hillfork-lab"))
			is.Equal(problems.Len(), 0)
		})
	}
}

// TestATraceMayBeNamedWithASlash is how shells complete the name of a directory.
func TestATraceMayBeNamedWithASlash(t *testing.T) {
	is := is.New(t)
	recorded, err := loadTrace("../../../traces/thin-path/")
	is.NoErr(err)
	is.Equal(recorded.Name, "thin-path")
}
