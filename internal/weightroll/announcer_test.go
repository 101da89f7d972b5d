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

// slowAppender takes a while for each append and counts them.
type slowAppender struct {
	took time.Duration
	err  error

	mutex   sync.Mutex
	appends [][]keyedlog.Record
}

func (a *slowAppender) Append(_ context.Context, records []keyedlog.Record) (int64, error) {
	time.Sleep(a.took)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.appends = append(a.appends, records)
	return 0, a.err
}

// TestAnnouncementsThatWaitShareAnAppend checks that what comes during an append is written by the next one, in order, however much it
// is, and that each caller learns a moment before its own append.
func TestAnnouncementsThatWaitShareAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const later = announcementsMost + 10
		writer := &slowAppender{took: 200 * time.Millisecond}
		a := newAnnouncer(writer)
		started := time.Now()
		var running sync.WaitGroup
		announce := func(name string, began time.Duration) {
			running.Go(func() {
				from, took, err := a.announce(t.Context(), Announcement{EngineID: name})
				is.NoErr(err)
				is.Equal(from.Sub(started), began)
				is.Equal(took, writer.took)
			})
			synctest.Wait()
		}
		announce("first", 0)
		for i := range later {
			began := writer.took
			if i >= announcementsMost {
				began = 2 * writer.took
			}
			announce(fmt.Sprint(i), began)
		}
		running.Wait()
		is.Equal(len(writer.appends), 3)
		is.Equal(len(writer.appends[1]), announcementsMost)
		is.Equal(writer.appends[1][7].Key, "7")
		is.Equal(len(writer.appends[2]), 10)

		// What comes when nothing is under way is written at once.
		running.Go(func() {
			from, _, err := a.announce(t.Context(), Announcement{EngineID: "last"})
			is.NoErr(err)
			is.Equal(from.Sub(started), 3*writer.took)
		})
		running.Wait()
	})
}

// TestAnAnnouncementWaitsForNoLaterOne tells of an order that was tried again and again. On a slow store orders came all the while; the
// call that found nobody writing wrote for all, and returned only when nothing waited any more. By then the window of its own order was
// over, so the order was not sent and was planned anew. The evidence: with an append of 200 ms and an announcement every 50 ms for two
// windows, the first call returned after 2.2 s, although its record was in the store after 200 ms; all others returned within 400 ms, the
// append under way and their own.
func TestAnAnnouncementWaitsForNoLaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		writer := &slowAppender{took: 200 * time.Millisecond}
		a := newAnnouncer(writer)
		var running sync.WaitGroup
		for began := time.Now(); time.Since(began) < 2*fencing.SendWindow; time.Sleep(50 * time.Millisecond) {
			called := time.Now()
			running.Go(func() {
				from, took, err := a.announce(t.Context(), Announcement{EngineID: called.String()})
				is.NoErr(err)
				is.Equal(time.Now(), from.Add(took))
				is.True(time.Since(called) <= 2*writer.took)
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

// TestAFailedAppendFailsAllItsAnnouncements checks that nobody takes an announcement for written that is not, or waits for ever.
func TestAFailedAppendFailsAllItsAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		errEnded := errors.New("superseded")
		a := newAnnouncer(&slowAppender{took: time.Second, err: errEnded})
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

// TestRecordsTellWhenTheLastOrderWasAnnounced writes that an engine serves a version after its next order was announced: whoever reads only the
// newest record must not take that order for older than it is.
func TestRecordsTellWhenTheLastOrderWasAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		writer := new(slowAppender)
		a := newAnnouncer(writer)
		a.started = time.Now()
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
