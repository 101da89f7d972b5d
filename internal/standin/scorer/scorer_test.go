package scorer

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/standin/fault"
)

func TestScoresRepeatAndLostAnswersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{ScoreTime: 10 * time.Second})
		tokens := []uint32{1, 2}
		first, err := s.Score(t.Context(), "k", "s", nil, tokens)
		is.NoErr(err)
		time.AfterFunc(time.Second, func() { s.DownFor(time.Minute) })
		_, err = s.Score(t.Context(), "k", "s", nil, tokens)
		is.True(errors.Is(err, fault.ErrUnavailable))
		is.Equal(s.Counts(), map[string]int{"s": 2})
		time.Sleep(time.Minute)
		again, err := s.Score(t.Context(), "k", "s", nil, tokens)
		is.NoErr(err)
		is.Equal(first, again)
		is.True(Reward("other", "s", tokens) != first.Reward)
		is.True(Reward("k", "s", []uint32{2, 1}) != first.Reward)
	})
}
