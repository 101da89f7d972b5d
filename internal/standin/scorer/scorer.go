// Package scorer is a stand-in for the services that score samples. A score is a known function of the sample. It fails
// on request: see docs/STANDINS.md.
package scorer

import (
	"context"
	"encoding/binary"
	"maps"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/fault"
)

// Config configures a Scorer.
type Config struct {
	// ScoreTime is how long one score takes.
	ScoreTime time.Duration
}

// Scorer is the scoring service. It fills platform.Scorer directly, and serves it through Handler.
type Scorer struct {
	// Gate makes the scorer unavailable or slow.
	fault.Gate

	config Config
	mutex  sync.Mutex
	counts map[string]int
}

var _ platform.Scorer = (*Scorer)(nil)

// New returns a scorer.
func New(config Config) *Scorer {
	return &Scorer{config: config, counts: make(map[string]int)}
}

// Reward is the score, 0 to 1, of a sample's tokens by the named scorer.
func Reward(scorer, sampleID string, tokens []uint32) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(scorer + "\x00" + sampleID + "\x00")
	for _, token := range tokens {
		_, _ = digest.Write(binary.LittleEndian.AppendUint32(nil, token))
	}
	return float64(digest.Sum64()>>11) / (1 << 53)
}

// Score scores a sample.
func (s *Scorer) Score(ctx context.Context, scorer, sampleID string, _, tokens []uint32) (platform.Score, error) {
	if err := s.Pass(ctx); err != nil {
		return platform.Score{}, err
	}
	s.count(sampleID)
	if err := fault.Sleep(ctx, s.config.ScoreTime); err != nil {
		return platform.Score{}, err
	}
	if err := s.Pass(ctx); err != nil {
		return platform.Score{}, err
	}
	return platform.Score{SampleID: sampleID, Reward: Reward(scorer, sampleID, tokens)}, nil
}

func (s *Scorer) count(sampleID string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[sampleID]++
}

// Counts tells how often each sample was scored, answers that were lost included.
func (s *Scorer) Counts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.counts)
}

// Handler serves the scorer by Connect, below the returned path.
func (s *Scorer) Handler() (string, http.Handler) {
	return platformv1connect.NewScorerServiceHandler(handler{scorer: s})
}

type handler struct {
	scorer *Scorer
}

func (h handler) Score(ctx context.Context, request *connect.Request[platformv1.ScoreRequest]) (*connect.Response[platformv1.ScoreResponse], error) {
	message := request.Msg
	score, err := h.scorer.Score(ctx, message.Scorer, message.SampleId, message.Prompt, message.Tokens)
	if err != nil {
		return nil, fault.ConnectError(err, connect.CodeUnknown)
	}
	return connect.NewResponse(&platformv1.ScoreResponse{Reward: score.Reward}), nil
}
