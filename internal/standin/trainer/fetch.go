package trainer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

// errMalformed says that an answer's samples and cursor do not fit the request.
var errMalformed = errors.New("answer does not fit the cursor")

// fetchStep fetches until the step is complete. After a failure it asks again at the same cursor.
func (t *Trainer) fetchStep(ctx context.Context, step uint64) error {
	cursor := int32(0)
	for {
		request := t.fetchRequest(step, cursor)
		answer, err := t.fetch(ctx, request)
		if err != nil {
			t.record(func(report *Report) { report.FetchErrors++ })
			if err := t.pauseAfter(ctx, err); err != nil {
				return err
			}
			continue
		}
		t.receive(Delivery{Request: request, Answer: answer, At: time.Now()})
		cursor = answer.NextCursor
		if answer.StepComplete {
			return nil
		}
	}
}

func (t *Trainer) fetchRequest(step uint64, cursor int32) *hillforkv1.FetchSamplesRequest {
	return &hillforkv1.FetchSamplesRequest{
		Workload:       t.config.Workload,
		Step:           step,
		Cursor:         cursor,
		TrainerVersion: t.version,
		MaxSamples:     int32(t.config.FetchSize),
		WaitMillis:     t.config.FetchWait.Milliseconds(),
	}
}

func (t *Trainer) fetch(ctx context.Context, request *hillforkv1.FetchSamplesRequest) (*hillforkv1.FetchSamplesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.FetchWait+t.config.CallTimeout)
	defer cancel()
	response, err := t.client().FetchSamples(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	if !fits(request, response.Msg) {
		return nil, errMalformed
	}
	return response.Msg, nil
}

// fits says whether an answer holds the positions from the request's cursor up to its own, each once.
func fits(request *hillforkv1.FetchSamplesRequest, answer *hillforkv1.FetchSamplesResponse) bool {
	if int(answer.NextCursor) != int(request.Cursor)+len(answer.Samples) {
		return false
	}
	for i, sample := range answer.Samples {
		if sample.Position != request.Cursor+int32(i) {
			return false
		}
	}
	return true
}

// receive takes the samples of an answer in.
func (t *Trainer) receive(delivery Delivery) {
	if len(delivery.Answer.Samples) == 0 && !delivery.Answer.StepComplete {
		return
	}
	if t.config.Observer != nil {
		t.config.Observer.Delivered(delivery)
	}
	t.record(func(report *Report) {
		for _, sample := range delivery.Answer.Samples {
			report.addSample(sample, delivery.Request.TrainerVersion)
		}
	})
}
