package replay

import (
	"testing"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/matryer/is"
)

func TestGoodputBound(t *testing.T) {
	is := is.New(t)
	bound := &trace.GoodputBound{Base: [2]int{0, 2}, Load: [2]int{2, 4}, MinRatio: 0.9}
	is.Equal(len(brokenGoodput(bound, []int{10, 10, 9, 9})), 0)
	is.Equal(len(brokenGoodput(bound, []int{10, 10, 9, 8})), 1)
	is.Equal(len(brokenGoodput(bound, []int{10, 10, 17})), 1) // a second without any completed request counts
	is.Equal(len(brokenGoodput(bound, []int{0, 0, 9, 9})), 1) // nothing to compare with
	is.Equal(len(brokenGoodput(&trace.GoodputBound{MinRatio: 0.9}, []int{1, 1})), 1)
}
