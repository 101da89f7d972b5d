package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
)

// Files that Save writes.
const (
	ResultsFile  = "results.json"
	MarkdownFile = "results.md"
)

// saved is the form of ResultsFile.
type saved struct {
	Name    string   `json:"name"`
	Summary []Row    `json:"summary"`
	Runs    []Result `json:"runs"`
}

// Save writes the results and their summary below a directory.
func Save(directory string, spec *Spec, results []Result, rows []Row) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(saved{Name: spec.Name, Summary: rows, Runs: results}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, ResultsFile), append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	var table bytes.Buffer
	if err := WriteMarkdown(&table, spec, rows); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, MarkdownFile), table.Bytes(), 0o644)
}
