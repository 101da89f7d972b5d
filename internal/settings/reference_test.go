package settings

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
)

// referencePage is the operators' page of settings.
const referencePage = "../../docs/operators/settings.md"

var update = flag.Bool("update", false, "write the operators' page of settings anew")

// TestReferencePage compares the operators' page with the definitions.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(referencePage, []byte(Reference()), 0o644))
	}
	page, err := os.ReadFile(referencePage)
	is.NoErr(err)
	is.Equal(string(page), Reference())
}

// TestVariablesAreRead gives a setting by the variable that the page names.
func TestVariablesAreRead(t *testing.T) {
	is := is.New(t)
	t.Setenv(variableOf("log-level"), "warn")
	parsed, err := parse(required()...)
	is.NoErr(err)
	is.Equal(parsed.LogLevel, "warn")
}
