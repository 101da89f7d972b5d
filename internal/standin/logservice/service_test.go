package logservice

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

func TestAppendsFailBothWays(t *testing.T) {
	tests := []struct {
		name string
		set  func(*Service)
		// atOnce and later are the entries after the failure and an hour on.
		atOnce, later int64
	}{
		{"answer lost", func(s *Service) { s.LoseAnswers(1) }, 1, 1},
		{"answer lost at random", func(s *Service) { s.LoseAnswersAtRandom(1) }, 1, 1},
		{"request lost", func(s *Service) { s.LoseRequests(1) }, 0, 0},
		{"request lost at random", func(s *Service) { s.LoseRequestsAtRandom(1) }, 0, 0},
		{"effect delayed", func(s *Service) { s.DelayEffects(1, time.Minute) }, 0, 1},
		{"down", func(s *Service) { s.DownFor(time.Minute) }, 0, 0},
		{"down in the middle", func(s *Service) {
			s.SetDelay(20 * time.Second)
			time.AfterFunc(15*time.Second, func() { s.DownFor(time.Minute) })
		}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var seen []int64
				s := New(Config{Observer: func(_ string, offset int64, _ []byte) { seen = append(seen, offset) }})
				test.set(s)
				_, err := s.Append(t.Context(), "s", [][]byte{{1}})
				is.True(errors.Is(err, fault.ErrUnavailable))
				is.Equal(s.Usage()["s"].Entries, test.atOnce)
				time.Sleep(time.Hour)
				s.SetDelay(0)
				s.LoseAnswersAtRandom(0)
				s.LoseRequestsAtRandom(0)
				first, err := s.Append(t.Context(), "s", [][]byte{{2}})
				is.NoErr(err)
				is.Equal(first, test.later) // offsets stay dense
				is.Equal(int64(len(seen)), test.later+1)
			})
		})
	}
}

func TestReadsEndWhenTheLogGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{})
		time.AfterFunc(time.Second, s.Down)
		began := time.Now()
		_, err := s.Read(t.Context(), "s", 0, platform.ReadOptions{MaxEntries: 1, Wait: time.Hour})
		is.True(errors.Is(err, fault.ErrUnavailable))
		is.Equal(time.Since(began), time.Second)
		s.Up()
		result, err := s.Read(t.Context(), "s", 0, platform.ReadOptions{MaxEntries: 1, Wait: time.Hour})
		is.NoErr(err)
		is.Equal(result, platform.ReadResult{}) // the wait is over, and nothing came
		is.Equal(time.Since(began), time.Hour+time.Second)
	})
}

func TestReadsAreBounded(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	large := make([]byte, maxReadBytes)
	_, err := s.Append(t.Context(), "s", [][]byte{large, large, {1}})
	is.NoErr(err)
	for _, test := range []struct {
		offset     int64
		maxEntries int
		entries    int
	}{{0, 10, 1}, {2, 10, 1}, {0, 0, 0}, {7, 10, 0}} {
		result, err := s.Read(t.Context(), "s", test.offset, platform.ReadOptions{MaxEntries: test.maxEntries})
		is.NoErr(err)
		is.Equal(len(result.Entries), test.entries)
		is.Equal(result.Tail, int64(3))
	}
}
