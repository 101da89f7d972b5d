package weightstore

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

func TestReadsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Two at a time, 10 s each; one new transfer in 20 s on average.
		s := New(Config{MaxReaders: 2, VersionBytes: 100, ReaderBytesPerSecond: 10, TotalBytesPerSecond: 5})
		s.Add("m", 1)
		read := func() error { return s.Read(t.Context(), "m", 1, "r") }
		began := time.Now()
		go func() { is.NoErr(read()) }()
		go func() { is.NoErr(read()) }()
		synctest.Wait()
		is.True(errors.Is(read(), platform.ErrThrottled)) // too many at once
		time.Sleep(10 * time.Second)
		is.True(errors.Is(read(), platform.ErrThrottled)) // too many in this time
		time.Sleep(10 * time.Second)
		is.NoErr(read())
		is.Equal(time.Since(began), 30*time.Second)
		is.Equal(s.Counts(), Counts{Reads: 5, Throttled: 2, MostReaders: 2})
	})
}

func TestTransfersFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{VersionBytes: 100, ReaderBytesPerSecond: 10})
		is.NoErr(s.PutVersion(t.Context(), "m", 2))
		is.NoErr(s.PutVersion(t.Context(), "m", 1))
		latest, err := s.Latest(t.Context(), "m")
		is.NoErr(err)
		is.Equal(latest, uint64(2))
		is.True(errors.Is(s.Read(t.Context(), "m", 3, "r"), ErrNoSuchVersion))
		s.SetThrottled(true)
		is.True(errors.Is(s.Read(t.Context(), "m", 2, "r"), platform.ErrThrottled))
		s.SetThrottled(false)
		s.SlowTransfers(3)
		began := time.Now()
		is.NoErr(s.Read(t.Context(), "m", 2, "r"))
		is.Equal(time.Since(began), 30*time.Second)
		time.AfterFunc(time.Second, s.Down)
		is.True(errors.Is(s.Read(t.Context(), "m", 2, "r"), fault.ErrUnavailable))
		is.Equal(time.Since(began), 31*time.Second) // broke off
	})
}
