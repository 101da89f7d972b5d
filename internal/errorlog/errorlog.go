// Package errorlog logs each error in one line: the plain text of the error under the key "error", and the context that
// package oops attached to it under separate keys. Warn logs the error of a cancelled context at debug level, because it
// is expected when work is abandoned or a process stops.
package errorlog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"
)

// errorKey is the log key of the error text.
const errorKey = "error"

// Error logs a permanent failure. With a nil logger nothing is logged; a nil error is omitted from the line.
func Error(logger *log.Logger, message string, err error, keyvals ...any) {
	write(logger, log.ErrorLevel, message, err, keyvals)
}

// Warn logs a failure after which the operation is retried or skipped.
func Warn(logger *log.Logger, message string, err error, keyvals ...any) {
	level := log.WarnLevel
	if errors.Is(err, context.Canceled) {
		level = log.DebugLevel
	}
	write(logger, level, message, err, keyvals)
}

// Debug logs a failure that is expected in normal operation.
func Debug(logger *log.Logger, message string, err error, keyvals ...any) {
	write(logger, log.DebugLevel, message, err, keyvals)
}

func write(logger *log.Logger, level log.Level, message string, err error, keyvals []any) {
	if logger == nil || logger.GetLevel() > level {
		return
	}
	logger.Log(level, message, Fields(err, keyvals...)...)
}

// Fields returns keyvals followed by the context of the error, sorted by key, and its text. A context key that keyvals
// already contain is omitted.
func Fields(err error, keyvals ...any) []any {
	if err == nil {
		return keyvals
	}
	fields := slices.Clone(keyvals)
	if wrapped, found := oops.AsOops(err); found {
		attached := wrapped.Context()
		for _, key := range slices.Sorted(maps.Keys(attached)) {
			if !hasKey(keyvals, key) {
				fields = append(fields, key, attached[key])
			}
		}
	}
	return append(fields, errorKey, oneLine(err.Error()))
}

func hasKey(keyvals []any, key string) bool {
	for i := 0; i < len(keyvals); i += 2 {
		if keyvals[i] == key {
			return true
		}
	}
	return false
}

// oneLine joins the lines of a multi-line error text with semicolons.
func oneLine(text string) string {
	return strings.ReplaceAll(text, "\n", "; ")
}
