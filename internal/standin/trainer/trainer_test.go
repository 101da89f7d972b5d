package trainer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	hillforkv1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
	"github.com/hillfork/hillfork/internal/standin/weightstore"
)

// service hands out one sample in sampleTime, made by the newest version it was told less behind.
type service struct {
	sampleTime time.Duration
	behind     uint64
	samples    int32
	submitted  []uint64
	cursors    []int32
	version    uint64
	// failures is how many of the next calls fail, after taking effect.
	failures atomic.Int64
}

func (s *service) fail() error {
	if s.failures.Add(-1) >= 0 {
		return connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
	}
	return nil
}

func (s *service) SubmitStep(_ context.Context, request *connect.Request[hillforkv1.SubmitStepRequest]) (*connect.Response[hillforkv1.SubmitStepResponse], error) {
	if !slices.Contains(s.submitted, request.Msg.Step) {
		s.submitted = append(s.submitted, request.Msg.Step)
	}
	s.samples = int32(len(request.Msg.Prompts)) * request.Msg.SamplesPerPrompt
	return connect.NewResponse(&hillforkv1.SubmitStepResponse{Samples: s.samples}), s.fail()
}

func (s *service) FetchSamples(_ context.Context, request *connect.Request[hillforkv1.FetchSamplesRequest]) (*connect.Response[hillforkv1.FetchSamplesResponse], error) {
	cursor := request.Msg.Cursor
	s.cursors = append(s.cursors, cursor)
	time.Sleep(s.sampleTime)
	sample := &hillforkv1.Sample{
		Id:        fmt.Sprintf("%d/%d", request.Msg.Step, cursor),
		Position:  cursor,
		Spans:     []*hillforkv1.VersionSpan{{To: 1, Version: s.version}, {From: 1, To: 2, Version: s.version - s.behind}},
		AgeMillis: 250,
	}
	return connect.NewResponse(&hillforkv1.FetchSamplesResponse{
		Samples:      []*hillforkv1.Sample{sample},
		NextCursor:   cursor + 1,
		StepComplete: cursor+1 == s.samples,
	}), s.fail()
}

func (s *service) PublishVersion(_ context.Context, request *connect.Request[hillforkv1.PublishVersionRequest]) (*connect.Response[hillforkv1.PublishVersionResponse], error) {
	s.version = request.Msg.Version
	return connect.NewResponse(&hillforkv1.PublishVersionResponse{}), s.fail()
}

// direct answers HTTP requests in the caller's goroutine.
type direct struct{ handler http.Handler }

func (d direct) Do(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

type prompts int

func (p prompts) Prompts(uint64) [][]uint32 { return make([][]uint32, p) }

// ledger keeps what was delivered.
type ledger struct{ positions []string }

func (l *ledger) Submitted(string, uint64, int) {}

func (l *ledger) Delivered(delivery Delivery) {
	for _, sample := range delivery.Answer.Samples {
		l.positions = append(l.positions, sample.Id)
	}
}

func newTrainer(s *service, change func(*Config)) (*Trainer, *ledger) {
	_, handler := hillforkv1connect.NewSampleServiceHandler(s)
	seen := &ledger{}
	config := Config{
		Workload: "w", Model: "m", Gateways: []string{"a:1", "b:1"}, Prompts: prompts(1), SamplesPerPrompt: 2, MaxTokens: 10,
		TrainTime: 10 * time.Second, Steps: 3, StartVersion: 5, Weights: weightstore.New(weightstore.Config{}), Observer: seen,
	}
	if change != nil {
		change(&config)
	}
	return New(direct{handler: handler}, config), seen
}

func TestTrainerMeasuresIdleTimeAndStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &service{sampleTime: time.Second, behind: 2, version: 5}
		trainer, seen := newTrainer(s, nil)
		began := time.Now()
		is.NoErr(trainer.Run(t.Context()))
		is.Equal(time.Since(began), 36*time.Second)
		report := trainer.Report()
		is.Equal(report.Idle, 6*time.Second)
		is.Equal(report.StepIdle, []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second})
		is.Equal(report.VersionsBehind, map[uint64]int{2: 6}) // by the oldest span
		is.Equal(report.MeanVersionsBehind(), 2.0)
		is.Equal(report.MeanAge(), 250*time.Millisecond)
		is.Equal(report.Version, uint64(8))
		is.Equal(seen.positions, []string{"1/0", "1/1", "2/0", "2/1", "3/0", "3/1"})
	})
}

func TestTrainerRepeatsAtTheSameCursor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &service{sampleTime: time.Second, version: 5}
		trainer, seen := newTrainer(s, func(c *Config) { c.Steps, c.StepsAhead = 2, 5 })
		time.AfterFunc(1500*time.Millisecond, func() { s.failures.Store(2) })
		is.NoErr(trainer.Run(t.Context()))
		is.Equal(s.cursors, []int32{0, 1, 1, 1, 0, 1})
		is.Equal(seen.positions, []string{"1/0", "1/1", "2/0", "2/1"}) // what was lost came once
		is.Equal(s.submitted, []uint64{1, 2})                          // ahead, but not beyond the last
		report := trainer.Report()
		is.Equal(report.FetchErrors, 2)
		is.Equal(report.StepIdle[0], 4*time.Second+2*DefaultRetryPause)
	})
}

func TestTrainerCountsIdleTimeUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &service{}
		s.failures.Store(1 << 20)
		trainer, _ := newTrainer(s, nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.True(errors.Is(trainer.Run(ctx), context.DeadlineExceeded))
		report := trainer.Report()
		is.Equal(report.Idle, time.Minute)
		is.Equal(report.StepsFetched, 0)
		is.True(report.SubmitErrors > 100)
	})
}
