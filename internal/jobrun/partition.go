package jobrun

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// followWait is how long the store may hold a read of an owned partition open, followSpacing the least time between two
	// reads that brought records: results are appended in quick succession.
	followWait    = 2 * time.Second
	followSpacing = 20 * time.Millisecond
)

// applier folds the records of the partition.
type applier struct {
	runner *runner
}

func (a applier) Apply(record keyedlog.Record, _ bool) {
	if err := a.runner.ledger.Apply(record); err != nil {
		errorlog.Warn(a.runner.config.Logger, "job record skipped", err, "partition", a.runner.partition, "key", record.Key)
	}
}

func (a applier) Advanced(int64) {}

// confirmIndex waits until the index holds all that it held when the epoch was set. An earlier owner settled no job before the
// index had its end, and can settle none any more.
func (r *runner) confirmIndex(ctx context.Context) bool {
	for {
		err := follow.WaitUntilCurrent(ctx, r.config.Log, keyedlog.JobIndex, r.config.IndexFollower)
		if err == nil || ctx.Err() != nil {
			return err == nil
		}
		errorlog.Debug(r.config.Logger, "index of jobs not confirmed", err, "partition", r.partition)
		if !pause.For(ctx, appendPause) {
			return false
		}
	}
}

// follow reads the partition from the earliest job on of which more may be listed, up to its end, and returns a follower of what
// comes after. Items run once all is read, so that it is read in several parts at once; if one fails, the follower reads it all.
func (r *runner) follow(ctx context.Context, end int64) *follow.Follower {
	r.covered = r.config.Index.Start(r.partition.Number, end)
	from := end
	if err := follow.RangeConcurrently(ctx, r.config.Log, r.partition, r.covered, end, applier{r}); err != nil {
		errorlog.Debug(r.config.Logger, "partition not read at once", err, "partition", r.partition, "from", r.covered, "end", end)
		from = r.covered
	}
	return follow.New(follow.Config{
		Log: r.config.Log, Partition: r.partition, Applier: applier{r}, From: from, Wait: followWait, MinReadInterval: followSpacing,
		Logger: r.config.Logger,
	})
}

// cover reads what lies before the part of the partition that is followed, if the index has learnt of a job there since: its
// submission came before the epoch was set, its entry after the index was read.
func (r *runner) cover(ctx context.Context) {
	if r.covered == 0 {
		return
	}
	from := r.covered
	for _, status := range r.config.Index.Unsettled(r.partition.Number) {
		from = min(from, status.Entry.Offset)
	}
	if from == r.covered {
		return
	}
	if err := follow.Range(ctx, r.config.Log, r.partition, from, r.covered, 0, applier{r}); err != nil {
		errorlog.Debug(r.config.Logger, "earlier records not read", err, "partition", r.partition, "from", from)
		return
	}
	r.covered = from
}

// settle ends the listing of jobs that have ended or are listed whole, and has the index say so, so that nobody reads the
// partition beyond for them. Nothing is listed after the record that is written here: the writer takes no further result of
// the job, and a later owner finds the job's end in the index.
func (r *runner) settle(ctx context.Context) {
	for _, status := range r.config.Index.Unsettled(r.partition.Number) {
		id := status.Entry.JobID
		if r.settling[id] {
			continue
		}
		listed, _ := r.ledger.Listed(id)
		if !status.Ended && listed < status.Entry.Items {
			continue
		}
		r.settling[id] = true
		took := r.takeTook(id)
		needless := r.ledger.PieceKeys(id)
		r.writer.close(id, needless, func(end int64) {
			r.config.Logger.Info("job closed", "job", id, "partition", r.partition, "epoch", r.writer.Epoch(), "listed", listed,
				"ended", status.Ended, "dropped", len(needless), "dropped_first", first(needless))
			r.active.Go(func() { r.announceSettled(ctx, id, end, took) })
		})
	}
}

// announceSettled writes to the index that a job is settled, until it is there.
func (r *runner) announceSettled(ctx context.Context, id string, end int64, took job.Took) {
	record, err := job.EncodeSettled(id, end, took)
	if err != nil {
		errorlog.Error(r.config.Logger, "settled job does not encode", err, "job", id)
		return
	}
	for {
		_, err := r.config.Log.Append(ctx, keyedlog.JobIndex, []keyedlog.Record{record}, nil)
		if err == nil {
			r.config.Logger.Info("job settled", "job", id, "partition", r.partition, "epoch", r.writer.Epoch(), "end", end,
				"items_took", took.Items.Round(time.Millisecond), "longest_took", took.Longest.Round(time.Millisecond))
			return
		}
		if !pause.For(ctx, appendPause) {
			return
		}
	}
}

// expire drops jobs that nobody may ask for any more, their index records last, so that what is left after a failure is
// dropped at the next try.
func (r *runner) expire(ctx context.Context) {
	if !r.expiring.CompareAndSwap(false, true) {
		return
	}
	defer r.expiring.Store(false)
	for _, expired := range r.config.Index.Expired(r.partition.Number, time.Now().Add(-r.config.Retention-expireSlack)) {
		if err := r.appendUnfenced(ctx, dropped(expired.JobKeys)); err != nil {
			return
		}
		if _, err := r.config.Log.Append(ctx, keyedlog.JobIndex, dropped(expired.IndexKeys), nil); err != nil {
			errorlog.Debug(r.config.Logger, "expired job stays in the index", err, "job", expired.JobID)
			return
		}
		r.config.Logger.Info("job expired", "job", expired.JobID, "partition", r.partition)
	}
}

// first returns the first of some keys, empty if there is none.
func first(keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	return keys[0]
}

// dropped returns the records that drop keys.
func dropped(keys []string) []keyedlog.Record {
	records := make([]keyedlog.Record, len(keys))
	for i, key := range keys {
		records[i] = keyedlog.Record{Key: key}
	}
	return records
}
