package shard

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestFailedBatchReportsResultPerCall fails a batch of which only some records were folded, as with a log that does not
// keep an append together. A call of which some records took effect must not get an error that says that none did.
func TestFailedBatchReportsResultPerCall(t *testing.T) {
	for folded, want := range [][]error{
		{ErrNotOwner, ErrNotOwner},
		{ErrUncertain, ErrNotOwner},
		{nil, ErrNotOwner},
		{nil, ErrUncertain},
	} {
		is := is.New(t)
		b := &batch{first: 7, payloads: make([][]byte, 4)}
		b.ctx, b.settled = context.WithCancel(context.Background())
		for range 2 {
			b.waiters = append(b.waiters, newWaiter(typeRecord, make([]Proposal, 2)))
		}
		for i := range folded {
			whole, ok := b.add(b.first+uint64(i), i)
			is.True(ok && !whole)
		}
		_, ok := b.add(b.first+uint64(folded)+1, "out of sequence")
		is.True(!ok)
		b.fail(ErrNotOwner)
		is.True(b.isSettled())
		for i, w := range b.waiters {
			<-w.done
			is.Equal(w.err, want[i])
			is.Equal(len(w.outcomes) > 0, w.err == nil)
		}
	}
}
