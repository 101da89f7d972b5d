package trace

import (
	"os"
	"path/filepath"

	"github.com/samber/oops"
	"gopkg.in/yaml.v3"
)

// Save writes the trace as a directory that Load reads.
func (t *Trace) Save(directory string) error {
	if err := os.MkdirAll(filepath.Join(directory, BundlesDir), 0o755); err != nil {
		return oops.Wrapf(err, "save trace")
	}
	parts := map[string]any{TopologyFile: t.Topology, EventsFile: t.Events, OutcomesFile: t.Outcomes}
	for file, part := range parts {
		content, err := yaml.Marshal(part)
		if err != nil {
			return oops.With("file", file).Wrapf(err, "save trace")
		}
		if err := os.WriteFile(filepath.Join(directory, file), content, 0o644); err != nil {
			return oops.Wrapf(err, "save trace")
		}
	}
	for file, content := range t.Bundles {
		if err := os.WriteFile(filepath.Join(directory, BundlesDir, file), content, 0o644); err != nil {
			return oops.Wrapf(err, "save trace")
		}
	}
	return nil
}

// Check returns the first fault of a trace that was not loaded, or nil. Errors are *Problem.
func (t *Trace) Check() error { return t.check(t.Name) }
