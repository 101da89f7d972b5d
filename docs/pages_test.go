// Package docs_test keeps the pages true to the repository: what they name must be there.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/standin/freedom"
	"github.com/matryer/is"
)

const root = ".."

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	testPattern    = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+)`")
	tracePattern   = regexp.MustCompile(`\btraces/([a-z0-9-]+)`)
	statusPattern  = regexp.MustCompile("`([a-z]+(?:-[a-z]+)+)`")
	messagePattern = regexp.MustCompile("`([^`]+)`")
)

// filesWith returns the contents of the repository's files with a suffix, by path.
func filesWith(t *testing.T, suffix string) map[string]string {
	t.Helper()
	contents := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		content, err := os.ReadFile(path)
		contents[path] = string(content)
		return err
	})
	is.New(t).NoErr(err)
	return contents
}

// TestLinksLeadSomewhere follows every relative link of every page.
func TestLinksLeadSomewhere(t *testing.T) {
	followed := 0
	for path, content := range filesWith(t, ".md") {
		for _, match := range linkPattern.FindAllStringSubmatch(content, -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			followed++
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), match[1])); err != nil {
				t.Errorf("%s: link to %s: %v", path, match[1], err)
			}
		}
	}
	is.New(t).True(followed > 50)
}

// TestNamedTestsExist looks for every test that a page names.
func TestNamedTestsExist(t *testing.T) {
	var code strings.Builder
	for _, content := range filesWith(t, "_test.go") {
		code.WriteString(content)
	}
	named := 0
	for path, content := range filesWith(t, ".md") {
		for _, match := range testPattern.FindAllStringSubmatch(content, -1) {
			named++
			if !strings.Contains(code.String(), "func "+match[1]+"(") {
				t.Errorf("%s: there is no %s", path, match[1])
			}
		}
	}
	is.New(t).True(named > 50)
}

// TestNamedTracesExist looks for every trace that a page names by its path, or in the table of promises.
func TestNamedTracesExist(t *testing.T) {
	pages := filesWith(t, ".md")
	names := make(map[string]string)
	for path, content := range pages {
		for _, match := range tracePattern.FindAllStringSubmatch(content, -1) {
			names[match[1]] = path
		}
	}
	for _, line := range strings.Split(pages[filepath.Join(root, "docs", "STATUS.md")], "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 5 {
			continue
		}
		for _, match := range statusPattern.FindAllStringSubmatch(cells[4], -1) {
			names[match[1]] = "STATUS.md"
		}
	}
	is.New(t).True(len(names) > 15)
	for name, path := range names {
		if _, err := os.Stat(filepath.Join(root, "traces", name)); err != nil {
			t.Errorf("%s: there is no trace %s", path, name)
		}
	}
}

// TestLogLinesExist looks for every message of the operators' table of log lines in the code.
func TestLogLinesExist(t *testing.T) {
	var code strings.Builder
	for path, content := range filesWith(t, ".go") {
		if !strings.HasSuffix(path, "_test.go") {
			code.WriteString(content)
		}
	}
	page := filesWith(t, ".md")[filepath.Join(root, "docs", "operators", "logs.md")]
	_, table, found := strings.Cut(page, "## Lines to know")
	is.New(t).True(found)
	checked := 0
	for _, line := range strings.Split(table, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 2 {
			continue
		}
		for _, match := range messagePattern.FindAllStringSubmatch(cells[1], -1) {
			checked++
			if !strings.Contains(code.String(), `"`+match[1]+`"`) {
				t.Errorf("no program logs %q", match[1])
			}
		}
	}
	is.New(t).True(checked > 20)
}

// TestFreedomsPageNamesEachKind looks for every kind of freedom that stand-ins draw on its page, and for a row that names no player.
func TestFreedomsPageNamesEachKind(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("FREEDOMS.md")
	is.NoErr(err)
	for _, kind := range freedom.Kinds() {
		if !strings.Contains(string(page), "`"+kind.String()+"`") {
			t.Errorf("the page does not name %v", kind)
		}
	}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if !strings.HasPrefix(line, "|") || len(cells) != 4 {
			continue
		}
		if strings.TrimSpace(cells[1]) == "" || strings.TrimSpace(cells[2]) == "" {
			t.Errorf("no player: %s", line)
		}
	}
}
