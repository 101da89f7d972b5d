package logging

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

// TestWriteNeverBlocks checks that Write drops and counts lines instead of blocking while the output is blocked.
func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := blockedWriter{make(chan struct{})}
		writer := NewBoundedWriter(output, Budget{Lines: 1000, Bytes: 1 << 20, Queue: 10})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			writer.Run(ctx)
		}()
		started := time.Now()
		for range 100 {
			_, err := writer.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(started), time.Duration(0))
		is.True(writer.Dropped() >= 89)
		cancel()
		close(output.release)
		<-done
	})
}

// TestLinesPerSecondLimited checks that the line budget is applied per second and that the number of dropped lines is written.
func TestLinesPerSecondLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output bytes.Buffer
		writer := NewBoundedWriter(&output, Budget{Lines: 5, Bytes: 1 << 20, Queue: 100})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			writer.Run(ctx)
		}()
		for range 20 {
			_, _ = writer.Write([]byte("first second\n"))
		}
		time.Sleep(1100 * time.Millisecond)
		_, _ = writer.Write([]byte("next second\n"))
		synctest.Wait()
		cancel()
		<-done
		is.Equal(strings.Count(output.String(), "first second"), 5)
		is.Equal(strings.Count(output.String(), "next second"), 1)
		is.True(strings.Contains(output.String(), "lines=15"))
	})
}

// BenchmarkLine measures the cost that logging the outcome of a request adds to that request.
func BenchmarkLine(b *testing.B) {
	writer := NewBoundedWriter(io.Discard, Budget{Lines: 1 << 30, Bytes: 1 << 40, Queue: 1 << 16})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go writer.Run(ctx)
	for _, format := range []string{"text", "json"} {
		b.Run(format, func(b *testing.B) {
			logger := New(writer, "info", format)
			b.ReportAllocs()
			for b.Loop() {
				logger.Info("request settled", "request", "9c41d07be2a35f68", "route", "r-1", "pool", "p", "outcome", "answered",
					"status", 200, "engine", "i-7f3a91c2", "attempts", 1, "left", time.Second, "took", time.Millisecond)
			}
		})
	}
}
