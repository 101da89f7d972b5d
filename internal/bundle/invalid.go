package bundle

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Line is the line in the document, counted from 1; 0 if there is no document.
	Line int
	// Path is the path of the key, such as "workloads[2].share".
	Path   string
	Reason string
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
}

// Invalid is the error for a document that is not a valid bundle. It lists every problem found.
type Invalid struct {
	Problems []Problem
}

// Error lists the problems.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return "invalid bundle: " + strings.Join(lines, "; ")
}

// problems collects the problems of a document and maps the paths of its keys to lines.
type problems struct {
	list  []Problem
	lines map[string]int
}

// add records a problem at a path, with the line of the path or of its nearest parent in the document.
func (p *problems) add(path, format string, arguments ...any) {
	p.addAt(p.line(path), path, format, arguments...)
}

func (p *problems) addAt(line int, path, format string, arguments ...any) {
	p.list = append(p.list, Problem{Line: line, Path: path, Reason: fmt.Sprintf(format, arguments...)})
}

// hasKey reports whether the document contains the key at path.
func (p *problems) hasKey(path string) bool {
	_, found := p.lines[path]
	return found
}

func (p *problems) line(path string) int {
	for {
		if line, found := p.lines[path]; found {
			return line
		}
		if path == "" {
			return 0
		}
		path = parentPath(path)
	}
}

// parentPath removes the last key or index from a path.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// err returns an *Invalid with the problems sorted by line, nil if there are none.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	sort.SliceStable(p.list, func(i, j int) bool { return p.list[i].Line < p.list[j].Line })
	return &Invalid{Problems: p.list}
}
