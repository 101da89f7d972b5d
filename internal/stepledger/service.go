package stepledger

import (
	"cmp"
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/shard"
)

// maxWait bounds every long poll, whatever the caller asks.
const maxWait = time.Minute

// Config is what a Service works with.
type Config struct {
	Opener    shard.Opener
	Bundles   bundle.Source
	Confirmer bundle.Confirmer
	// Scorer judges the samples of workloads whose bundle names a scorer.
	Scorer platform.Scorer
	// Logger may be nil.
	Logger *log.Logger
	// OnVersion, if set, is called after a version is durable in a shard of this process. It must not block.
	OnVersion func(workload string, version uint64)
	// Policy chooses how samples are handed out to engines.
	Policy policy.Settings
	// Failpoint, if set, is called between the steps of each operation with the step's name. Tests use it to stop an owner
	// there; it is nil in production.
	Failpoint func(name string)
	// Mutations switches mechanisms off; only tests set it.
	Mutations mutation.Set
}

// Service answers for the step shards that this process owns.
type Service struct {
	config Config
	logger *log.Logger
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
	// background counts the goroutines of the sessions.
	background sync.WaitGroup
	counters   Counters

	// mutex guards sessions and closed; it is held across neither I/O nor waits.
	mutex    sync.Mutex
	closed   bool
	sessions map[string]*session
}

// New returns a service. Close ends its goroutines.
func New(config Config) *Service {
	logger := cmp.Or(config.Logger, log.New(io.Discard))
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		config:   config,
		logger:   logger,
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[string]*session),
	}
}

// Close ends all sessions and waits for their goroutines. Calls that wait are answered with CodeNotReady.
func (s *Service) Close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.cancel()
	s.background.Wait()
}

// Register adds the ledger's methods to a process.
func (s *Service) Register(registrar peer.Registrar) {
	handle(registrar, peerapi.MethodSubmitStep, s.SubmitStep)
	handle(registrar, peerapi.MethodFetchSamples, s.FetchSamples)
	handle(registrar, peerapi.MethodPublishVersion, s.PublishVersion)
	handle(registrar, peerapi.MethodPullWork, s.PullWork)
	handle(registrar, peerapi.MethodReportWork, s.ReportWork)
	handle(registrar, peerapi.MethodCompleteSample, s.CompleteSample)
	handle(registrar, peerapi.MethodListSteps, s.ListSteps)
}

// messageOf is the pointer type of a generated message.
type messageOf[M any] interface {
	*M
	peer.Message
}

// handle registers a typed method.
func handle[Q, R any, QP messageOf[Q], RP messageOf[R]](
	registrar peer.Registrar,
	method string,
	answer func(context.Context, *Q) (*R, error),
) {
	registrar.HandleUnary(method, func(ctx context.Context, decode peer.Decode) (peer.Message, error) {
		request := new(Q)
		if err := decode(QP(request)); err != nil {
			return nil, refuse(peer.CodeInvalid, "request does not decode: "+err.Error())
		}
		response, err := answer(ctx, request)
		if err != nil {
			return nil, err
		}
		return RP(response), nil
	})
}

// ListSteps tells the state of the steps of one shard.
func (s *Service) ListSteps(ctx context.Context, request *peerapi.ListSteps) (*peerapi.ListStepsResult, error) {
	current, err := s.open(ctx, request.Workload, request.Shard)
	if err != nil {
		return nil, err
	}
	running := current.runningByStep()
	result := &peerapi.ListStepsResult{}
	current.view(func(state *State) {
		for _, step := range state.image.Steps {
			result.Steps = append(result.Steps, peerapi.StepInfo{
				Workload:  request.Workload,
				Step:      step.Step,
				Samples:   len(step.Samples),
				Completed: step.Completed,
				Delivered: step.Cursor,
				Running:   running[step.Step],
			})
		}
	})
	return result, nil
}

// workload finds a training workload in the bundle in force.
func (s *Service) workload(name string) (*bundle.Workload, error) {
	accepted := s.config.Bundles.Current()
	if accepted == nil {
		return nil, refuse(peer.CodeNotReady, "no bundle is in force")
	}
	return trainingWorkload(accepted, name)
}

// trainingWorkload finds a training workload in a bundle.
func trainingWorkload(accepted *bundle.Accepted, name string) (*bundle.Workload, error) {
	workload := accepted.Bundle.Workload(name)
	if workload == nil || workload.Kind != bundle.Training {
		return nil, refuse(peer.CodeNotFound, "no training workload "+name+" in the bundle in force")
	}
	return workload, nil
}

// reach runs the failpoint of a step.
func (s *Service) reach(name string) {
	if s.config.Failpoint != nil {
		s.config.Failpoint(name)
	}
}

// waitTime turns a caller's wait into a bounded duration.
func waitTime(millis int64) time.Duration {
	limit := maxWait.Milliseconds()
	return time.Duration(min(max(millis, 0), limit)) * time.Millisecond
}
