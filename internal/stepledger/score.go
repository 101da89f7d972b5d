package stepledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/platform"
)

const (
	// maxScoring limits the concurrent calls to the scorer for one shard.
	maxScoring = 16
	// scoreTimeout is the timeout of one call to the scorer.
	scoreTimeout = 10 * time.Second
	// maxScoreInterval is the max backoff interval between two attempts to score an answer.
	maxScoreInterval = 5 * time.Second
)

// sampleID returns the ID of a sample in calls to the scorer.
func sampleID(key sampleKey) string {
	return fmt.Sprintf("%d/%d", key.step, key.index)
}

// scoreJob is an answer to be scored.
type scoreJob struct {
	key     sampleKey
	attempt uint32
	prompt  []byte
	payload []byte
}

// runScoring scores the answers of the shard until the context ends and waits for the calls in flight.
func (c *session) runScoring(ctx context.Context) {
	if c.service.config.Scorer == nil {
		return
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		bundleChanged := c.service.config.Bundles.Changed()
		for _, job := range c.nextScoreJobs() {
			calls.Go(func() { c.scoreOne(ctx, job) })
		}
		select {
		case <-c.scoreWakeup:
		case <-bundleChanged:
		case <-ctx.Done():
			return
		}
	}
}

// nextScoreJobs returns answers to score, up to the limit maxScoring, and marks them as being scored.
func (c *session) nextScoreJobs() []scoreJob {
	workload, err := c.service.workload(c.workload)
	if err != nil || workload.Scorer == "" {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var jobs []scoreJob
	c.view(func(state *State) {
		for _, step := range state.image.Steps {
			jobs = c.appendScoreJobs(jobs, step)
		}
	})
	return jobs
}

// appendScoreJobs appends unscored answers of a step to jobs, up to the limit maxScoring, and marks them as being scored. The
// caller holds the mutex and the view.
func (c *session) appendScoreJobs(jobs []scoreJob, step *StepImage) []scoreJob {
	if step.Cursor == len(step.Samples) {
		return jobs
	}
	for index := range step.Samples {
		if len(c.scoring) >= maxScoring {
			return jobs
		}
		sample := &step.Samples[index]
		key := sampleKey{step: step.Step, index: index}
		if !sample.Complete || sample.Scored || step.delivered(index) || c.scoring[key] {
			continue
		}
		c.scoring[key] = true
		jobs = append(jobs, scoreJob{
			key:     key,
			attempt: sample.Attempt,
			prompt:  step.Prompts[step.promptOf(index)],
			payload: sample.Payload,
		})
	}
	return jobs
}

// scoreOne scores one answer and records the reward. It retries until the reward is recorded or no longer needed.
func (c *session) scoreOne(ctx context.Context, job scoreJob) {
	policy := backoff.NewExponentialBackOff()
	policy.MaxInterval = maxScoreInterval
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, c.tryScore(ctx, job)
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil && ctx.Err() == nil {
		errorlog.Warn(c.service.logger, "sample is not scored", err, "workload", c.workload, "sample", sampleID(job.key))
	}
	c.mutex.Lock()
	delete(c.scoring, job.key)
	c.mutex.Unlock()
	c.wakeScoring()
}

// tryScore makes one attempt to score an answer and to record its reward.
func (c *session) tryScore(ctx context.Context, job scoreJob) error {
	workload, err := c.service.workload(c.workload)
	if err != nil || !c.needsScore(workload, job) {
		return nil
	}
	prompt, err := unpackTokens(job.prompt)
	if err != nil {
		return backoff.Permanent(err)
	}
	tokens, err := unpackTokens(job.payload)
	if err != nil {
		return backoff.Permanent(err)
	}
	score, err := c.callScorer(ctx, workload.Scorer, job.key, prompt, tokens)
	if err != nil {
		c.service.counters.ScoreErrors.Add(1)
		return err
	}
	c.service.runFailpoint("score.before_append")
	record := &SampleScored{Step: job.key.step, Index: job.key.index, Attempt: job.attempt, Reward: score.Reward}
	if _, err := c.append(ctx, proposal(KindSampleScored, record)); err != nil {
		return err
	}
	c.service.counters.Scored.Add(1)
	c.service.runFailpoint("score.after_append")
	c.ready.notify()
	return nil
}

// callScorer makes one call to the scorer. A score for another sample is an error.
func (c *session) callScorer(ctx context.Context, scorer string, key sampleKey, prompt, tokens []uint32) (platform.Score, error) {
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	id := sampleID(key)
	score, err := c.service.config.Scorer.Score(ctx, scorer, id, prompt, tokens)
	if err != nil {
		return platform.Score{}, err
	}
	if score.SampleID != id {
		return platform.Score{}, fmt.Errorf("scorer returned a score for sample %q instead of %q", score.SampleID, id)
	}
	return score, nil
}

// needsScore reports whether the job's answer still exists, is not acknowledged and has no reward.
func (c *session) needsScore(workload *bundle.Workload, job scoreJob) bool {
	if workload.Scorer == "" {
		return false
	}
	needed := false
	c.view(func(state *State) {
		step, sample := state.sample(job.key.step, job.key.index)
		if sample == nil {
			return
		}
		needed = sample.Complete && !sample.Scored && sample.Attempt == job.attempt && !step.delivered(job.key.index)
	})
	return needed
}
