// Package logging creates the structured logger of a process.
package logging

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/settings"
)

// New returns a logger that writes lines of the given level or above, as text or JSON. Package settings has validated
// level and format; an unknown level is treated as info.
func New(output io.Writer, level, format string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	options := log.Options{Level: parsed, ReportTimestamp: true, TimeFormat: time.RFC3339Nano}
	if format == settings.FormatJSON {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(output, options)
}
