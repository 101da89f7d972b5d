package stepledger

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// PublishVersion records a version in every shard of the workload that this process owns. A version concerns the whole
// workload while shards have different owners, so the caller sends it to the owner of each shard. A shard that misses it
// learns it from the trainer's next fetch, and staleness at hand-over never depends on it: the fetch names the trainer's
// version. CodeNotOwner says that no shard is owned here.
func (s *Service) PublishVersion(ctx context.Context, request *peerapi.PublishVersion) (*peerapi.PublishVersionResult, error) {
	if _, err := s.workload(request.Workload); err != nil {
		return nil, err
	}
	result := &peerapi.PublishVersionResult{}
	var refusal error
	recorded := 0
	for number := range ShardsPerWorkload {
		latest, err := s.publishTo(ctx, request, number)
		if isNotOwner(err) {
			refusal = err
			continue
		}
		if err != nil {
			return nil, err
		}
		recorded++
		result.Latest = max(result.Latest, latest)
	}
	if recorded == 0 {
		return nil, refusal
	}
	return result, nil
}

// publishTo records a version in one shard and returns the newest version there.
func (s *Service) publishTo(ctx context.Context, request *peerapi.PublishVersion, number int) (uint64, error) {
	current, err := s.open(ctx, request.Workload, number)
	if err != nil {
		return 0, err
	}
	if latest := current.latest(); latest >= request.Version {
		return latest, nil
	}
	s.reach("publish.before_append")
	_, err = current.append(ctx, proposal(KindVersionPublished, &VersionPublished{Version: request.Version}))
	if err != nil {
		return 0, err
	}
	s.reach("publish.after_append")
	current.versionChanged(request.Version)
	return current.latest(), nil
}

// versionChanged wakes those who wait for a newer version.
func (c *session) versionChanged(version uint64) {
	c.mutex.Lock()
	c.publishedAt = time.Now()
	c.mutex.Unlock()
	c.work.raise()
	c.ready.raise()
	if c.service.config.OnVersion != nil {
		c.service.config.OnVersion(c.workload, version)
	}
}

// latest is the newest version published.
func (c *session) latest() uint64 {
	var latest uint64
	c.view(func(state *State) { latest = state.Latest() })
	return latest
}

// isNotOwner reports whether an error is a refusal with CodeNotOwner.
func isNotOwner(err error) bool {
	var refusal *peer.Error
	return errors.As(err, &refusal) && refusal.Code == peer.CodeNotOwner
}
