package errorlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/samber/oops"
)

// TestOneLinePerError checks that wrapped, joined and cancelled errors are logged in one line each, without a stack trace.
func TestOneLinePerError(t *testing.T) {
	cause := errors.New("refused")
	wrapped := oops.With("stream", "requests/1", "node", "n1").Wrapf(cause, "append")
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"plain", cause, `WARN it failed node=n2 error=refused`},
		{"wrapped", wrapped, `WARN it failed node=n2 stream=requests/1 error="append: refused"`},
		{"wrapped twice", oops.With("role", "shards").Wrap(wrapped), `WARN it failed node=n2 role=shards stream=requests/1 error="append: refused"`},
		{"joined", errors.Join(cause, wrapped), `WARN it failed node=n2 stream=requests/1 error="refused; append: refused"`},
		{"none", nil, `WARN it failed node=n2`},
		{"cancelled", oops.Wrap(fmt.Errorf("call: %w", context.Canceled)), `DEBU it failed node=n2 error="call: context canceled"`},
		{"deadline", context.DeadlineExceeded, `WARN it failed node=n2 error="context deadline exceeded"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var written bytes.Buffer
			Warn(log.NewWithOptions(&written, log.Options{Level: log.DebugLevel}), "it failed", test.err, "node", "n2")
			is.Equal(strings.TrimSuffix(written.String(), "\n"), test.want)
		})
	}
	Error(nil, "logger is nil", cause)
}
