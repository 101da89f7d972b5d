package ingress

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/matryer/is"
)

const megabyte = 1 << 20

func newIngress(memory, bodyLimit int64) *Ingress {
	holder := catalog.NewHolder()
	holder.Set(catalog.New(1, nil, nil, catalog.Limits{MaxBodyBytes: bodyLimit}))
	return New(Config{Catalog: holder, MemoryBytes: memory, Logger: log.New(io.Discard)})
}

// TestLargeBodiesAreBounded checks that large bodies are accepted up to their share of the memory, that one more waits until another is
// released, and that it is refused if none is released in time. Small bodies are always accepted.
func TestLargeBodiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ingress := newIngress(100*megabyte, 33*megabyte)
		release, ok := ingress.ReserveBody(t.Context(), 10*megabyte)
		is.True(ok)
		started := time.Now()
		_, ok = ingress.ReserveBody(t.Context(), 10*megabyte)
		is.True(!ok)
		is.Equal(time.Since(started), bodyWaitTimeout)
		_, ok = ingress.ReserveBody(t.Context(), SmallBodyBytes)
		is.True(ok)
		time.AfterFunc(bodyWaitTimeout/2, release)
		releaseSecond, ok := ingress.ReserveBody(t.Context(), 10*megabyte)
		is.True(ok)
		releaseSecond()
	})
}

// TestSingleBodyOfAnySizeIsAccepted checks that a body over the memory share, or of unknown size, is accepted if it is the only one.
func TestSingleBodyOfAnySizeIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ingress := newIngress(100*megabyte, 33*megabyte)
		for _, size := range []int64{-1, 30 * megabyte, 1 << 40} {
			release, ok := ingress.ReserveBody(t.Context(), size)
			is.True(ok)
			release()
		}
	})
}
