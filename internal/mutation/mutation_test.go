package mutation

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestNothingReadsMutationsFromOutside shows that no program, setting or command can switch a mechanism off: only the
// packages that hold the hooks, and the lab that replays with them, know of this one.
func TestNothingReadsMutationsFromOutside(t *testing.T) {
	is := is.New(t)
	root := "../.."
	users := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil || !strings.Contains(string(content), `hillfork/internal/mutation"`) {
			return err
		}
		users++
		inside, _ := filepath.Rel(root, path)
		for _, outside := range []string{"cmd", "internal/settings", "internal/cli", "internal/lab/command", "internal/bundle/schema"} {
			if strings.HasPrefix(filepath.ToSlash(inside), outside) {
				t.Errorf("%s imports package mutation", inside)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(users > 0)
	is.Equal(Set(0).Has(NoEpochCheck), false)
	is.True((NoEpochCheck | SkipDrain).Has(SkipDrain))
}
