// Package requestledger executes requests that are unsafe to repeat. It records a Start before a request is dispatched
// to an engine and a Finish after it ended, so that a request runs at most once under its key, and a repeated request
// with the same key gets the same complete answer.
//
// An ask is one submission of a request by its caller; all asks of a request share its key (workload and request id),
// and each has its own number. State is the fold of a shard's stream; Service is the behavior of the shard's owner.
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
	// MaxRequestIDBytes limits the length of the request id, which the caller chooses.
	MaxRequestIDBytes = 256
	// MaxRecordedTokens limits the answer of an unsafe request. Such an answer fits into one record of the log, and the
	// arrays of records in record.go have the same limit.
	MaxRecordedTokens = 131072
	// maxRuns limits the concurrent runs on one node.
	maxRuns = 1024
	// maxDispatches limits how many engines may reject one request before it ends as not run.
	maxDispatches = 3
	// defaultTimeout limits a run whose workload has no timeout.
	defaultTimeout = time.Minute
	// settleTimeout limits how long recording the end of a run may take beyond the request's own deadline.
	settleTimeout = 30 * time.Second
	// recordRetryDelay is the delay between attempts to record the end of a run while an append is uncertain.
	recordRetryDelay = 200 * time.Millisecond
	// overloadedRetryAfter is the retry delay sent to callers that are refused because of a limit of the ledger.
	overloadedRetryAfter = time.Second
	// eventTokens limits the tokens in one event of a recorded answer.
	eventTokens = 4096
)

// streamPrefix is the prefix of the stream names of all shards.
const streamPrefix = "requests/"

// StreamName returns the name of the stream of a workload's shard.
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

// StreamOf returns the name of the stream that holds a request.
func StreamOf(workload, requestID string) string {
	return StreamName(workload, int(xxhash.Sum64String(requestID)%Shards))
}

// Digest returns a digest of a request's content: its prompt, token limit and seed.
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

// Dispatcher sends requests to engines.
type Dispatcher interface {
	// Dispatch chooses an engine that is not excluded and sends it the request once. The dispatcher fills in the
	// request's Engine. An error for which answer.ProvenNotRun is true means that no engine received the request.
	Dispatch(ctx context.Context, request peerapi.Execute, excluded []string) (engine string, stream peer.ClientStream, err error)
}

// Failpoint identifies a point between two effects of a run, at which tests stop an owner.
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

// Config configures a Service.
type Config struct {
	Opener     shard.Opener
	Dispatcher Dispatcher
	Bundles    bundle.Source
	// Owners calls the owner that took over a shard; if nil, requests that were running at the takeover stay unknown.
	Owners OwnerCaller
	// Logger may be nil.
	Logger *log.Logger
	// Failpoint is called at each Failpoint; it may be nil.
	Failpoint func(Failpoint)
	// Mutations disables mechanisms; only tests set it.
	Mutations mutation.Set
}

// Service handles requests for the shards that this process owns.
type Service struct {
	config Config
	logger *log.Logger
	// lifetime is cancelled when the service is closed.
	lifetime context.Context
	close    context.CancelFunc
	running  sync.WaitGroup

	mu sync.Mutex
	// draining makes the service refuse new runs.
	draining bool
	runs     map[key]*run
	// epochs holds the latest epoch in which a run started, and handedOver the epoch that is being handed over, both by
	// stream.
	epochs     map[string]uint64
	handedOver map[string]uint64
	// undispatched holds the Starts whose append was uncertain and whose run ended before any dispatch.
	undispatched map[startID]struct{}
}

// startID identifies a Start that this process wrote.
type startID struct {
	key   key
	ask   uint64
	epoch uint64
}

// New returns a Service. It must be closed with Close.
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

// Register registers the service's methods.
func (s *Service) Register(registrar peer.Registrar) {
	registrar.HandleStream(peerapi.MethodExecuteOnce, s.handleExecuteOnce)
	registrar.HandleUnary(peerapi.MethodResolve, s.handleResolve)
	registrar.HandleUnary(peerapi.MethodFinishRequest, s.handleFinishRequest)
}

// Close cancels the active runs and waits for their goroutines. The next owner answers their requests as unknown.
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
