package trace

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestSavedTraceLoadsAgain(t *testing.T) {
	is := is.New(t)
	original, err := Load(os.DirFS("../../../traces"), "thin-path")
	is.NoErr(err)
	directory := filepath.Join(t.TempDir(), original.Name)
	is.NoErr(original.Save(directory))
	saved, err := Load(os.DirFS(filepath.Dir(directory)), original.Name)
	is.NoErr(err)
	for i := range original.Events {
		original.Events[i].line, saved.Events[i].line = 0, 0
	}
	is.Equal(saved, original)
}
