package mutation

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSettingsAndCommandsDoNotImportMutation checks that no program, setting or command can disable a mechanism: only the
// packages with the hooks, and the lab that replays with mutations, may import this package.
func TestSettingsAndCommandsDoNotImportMutation(t *testing.T) {
	is := is.New(t)
	root := "../.."
	importers := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil || !strings.Contains(string(content), `hillfork/internal/mutation"`) {
			return err
		}
		importers++
		file, _ := filepath.Rel(root, path)
		for _, forbidden := range []string{"cmd", "internal/settings", "internal/cli", "internal/lab/command", "internal/bundle/schema"} {
			if strings.HasPrefix(filepath.ToSlash(file), forbidden) {
				t.Errorf("%s imports package mutation", file)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(importers > 0)
	is.Equal(Set(0).Has(NoEpochCheck), false)
	is.True((NoEpochCheck | SkipDrain).Has(SkipDrain))
}
