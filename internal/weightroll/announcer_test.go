package weightroll

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
)

// slowAppender delays each append and records it.
type slowAppender struct {
	appendTime time.Duration
	err        error

	mutex   sync.Mutex
	appends [][]keyedlog.Record
}

func (a *slowAppender) Append(_ context.Context, records []keyedlog.Record) (int64, error) {
	time.Sleep(a.appendTime)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.appends = append(a.appends, records)
	return 0, a.err
}

// TestPendingAnnouncementsShareAnAppend checks that announcements made during an append are written by the next one, in
// order and up to maxBatchSize, and that each caller gets the start time of its own append.
func TestPendingAnnouncementsShareAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const queued = maxBatchSize + 10
		writer := &slowAppender{appendTime: 200 * time.Millisecond}
		a := newAnnouncer(writer)
		started := time.Now()
		var running sync.WaitGroup
		announce := func(name string, began time.Duration) {
			running.Go(func() {
				startedAt, appendTime, err := a.announce(t.Context(), Announcement{EngineID: name})
				is.NoErr(err)
				is.Equal(startedAt.Sub(started), began)
				is.Equal(appendTime, writer.appendTime)
			})
			synctest.Wait()
		}
		announce("first", 0)
		for i := range queued {
			began := writer.appendTime
			if i >= maxBatchSize {
				began = 2 * writer.appendTime
			}
			announce(fmt.Sprint(i), began)
		}
		running.Wait()
		is.Equal(len(writer.appends), 3)
		is.Equal(len(writer.appends[1]), maxBatchSize)
		is.Equal(writer.appends[1][7].Key, "7")
		is.Equal(len(writer.appends[2]), 10)

		// An announcement is written at once when no append is in progress.
		running.Go(func() {
			startedAt, _, err := a.announce(t.Context(), Announcement{EngineID: "last"})
			is.NoErr(err)
			is.Equal(startedAt.Sub(started), 3*writer.appendTime)
		})
		running.Wait()
	})
}

// TestAnnounceReturnsBeforeLaterAnnouncements guards against orders that were retried without end on a slow store. The
// call that found no append in progress wrote all later announcements too and returned only when none was pending. By
// then the send window of its own order was over, so the order was not sent and was planned again. With an append of
// 200 ms and an announcement every 50 ms for two windows, the first call returned after 2.2 s, although its record was
// stored after 200 ms. All others returned within 400 ms, the time of the append in progress and their own.
func TestAnnounceReturnsBeforeLaterAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		writer := &slowAppender{appendTime: 200 * time.Millisecond}
		a := newAnnouncer(writer)
		var running sync.WaitGroup
		for began := time.Now(); time.Since(began) < 2*fencing.SendWindow; time.Sleep(50 * time.Millisecond) {
			called := time.Now()
			running.Go(func() {
				startedAt, appendTime, err := a.announce(t.Context(), Announcement{EngineID: called.String()})
				is.NoErr(err)
				is.Equal(time.Now(), startedAt.Add(appendTime))
				is.True(time.Since(called) <= 2*writer.appendTime)
			})
		}
		running.Wait()
		written := 0
		for _, records := range writer.appends {
			written += len(records)
		}
		is.Equal(written, 40)
	})
}

// TestAFailedAppendFailsAllItsAnnouncements checks that no call reports an announcement as written that is not, and
// that none blocks forever.
func TestAFailedAppendFailsAllItsAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		errEnded := errors.New("superseded")
		a := newAnnouncer(&slowAppender{appendTime: time.Second, err: errEnded})
		var running sync.WaitGroup
		for i := range 5 {
			running.Go(func() {
				_, _, err := a.announce(t.Context(), Announcement{EngineID: fmt.Sprint(i)})
				is.Equal(err, errEnded)
			})
		}
		running.Wait()
	})
}

// TestRecordsCarryTheTimeOfTheLastOrder announces that an engine serves a version after its next order was announced. A
// process that reads only the newest record must not assume that the order is older than it is.
func TestRecordsCarryTheTimeOfTheLastOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		writer := new(slowAppender)
		a := newAnnouncer(writer)
		a.epochStart = time.Now()
		announce := func(version int64, serving bool) Announcement {
			_, _, err := a.announce(t.Context(), Announcement{EngineID: "e", Version: version, Serving: serving})
			is.NoErr(err)
			var written Announcement
			_, err = written.UnmarshalMsg(writer.appends[len(writer.appends)-1][0].Value)
			is.NoErr(err)
			return written
		}
		announce(2, true)
		time.Sleep(time.Second)
		is.Equal(announce(2, false).Ordered, time.Second)
		time.Sleep(time.Second)
		is.Equal(announce(3, false).Ordered, 2*time.Second)
		time.Sleep(time.Second)
		late := announce(2, true)
		is.Equal(late.Ordered, 2*time.Second)
		is.Equal(late.Written, 3*time.Second)
	})
}
