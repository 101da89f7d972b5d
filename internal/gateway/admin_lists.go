package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/stepledger"
)

const (
	// fanOut bounds the nodes asked at once for one list.
	fanOut = 16
	// nodeListTimeout bounds the answer of one node; one that takes longer is left out.
	nodeListTimeout = 2 * time.Second
	// stateDead is the state of members that are not asked.
	stateDead = "dead"
)

// ListNodes lists the members as this node sees them, each with the bundle version that it says is in force at it: 0 where
// it did not answer.
func (s *adminService) ListNodes(
	ctx context.Context, request *connect.Request[v1.ListNodesRequest],
) (*connect.Response[v1.ListNodesResponse], error) {
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	members := s.sortedMembers()
	page, next := pageAfter(members, nodeOf, request.Msg.GetPage().GetToken(), size)
	began := time.Now()
	versions := s.bundleVersions(ctx, page)
	newest, oldest := heardAges(page, time.Now())
	response := &v1.ListNodesResponse{NextPageToken: next, Freshness: s.freshness(newest, max(oldest, time.Since(began)))}
	for _, member := range page {
		response.Nodes = append(response.Nodes, &v1.NodeStatus{
			Id:            member.Node,
			Address:       member.PeerAddress,
			Zone:          member.Zone,
			Region:        member.Region,
			State:         member.State,
			Incarnation:   member.Incarnation,
			BundleVersion: versions[member.Node],
		})
	}
	return connect.NewResponse(response), nil
}

// bundleVersions asks members that are not dead for the version in force at them, a bounded number at once.
func (s *adminService) bundleVersions(ctx context.Context, members []Member) map[string]uint64 {
	ask := askList(s, peerapi.MethodNodeStatus, &peerapi.NodeStatus{}, func() (peer.Message, func() uint64) {
		response := &peerapi.NodeStatusResult{}
		return response, func() uint64 { return response.BundleVersion }
	})
	versions := make(map[string]uint64, len(members))
	for batch := range slices.Chunk(withoutDead(members), fanOut) {
		for _, answer := range askBatch(ctx, batch, ask) {
			versions[answer.node] = answer.told
		}
	}
	return versions
}

func withoutDead(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.State == stateDead })
}

func nodeOf(member Member) string { return member.Node }

func (s *adminService) sortedMembers() []Member {
	members := slices.Clone(s.gateway.config.Members.Members())
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return members
}

func heardAges(members []Member, now time.Time) (newest, oldest time.Duration) {
	first := true
	for _, member := range members {
		if member.Heard.IsZero() {
			continue
		}
		age := max(0, now.Sub(member.Heard))
		if first {
			newest, oldest, first = age, age, false
		}
		newest = min(newest, age)
		oldest = max(oldest, age)
	}
	return newest, oldest
}

// nodeAnswer is what one node told.
type nodeAnswer[T any] struct {
	node string
	told T
}

// askNodes calls nodes after the one named by token, a bounded number at once, until enough is said to be gathered. It
// returns the answers in the order of the nodes, the token to go on from, and how long ago the first question was asked.
func askNodes[T any](
	ctx context.Context, s *adminService, token string,
	ask func(ctx context.Context, address string) (T, error), enough func(answers []nodeAnswer[T]) bool,
) (answers []nodeAnswer[T], next string, took time.Duration) {
	began := time.Now()
	remaining := slices.DeleteFunc(withoutDead(s.sortedMembers()), func(member Member) bool { return member.Node <= token })
	for len(remaining) > 0 && ctx.Err() == nil {
		batch := remaining[:min(fanOut, len(remaining))]
		remaining = remaining[len(batch):]
		answers = append(answers, askBatch(ctx, batch, ask)...)
		if enough(answers) && len(remaining) > 0 {
			return answers, batch[len(batch)-1].Node, time.Since(began)
		}
	}
	return answers, "", time.Since(began)
}

// askBatch asks some nodes at once; those that fail are left out.
func askBatch[T any](
	ctx context.Context, batch []Member, ask func(ctx context.Context, address string) (T, error),
) []nodeAnswer[T] {
	var group errgroup.Group
	var mu sync.Mutex
	var answers []nodeAnswer[T]
	for _, member := range batch {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, nodeListTimeout)
			defer cancel()
			told, err := ask(ctx, member.PeerAddress)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, nodeAnswer[T]{member.Node, told})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(answers, func(a, b nodeAnswer[T]) int { return cmp.Compare(a.node, b.node) })
	return answers
}

// askList calls a list method of one node.
func askList[T any](
	s *adminService, method string, request peer.Message, newResponse func() (peer.Message, func() T),
) func(ctx context.Context, address string) (T, error) {
	return func(ctx context.Context, address string) (T, error) {
		response, told := newResponse()
		err := s.gateway.config.Nodes.Call(ctx, address, method, request, response)
		return told(), err
	}
}

