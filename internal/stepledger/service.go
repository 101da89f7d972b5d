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

// maxWait limits the time of every long poll, whatever the caller requests.
const maxWait = time.Minute

// Config holds the dependencies and settings of a Service.
type Config struct {
	Opener    shard.Opener
	Bundles   bundle.Source
	Confirmer bundle.Confirmer
	// Scorer returns the rewards of samples for workloads that name a scorer. If nil, no samples are scored.
	Scorer platform.Scorer
	// Logger may be nil.
	Logger *log.Logger
	// OnVersion, if set, is called after a version is durable in a shard of this process. It must not block.
	OnVersion func(workload string, version uint64)
	// Policy configures how samples are assigned to engines.
	Policy policy.Settings
	// Failpoint, if set, is called with the name of each failpoint that an operation reaches. Tests use it to stop an owner
	// there; it is nil in production.
	Failpoint func(name string)
	// Mutations disables safety mechanisms. Only tests set it.
	Mutations mutation.Set
}

// Service serves the step shards that this process owns.
type Service struct {
	config Config
	logger *log.Logger
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	// background counts the goroutines of the sessions.
	background sync.WaitGroup
	counters   Counters

	// mutex guards sessions and closed. It is not held across I/O or waits.
	mutex    sync.Mutex
	closed   bool
	sessions map[string]*session
}

// New returns a service. Close stops its goroutines.
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

// Close stops all sessions and waits for their goroutines. Waiting calls are refused with CodeNotReady.
func (s *Service) Close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.cancel()
	s.background.Wait()
}

// Register registers the ledger's RPC methods.
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

// handle registers a method with typed request and response.
func handle[Q, R any, QP messageOf[Q], RP messageOf[R]](
	registrar peer.Registrar,
	method string,
	call func(context.Context, *Q) (*R, error),
) {
	registrar.HandleUnary(method, func(ctx context.Context, decode peer.Decode) (peer.Message, error) {
		request := new(Q)
		if err := decode(QP(request)); err != nil {
			return nil, refuse(peer.CodeInvalid, "request does not decode: "+err.Error())
		}
		response, err := call(ctx, request)
		if err != nil {
			return nil, err
		}
		return RP(response), nil
	})
}

// ListSteps returns the state of the open steps of one shard.
func (s *Service) ListSteps(ctx context.Context, request *peerapi.ListSteps) (*peerapi.ListStepsResult, error) {
	current, err := s.openSession(ctx, request.Workload, request.Shard)
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

// workload returns a training workload of the bundle in force.
func (s *Service) workload(name string) (*bundle.Workload, error) {
	accepted := s.config.Bundles.Current()
	if accepted == nil {
		return nil, refuse(peer.CodeNotReady, "no bundle is in force")
	}
	return trainingWorkload(accepted, name)
}

// trainingWorkload returns a training workload of a bundle.
func trainingWorkload(accepted *bundle.Accepted, name string) (*bundle.Workload, error) {
	workload := accepted.Bundle.Workload(name)
	if workload == nil || workload.Kind != bundle.Training {
		return nil, refuse(peer.CodeNotFound, "no training workload "+name+" in the bundle in force")
	}
	return workload, nil
}

// runFailpoint calls Config.Failpoint, if set, with the name of a failpoint.
func (s *Service) runFailpoint(name string) {
	if s.config.Failpoint != nil {
		s.config.Failpoint(name)
	}
}

// boundedWait converts a caller's wait to a duration from 0 to maxWait.
func boundedWait(millis int64) time.Duration {
	limit := maxWait.Milliseconds()
	return time.Duration(min(max(millis, 0), limit)) * time.Millisecond
}
