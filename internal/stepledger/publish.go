package stepledger

import (
	"context"
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// PublishVersion records a version in every shard of the workload that this process owns. The version applies to the whole
// workload, so the caller sends it to the owner of each shard. A shard that misses it learns it from the trainer's next
// fetch. The staleness check at hand-over does not depend on the call, since each fetch includes the trainer's version.
// CodeNotOwner means that this process owns no shard of the workload.
func (s *Service) PublishVersion(ctx context.Context, request *peerapi.PublishVersion) (*peerapi.PublishVersionResult, error) {
	if _, err := s.workload(request.Workload); err != nil {
		return nil, err
	}
	result := &peerapi.PublishVersionResult{}
	var refusal error
	recorded := 0
	for number := range ShardsPerWorkload {
		latest, err := s.publishToShard(ctx, request, number)
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

// publishToShard records a version in one shard and returns the newest version of the shard.
func (s *Service) publishToShard(ctx context.Context, request *peerapi.PublishVersion, number int) (uint64, error) {
	current, err := s.openSession(ctx, request.Workload, number)
	if err != nil {
		return 0, err
	}
	if latest := current.latest(); latest >= request.Version {
		return latest, nil
	}
	s.runFailpoint("publish.before_append")
	_, err = current.append(ctx, proposal(KindVersionPublished, &VersionPublished{Version: request.Version}))
	if err != nil {
		return 0, err
	}
	s.runFailpoint("publish.after_append")
	current.versionChanged(request.Version)
	return current.latest(), nil
}

// versionChanged notifies waiting calls and OnVersion of a newer version.
func (c *session) versionChanged(version uint64) {
	c.mutex.Lock()
	c.publishedAt = time.Now()
	c.mutex.Unlock()
	c.work.notify()
	c.ready.notify()
	if c.service.config.OnVersion != nil {
		c.service.config.OnVersion(c.workload, version)
	}
}

// latest returns the newest published version.
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
