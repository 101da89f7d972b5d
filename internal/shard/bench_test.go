package shard

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkAppend measures one owner with several concurrent writers, each of which waits for its record.
func BenchmarkAppend(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			log := newFakeLog()
			log.SetDelay(roundTrip)
			config := testConfig(log, "a")
			config.NewState = func(string) (State, error) { return &counter{}, nil }
			m := NewManager(config)
			defer m.Close()
			o := open(b, m)
			body := strings.Repeat("x", 200)
			work := make(chan struct{}, writers)
			var done sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for range writers {
				done.Go(func() {
					for range work {
						if _, err := o.Append(context.Background(), proposal(body)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			done.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
			b.ReportMetric(float64(b.N)/float64(m.Counters().Appends.Load()), "records/append")
		})
	}
}

// BenchmarkRecovery measures how much is read to open a shard, for streams of several lengths. The state is a counter,
// so that its snapshot does not grow with the stream.
func BenchmarkRecovery(b *testing.B) {
	const never = 1 << 40
	for _, snapshots := range []bool{false, true} {
		for _, length := range []int{1300, 10300, 100300} {
			b.Run(fmt.Sprintf("snapshots=%t/records=%d", snapshots, length), func(b *testing.B) {
				log := newFakeLog()
				config := testConfig(log, "a")
				config.NewState = func(string) (State, error) { return &counter{}, nil }
				config.Settings = Settings{SnapshotEvery: 500}
				if !snapshots {
					config.Settings = Settings{SnapshotEvery: never, SnapshotBytes: never}
				}
				writeRecords(b, config, length)
				var entries, bytes uint64
				b.ResetTimer()
				for range b.N {
					b.StopTimer()
					config.Log = copyLog(log.streams) // without the claims of earlier iterations
					b.StartTimer()
					m := NewManager(config)
					open(b, m)
					entries += m.Counters().OpenEntries.Load()
					bytes += m.Counters().OpenBytes.Load()
					m.Close()
				}
				b.ReportMetric(float64(entries)/float64(b.N), "entries/open")
				b.ReportMetric(float64(bytes)/float64(b.N), "B/open")
			})
		}
	}
}

// writeRecords writes a stream with one process, which then closes without a release.
func writeRecords(b *testing.B, config Config, length int) {
	m := NewManager(config)
	defer m.Close()
	o := open(b, m)
	body := strings.Repeat("x", 200)
	const perCall = 100
	for range length / perCall {
		proposals := make([]Proposal, perCall)
		for i := range proposals {
			proposals[i] = proposal(body)
		}
		if _, err := o.Append(context.Background(), proposals...); err != nil {
			b.Fatal(err)
		}
		time.Sleep(time.Millisecond) // lets the snapshotter keep up, as it does at the rate of a real log
	}
}

// counter is a State of constant size.
type counter struct{ records byte }

func (c *counter) Apply(Record) any { c.records++; return c.records }

func (c *counter) Snapshot() ([]byte, error) { return []byte{c.records}, nil }

func (c *counter) Restore(snapshot []byte) error { c.records = snapshot[0]; return nil }
