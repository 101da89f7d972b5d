package jobrun

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/producer"
)

const (
	// followReadWait is how long the store may hold a read of an owned partition open. minFollowInterval is the minimum time
	// between two reads that returned records, since results are appended in quick succession.
	followReadWait    = 2 * time.Second
	minFollowInterval = 20 * time.Millisecond
)

// applier applies the records of the partition to the ledger.
type applier struct {
	runner *runner
}

func (a applier) Apply(record keyedlog.Record, _ bool) {
	if err := a.runner.ledger.Apply(record); err != nil {
		errorlog.Warn(a.runner.config.Logger, "job record skipped", err, "partition", a.runner.partition, "key", record.Key)
	}
}

func (a applier) Advanced(int64) {}

// confirmIndex waits until the index contains all records that it had when the epoch was set. Then it contains the ends of all
// jobs that earlier owners settled: they wrote these before the epoch was set and can settle no job afterwards.
func (r *runner) confirmIndex(ctx context.Context) bool {
	for {
		err := follow.WaitUntilCurrent(ctx, r.config.Log, keyedlog.JobIndex, r.config.IndexFollower)
		if err == nil || ctx.Err() != nil {
			return err == nil
		}
		errorlog.Debug(r.config.Logger, "cannot confirm the job index, retrying", err, "partition", r.partition)
		if !pause.For(ctx, appendRetryInterval) {
			return false
		}
	}
}

// follow reads the partition up to its end, beginning with the earliest job of which results may still be listed, and returns a
// follower for later records. Items run only after everything is read, so several parts are read at once; if one fails, the
// follower reads the whole range.
func (r *runner) follow(ctx context.Context, end int64) *follow.Follower {
	r.readFrom = r.config.Index.StartOffset(r.partition, end)
	r.ledger.SetReadFrom(r.readFrom)
	from := end
	if err := follow.RangeConcurrently(ctx, r.config.Log, r.partition, r.readFrom, end, applier{r}); err != nil {
		errorlog.Debug(r.config.Logger, "parallel read failed, reading sequentially", err, "partition", r.partition, "from", r.readFrom, "end", end)
		from = r.readFrom
	}
	return follow.New(follow.Config{
		Log: r.config.Log, Partition: r.partition, Applier: applier{r}, From: from, Wait: followReadWait, MinReadInterval: minFollowInterval,
		Logger: r.config.Logger,
	})
}

// readEarlier reads records before the followed part of the partition, if the index has since learned of a job there: one whose
// items were written before the epoch was set, but whose index entry was written after the index was read.
func (r *runner) readEarlier(ctx context.Context) {
	if r.readFrom == 0 {
		return
	}
	from := r.readFrom
	for _, status := range r.config.Index.Unsettled(r.partition) {
		from = min(from, status.Entry.Offset)
	}
	if from == r.readFrom {
		return
	}
	if err := follow.Range(ctx, r.config.Log, r.partition, from, r.readFrom, 0, applier{r}); err != nil {
		errorlog.Debug(r.config.Logger, "cannot read earlier records", err, "partition", r.partition, "from", from)
		return
	}
	r.readFrom = from
	r.ledger.SetReadFrom(from)
}

// settleJobs closes jobs that have ended or whose results are all listed, and records this in the index, so that no process
// reads the partition past that offset for them. Nothing is listed after the record that is written here: the writer accepts no
// further result of the job, and a later owner finds the job's end in the index.
func (r *runner) settleJobs(ctx context.Context) {
	for _, status := range r.config.Index.Unsettled(r.partition) {
		id := status.Entry.JobID
		if r.settling[id] {
			continue
		}
		listed, _ := r.ledger.Listed(id)
		if !status.Ended && listed < status.Entry.Items {
			continue
		}
		r.settling[id] = true
		usage := r.takeUsage(id)
		obsoleteKeys := r.ledger.PieceKeys(id)
		r.writer.closeJob(id, obsoleteKeys, func(end int64) {
			r.config.Logger.Info("job closed", "job", id, "partition", r.partition, "epoch", r.writer.Epoch(), "listed", listed,
				"ended", status.Ended, "dropped", len(obsoleteKeys), "dropped_first", firstOrEmpty(obsoleteKeys))
			r.active.Go(func() { r.recordSettled(ctx, id, end, usage) })
		})
	}
}

// recordSettled writes to the index that a job is settled, retrying until the append succeeds or the context ends.
func (r *runner) recordSettled(ctx context.Context, id string, end int64, usage job.SlotTime) {
	record, err := job.EncodeSettled(id, end, usage)
	if err != nil {
		errorlog.Error(r.config.Logger, "settled job does not encode", err, "job", id)
		return
	}
	retry := producer.Retry{Interval: appendRetryInterval}
	if _, err := r.producer.AppendRetrying(ctx, keyedlog.JobIndex, []keyedlog.Record{record}, retry); err != nil {
		return
	}
	r.config.Logger.Info("job settled", "job", id, "partition", r.partition, "epoch", r.writer.Epoch(), "end", end,
		"items_took", usage.Items.Round(time.Millisecond), "longest_took", usage.Longest.Round(time.Millisecond))
}

// dropExpired deletes the records of jobs that are past their retention. Index records are deleted last, so that what remains
// after a failure is deleted by the next attempt.
func (r *runner) dropExpired(ctx context.Context) {
	if !r.expiring.CompareAndSwap(false, true) {
		return
	}
	defer r.expiring.Store(false)
	now := time.Now()
	for _, expired := range r.config.Index.Expired(r.partition, now.Add(-r.config.Retention-expireSlack), now.Add(-openRetention)) {
		if err := r.appendUnfenced(ctx, tombstones(expired.JobKeys)); err != nil {
			return
		}
		if _, err := r.producer.Append(ctx, keyedlog.JobIndex, tombstones(expired.IndexKeys)); err != nil {
			errorlog.Debug(r.config.Logger, "cannot delete expired job from the index", err, "job", expired.JobID)
			return
		}
		r.config.Logger.Info("job expired", "job", expired.JobID, "partition", r.partition)
	}
}

// firstOrEmpty returns the first key, or an empty string if there is none.
func firstOrEmpty(keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	return keys[0]
}

// tombstones returns the records that delete the keys.
func tombstones(keys []string) []keyedlog.Record {
	records := make([]keyedlog.Record, len(keys))
	for i, key := range keys {
		records[i] = keyedlog.Record{Key: key}
	}
	return records
}
