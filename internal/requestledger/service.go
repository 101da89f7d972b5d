// Package requestledger owns the requests that are unsafe to repeat. It records a Start before a request is given to an
// engine and a Finish after it ended, so that a request runs at most once under its key, and the same key asked again
// gets the same whole answer. State is the fold of a shard's stream; Service is what its owner does.
//
// Lock order: Service.mu is a leaf; it is never held across a call to the log, an engine or a caller.
package requestledger

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/shard"
)

const (
	// Shards is the number of shards of each workload's requests.
	Shards = 16
	// MaxRequestIDBytes bounds the key that a caller chooses.
	MaxRequestIDBytes = 256
	// MaxRecordedTokens bounds the answer of an unsafe request. It fits into one record of the log, and record.go bounds
	// the arrays of records by it.
	MaxRecordedTokens = 131072
	// maxRuns bounds the requests under way on one node.
	maxRuns = 1024
	// maxDispatches bounds the engines that may refuse one request before it ends as not run.
	maxDispatches = 3
	// defaultTimeout bounds a run whose workload has no timeout.
	defaultTimeout = time.Minute
	// settleTimeout bounds the time to record the end of a run beyond the request's own deadline.
	settleTimeout = 30 * time.Second
	// recordRetryDelay is the pause between tries to record the end of a run while the log is unsure.
	recordRetryDelay = 200 * time.Millisecond
	// overloadedRetryAfter is told to callers refused for a bound of the ledger.
	overloadedRetryAfter = time.Second
	// eventTokens bounds the tokens of one event of a recorded answer.
	eventTokens = 4096
)

// streamPrefix starts the names of the streams of all shards.
const streamPrefix = "requests/"

// StreamName names the stream of a workload's shard.
func StreamName(workload string, shard int) string {
	return streamPrefix + workload + "/" + strconv.Itoa(shard)
}

// ParseStream is the inverse of StreamName; ok is false for any other stream.
func ParseStream(stream string) (workload string, shard int, ok bool) {
	rest, isRequests := strings.CutPrefix(stream, streamPrefix)
	cut := strings.LastIndexByte(rest, '/')
	if !isRequests || cut < 1 {
		return "", 0, false
	}
	shard, err := strconv.Atoi(rest[cut+1:])
	return rest[:cut], shard, err == nil && shard >= 0 && shard < Shards
}

// StreamOf names the stream that holds a request.
func StreamOf(workload, requestID string) string {
	return StreamName(workload, int(xxhash.Sum64String(requestID)%Shards))
}

// Digest is the digest of what a request asks for: its prompt, bound and seed.
func Digest(prompt []uint32, maxTokens int, seed uint64) []byte {
	encoded := make([]byte, 0, 16+4*len(prompt))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(maxTokens))
	encoded = binary.BigEndian.AppendUint64(encoded, seed)
	for _, token := range prompt {
		encoded = binary.BigEndian.AppendUint32(encoded, token)
	}
	sum := sha256.Sum256(encoded)
	return sum[:16]
}

// Dispatcher gives a request to an engine.
type Dispatcher interface {
	// Dispatch picks an engine that is not excluded and sends it the request, once. The request's Engine is filled by the
	// dispatcher. Any error for which answer.ProvenNotRun holds says that no engine was given the request.
	Dispatch(ctx context.Context, request peerapi.Execute, excluded []string) (engine string, stream peer.ClientStream, err error)
}

// Failpoint names a moment between two effects of a run, for tests that stop an owner there.
type Failpoint string

// Failpoints of a run, in their order.
const (
	BeforeStart    Failpoint = "before start"
	AfterStart     Failpoint = "after start"
	AfterDispatch  Failpoint = "after dispatch"
	BeforeFinish   Failpoint = "before finish"
	AfterFinish    Failpoint = "after finish"
	BeforeCancel   Failpoint = "before cancel"
	AfterCancel    Failpoint = "after cancel"
	AfterNotRun    Failpoint = "after not run"
	BeforeCloseAsk Failpoint = "before close ask"
)

// Config holds what a Service needs.
type Config struct {
	Opener     shard.Opener
	Dispatcher Dispatcher
	Bundles    bundle.Source
	// Owners reaches the owner that took a shard over; nil leaves requests that ran then unknown.
	Owners OwnerCaller
	// Logger may be nil.
	Logger *log.Logger
	// Failpoint is called at each Failpoint; it may be nil.
	Failpoint func(Failpoint)
	// Mutations switches mechanisms off; only tests set it.
	Mutations mutation.Set
}

// Service answers for the shards that this process owns.
type Service struct {
	config Config
	logger *log.Logger
	// lifetime ends when the service is closed.
	lifetime context.Context
	close    context.CancelFunc
	running  sync.WaitGroup

	mu sync.Mutex
	// draining refuses new runs.
	draining bool
	runs     map[key]*run
	// epochs holds the newest epoch in which a run began, and handedOver the one that is being given up, by stream.
	epochs     map[string]uint64
	handedOver map[string]uint64
	// undispatched holds the Starts that may be recorded and whose run was given up before any dispatch.
	undispatched map[startID]struct{}
}

// startID names a Start that this process wrote.
type startID struct {
	key   key
	ask   uint64
	epoch uint64
}

// New returns a service; Close ends it.
func New(config Config) *Service {
	logger := cmp.Or(config.Logger, log.New(io.Discard))
	lifetime, closeLifetime := context.WithCancel(context.Background())
	return &Service{
		config:       config,
		logger:       logger.WithPrefix("requestledger"),
		lifetime:     lifetime,
		close:        closeLifetime,
		runs:         make(map[key]*run),
		epochs:       make(map[string]uint64),
		handedOver:   make(map[string]uint64),
		undispatched: make(map[startID]struct{}),
	}
}

// Register adds the service's methods.
func (s *Service) Register(registrar peer.Registrar) {
	registrar.HandleStream(peerapi.MethodExecuteOnce, s.handleExecuteOnce)
	registrar.HandleUnary(peerapi.MethodResolve, s.handleResolve)
	registrar.HandleUnary(peerapi.MethodFinishRequest, s.handleFinishRequest)
}

// Close abandons the runs under way and waits for their goroutines. Their requests will be answered as unknown by the
// next owner.
func (s *Service) Close() {
	s.mu.Lock()
	s.close()
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Service) failpoint(at Failpoint) {
	if s.config.Failpoint != nil {
		s.config.Failpoint(at)
	}
}
