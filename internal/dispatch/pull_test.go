package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peerapi"
)

func TestOlderStepOfAnotherShardGoesFirst(t *testing.T) {
	cases := []struct {
		name       string
		oldest     uint64
		unsuitable bool
		other      string
		silence    time.Duration
		want       bool
	}{
		{name: "older", oldest: 3, other: "drafting", want: true},
		{name: "newer", oldest: 5, other: "drafting"},
		{name: "nothing waits", other: "drafting"},
		{name: "does not suit the engine", oldest: 3, unsuitable: true, other: "drafting"},
		{name: "other workload", oldest: 3, other: "captions"},
		{name: "not heard of lately", oldest: 3, other: "drafting", silence: 2 * maxBacklogAge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := &engineOwner{config: &Config{}, links: map[linkKey]*stepShardLink{}, slots: newSlotTable(func(string, int) {})}
				own := newStepShardLink(owner, linkKey{workload: "drafting", shard: 0})
				other := newStepShardLink(owner, linkKey{workload: c.other, shard: 1})
				owner.links[own.key], owner.links[other.key] = own, other
				backlog := 0
				if c.oldest > 0 {
					backlog = 7
				}
				other.recordBacklog(&peerapi.PullWorkResult{Backlog: backlog, Oldest: c.oldest}, c.unsuitable)
				time.Sleep(c.silence)
				own.recordBacklog(&peerapi.PullWorkResult{Backlog: 7, Oldest: 4}, false)
				is.New(t).Equal(own.otherShardHasOlderStep(), c.want)
			})
		})
	}
}