// ListEngines asks the nodes for the engines that they dispatch for. A page ends with a whole batch of nodes, and so may
// hold more than its size.
func (s *adminService) ListEngines(
	ctx context.Context, request *connect.Request[v1.ListEnginesRequest],
) (*connect.Response[v1.ListEnginesResponse], error) {
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	ask := askList(s, peerapi.MethodListEngines, &peerapi.ListEngines{}, func() (peer.Message, func() []peerapi.EngineInfo) {
		response := &peerapi.ListEnginesResult{}
		return response, func() []peerapi.EngineInfo { return response.Engines }
	})
	answers, next, took := askNodes(ctx, s, request.Msg.GetPage().GetToken(), ask, atLeast[peerapi.EngineInfo](size))
	response := &v1.ListEnginesResponse{NextPageToken: next, Freshness: s.freshness(0, took)}
	for _, told := range answers {
		for _, engine := range told.told {
			response.Engines = append(response.Engines, engineMessage(told.node, engine))
		}
	}
	slices.SortFunc(response.Engines, func(a, b *v1.EngineInfo) int { return strings.Compare(a.GetId(), b.GetId()) })
	return connect.NewResponse(response), nil
}

func atLeast[T any](size int) func(answers []nodeAnswer[[]T]) bool {
	return func(answers []nodeAnswer[[]T]) bool {
		count := 0
		for _, told := range answers {
			count += len(told.told)
		}
		return count >= size
	}
}

func engineMessage(owner string, engine peerapi.EngineInfo) *v1.EngineInfo {
	return &v1.EngineInfo{
		Id:       engine.ID,
		Pool:     engine.Pool,
		Zone:     engine.Zone,
		Owner:    owner,
		State:    engine.State,
		Served:   engine.Served,
		InFlight: int32(engine.InFlight),
		Slots:    int32(engine.Slots),
		Epoch:    engine.Epoch,
	}
}

// ListShards asks the nodes for the shards that they own. A page ends with a whole batch of nodes, and so may hold more
// than its size.
func (s *adminService) ListShards(
	ctx context.Context, request *connect.Request[v1.ListShardsRequest],
) (*connect.Response[v1.ListShardsResponse], error) {
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	ask := askList(s, peerapi.MethodListShards, &peerapi.ListShards{}, func() (peer.Message, func() []peerapi.ShardInfo) {
		response := &peerapi.ListShardsResult{}
		return response, func() []peerapi.ShardInfo { return response.Shards }
	})
	answers, next, took := askNodes(ctx, s, request.Msg.GetPage().GetToken(), ask, atLeast[peerapi.ShardInfo](size))
	response := &v1.ListShardsResponse{NextPageToken: next, Freshness: s.freshness(0, took)}
	for _, told := range answers {
		for _, info := range told.told {
			response.Shards = append(response.Shards, &v1.ShardInfo{
				Name: info.Name, Owner: told.node, Epoch: info.Epoch, Offset: info.Offset,
			})
		}
	}
	slices.SortFunc(response.Shards, func(a, b *v1.ShardInfo) int { return strings.Compare(a.GetName(), b.GetName()) })
	return connect.NewResponse(response), nil
}

// ListSteps asks the owners of a workload's shards for its steps, in their order.
func (s *adminService) ListSteps(
	ctx context.Context, request *connect.Request[v1.ListStepsRequest],
) (*connect.Response[v1.ListStepsResponse], error) {
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	after, err := numberToken(request.Msg.GetPage().GetToken())
	if err != nil {
		return nil, err
	}
	if _, err := s.gateway.trainingWorkload(request.Msg.GetWorkload()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	began := time.Now()
	steps, err := s.stepsOf(ctx, request.Msg.GetWorkload())
	if err != nil {
		return nil, err
	}
	begin := min(int(after), len(steps))
	end := min(begin+size, len(steps))
	response := &v1.ListStepsResponse{Freshness: s.freshness(0, time.Since(began))}
	if end < len(steps) {
		response.NextPageToken = formatNumberToken(int64(end))
	}
	for _, step := range steps[begin:end] {
		response.Steps = append(response.Steps, stepMessage(step))
	}
	return connect.NewResponse(response), nil
}

func (s *adminService) stepsOf(ctx context.Context, workload string) ([]peerapi.StepInfo, error) {
	var steps []peerapi.StepInfo
	for shard := range stepledger.ShardsPerWorkload {
		var told peerapi.ListStepsResult
		err := s.gateway.config.Owners.CallOwner(ctx, stepledger.StreamName(workload, shard), s.gateway.preference(),
			peerapi.MethodListSteps, &peerapi.ListSteps{Workload: workload, Shard: shard}, &told, true)
		if err != nil {
			return nil, connectError(err)
		}
		steps = append(steps, told.Steps...)
	}
	slices.SortFunc(steps, func(a, b peerapi.StepInfo) int { return cmp.Compare(a.Step, b.Step) })
	return steps, nil
}

func stepMessage(step peerapi.StepInfo) *v1.StepInfo {
	return &v1.StepInfo{
		Workload:  step.Workload,
		Step:      step.Step,
		Samples:   int32(step.Samples),
		Completed: int32(step.Completed),
		Delivered: int32(step.Delivered),
		Running:   int32(step.Running),
	}
}
