package settings

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
)

// referencePage is the path of the operators' reference page of settings.
const referencePage = "../../docs/operators/settings.md"

var update = flag.Bool("update", false, "write the operators' page of settings anew")

// TestReferencePage checks that the operators' reference page matches the definitions; it fails if a definition was changed
// without regenerating the page.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(referencePage, []byte(Reference()), 0o644))
	}
	page, err := os.ReadFile(referencePage)
	is.NoErr(err)
	is.Equal(string(page), Reference())
}

// TestVariablesAreRead checks that the environment variable listed on the reference page sets its setting.
func TestVariablesAreRead(t *testing.T) {
	is := is.New(t)
	t.Setenv(variableOf("log-level"), "warn")
	parsed, err := parse(required()...)
	is.NoErr(err)
	is.Equal(parsed.LogLevel, "warn")
}
