package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/enginelist"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/logging"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// engineDecoder decodes any value as an engine of the pool "p", and nothing else.
type engineDecoder struct{ RecordDecoder }

func (engineDecoder) Engine(id string, _ []byte) (fleet.Engine, error) {
	return fleet.Engine{ID: id, Pool: "p"}, nil
}

// TestLapsedEntriesAreKeptUntilTheyCanBeRenewed drops the records of three engines while the store does not answer a
// replica. One engine is back within a second of the return of the store, one after five, one never; a fourth leaves
// while the store is up.
func TestLapsedEntriesAreKeptUntilTheyCanBeRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 2 * time.Millisecond})
		partition := keyedlog.Partition{Topic: keyedlog.TopicEngines}
		put := func(id string, value []byte) {
			_, err := store.For("engine").Append(t.Context(), partition, []keyedlog.Record{{Key: id, Value: value}}, nil)
			is.NoErr(err)
		}
		logger := log.New(io.Discard)
		directory := fleet.NewDirectory()
		engines := &engineApplier{decoder: engineDecoder{}, directory: directory, list: enginelist.NewList(directory, 1), logger: logger}
		follower := follow.New(follow.Config{
			Log: store.For("replica"), Partition: partition, Applier: engines, Wait: time.Second, Logger: logger,
		})
		engines.returned = follower.ReconnectedAt
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			follower.Run(ctx)
		}()
		known := func() string {
			text := ""
			for _, engine := range engines.directory.Pool("p") {
				text += engine.ID
			}
			return text
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			put(id, []byte("x"))
		}
		time.Sleep(time.Second)
		is.Equal(known(), "abcd")
		put("d", nil)
		time.Sleep(100 * time.Millisecond)
		is.Equal(known(), "abc")

		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "replica" {
				return memorylog.Down
			}
			return memorylog.None
		})
		time.Sleep(4 * time.Second)
		for _, id := range []string{"a", "b", "c"} {
			put(id, nil)
		}
		time.Sleep(4 * time.Second)
		store.Heal()
		time.Sleep(time.Second)
		is.Equal(known(), "abc")
		put("a", []byte("x"))
		time.Sleep(500 * time.Millisecond)
		is.Equal(known(), "abc")
		time.Sleep(time.Second)
		is.Equal(known(), "a")
		time.Sleep(3 * time.Second)
		put("b", []byte("x"))
		time.Sleep(100 * time.Millisecond)
		is.Equal(known(), "ab")
		put("a", nil)
		time.Sleep(100 * time.Millisecond)
		is.Equal(known(), "b")
		cancel()
		<-done
	})
}

// TestLogCountsEnginesBeyondMaxLines checks that a process that begins to read the records of thousands of engines
// writes no more log lines than for some hundreds, and that these still account for all engines.
func TestLogCountsEnginesBeyondMaxLines(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger := logging.New(&output, "info", "text")
	const count = 10000
	var changes engineChanges
	for i := range count {
		changes.add(fleet.Engine{ID: fmt.Sprint("engine", i), Pool: "drafter"}, int64(i), logger)
	}
	changes.write(logger)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(len(lines), maxNamedLines+1)
	named := 0
	for _, line := range lines[:maxNamedLines] {
		is.True(len(line) < 2*maxLineBytes)
		named += strings.Count(line, "pool=")
	}
	is.True(strings.Contains(lines[maxNamedLines], fmt.Sprintf("drafter:%d", count-named)))
	is.True(strings.Contains(lines[maxNamedLines], fmt.Sprint("last_offset=", count-1)))

	// The next read names engines again.
	output.Reset()
	changes.add(fleet.Engine{ID: "one"}, count, logger)
	changes.write(logger)
	is.True(strings.Contains(output.String(), "one pool="))
}

// TestLogOfOneReadHasFewLines checks that the engines of one read take few log lines of bounded length, which name
// every engine.
func TestLogOfOneReadHasFewLines(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	directory := fleet.NewDirectory()
	engines := &engineApplier{
		decoder: engineDecoder{}, directory: directory, list: enginelist.NewList(directory, 1), logger: logging.New(&output, "info", "text"),
		returned: func() time.Time { return time.Time{} },
	}
	const count = 300
	for i := range count {
		engines.Apply(keyedlog.Record{Key: fmt.Sprint("engine", i), Value: []byte("x"), Offset: int64(i)}, true)
	}
	is.True(strings.Count(output.String(), "\n") < 10)
	engines.Advanced(count)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.True(len(lines) < 10)
	for _, line := range lines {
		is.True(len(line) < 2*maxLineBytes)
	}
	for i := range count {
		is.True(strings.Contains(output.String(), fmt.Sprint("engine", i, " ")))
	}
	// An unchanged engine is not logged again.
	output.Reset()
	engines.Apply(keyedlog.Record{Key: "engine1", Value: []byte("x"), Offset: count}, false)
	engines.Advanced(count + 1)
	is.Equal(output.Len(), 0)
}

// strictDecoder decodes the value "x" as an engine of the pool "p", and no other value.
type strictDecoder struct{ engineDecoder }

func (d strictDecoder) Engine(id string, value []byte) (fleet.Engine, error) {
	if string(value) != "x" {
		return fleet.Engine{}, errors.New("no engine")
	}
	return d.engineDecoder.Engine(id, value)
}

// TestUnreadableEntryNamesNoEngine guards against engines that stay in use by an earlier record though the newest one, of another writer, names
// no engine: one that is gone stayed for good, also where its record had lapsed before.
func TestUnreadableEntryNamesNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		now := time.Now()
		engines := &engineApplier{
			decoder: strictDecoder{}, directory: directory, list: enginelist.NewList(directory, 1), logger: log.New(io.Discard),
			returned: func() time.Time { return now },
		}
		defer engines.stop()
		offset := int64(0)
		put := func(id, value string) {
			record := keyedlog.Record{Key: id, Offset: offset}
			if value != "" {
				record.Value = []byte(value)
			}
			engines.Apply(record, false)
			engines.Advanced(offset + 1)
			offset++
		}
		known := func(id string) bool {
			_, found := directory.Engine(id)
			return found
		}
		put("a", "x")
		put("b", "x")
		put("a", "not an engine")
		is.True(!known("a"))
		is.True(known("b")) // The others hold.
		put("a", "x")
		is.True(known("a"))
		put("b", "") // It may have lapsed while the store was away.
		is.True(known("b"))
		put("b", "not an engine")
		is.True(!known("b"))
		time.Sleep(2 * renewalWindow)
		is.True(known("a") && !known("b"))
		put("c", "not an engine")
		is.True(!known("c"))
	})
}
