// Package errorlog logs errors in one line each: the plain text of the error under the key "error", and what package oops
// attached to it as keys of their own. An error of a context that was cancelled is expected when work is given up or a
// process stops, and so is no warning: Warn logs it at debug level.
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

// errorKey is the key of the error's text.
const errorKey = "error"

// Error logs that something failed for good. A nil logger discards; a nil error is left out.
func Error(logger *log.Logger, message string, err error, keyvals ...any) {
	write(logger, log.ErrorLevel, message, err, keyvals)
}

// Warn logs that something failed and is tried again or done without.
func Warn(logger *log.Logger, message string, err error, keyvals ...any) {
	level := log.WarnLevel
	if errors.Is(err, context.Canceled) {
		level = log.DebugLevel
	}
	write(logger, level, message, err, keyvals)
}

// Debug logs a failure that belongs to ordinary work.
func Debug(logger *log.Logger, message string, err error, keyvals ...any) {
	write(logger, log.DebugLevel, message, err, keyvals)
}

func write(logger *log.Logger, level log.Level, message string, err error, keyvals []any) {
	if logger == nil || logger.GetLevel() > level {
		return
	}
	logger.Log(level, message, Fields(err, keyvals...)...)
}

// Fields returns keyvals with the error's context, in order of its keys, and its text added. A key that keyvals hold already
// is not repeated.
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

// oneLine joins the lines of an error that holds several.
func oneLine(text string) string {
	return strings.ReplaceAll(text, "\n", "; ")
}
