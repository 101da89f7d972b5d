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
	// maxParallelCalls limits the concurrent node calls of one list request.
	maxParallelCalls = 16
	// nodeListTimeout limits the call to one node. A node that doesn't respond in time is left out of the list.
	nodeListTimeout = 2 * time.Second
	// stateDead is the state of members that are not called.
	stateDead = "dead"
)

// ListNodes lists the members known to this node. Each has the bundle version that it reports as in force, or 0 if it
// did not respond.
func (s *adminService) ListNodes(
	ctx context.Context, request *connect.Request[v1.ListNodesRequest],
) (*connect.Response[v1.ListNodesResponse], error) {
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	members := s.sortedMembers()
	page, next := pageAfter(members, nodeOf, request.Msg.GetPage().GetToken(), size)
	start := time.Now()
	versions := s.bundleVersions(ctx, page)
	newest, oldest := confirmationAges(page, time.Now())
	response := &v1.ListNodesResponse{NextPageToken: next, Freshness: s.freshness(newest, max(oldest, time.Since(start)))}
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

// bundleVersions returns the version in force at each member that is not dead and responds. It runs at most
// maxParallelCalls calls at a time.
func (s *adminService) bundleVersions(ctx context.Context, members []Member) map[string]uint64 {
	call := listQuery(s, peerapi.MethodNodeStatus, &peerapi.NodeStatus{}, func() (peer.Message, func() uint64) {
		response := &peerapi.NodeStatusResult{}
		return response, func() uint64 { return response.BundleVersion }
	})
	versions := make(map[string]uint64, len(members))
	for batch := range slices.Chunk(withoutDead(members), maxParallelCalls) {
		for _, result := range queryBatch(ctx, batch, call) {
			versions[result.node] = result.value
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

func confirmationAges(members []Member, now time.Time) (newest, oldest time.Duration) {
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

// nodeResponse is the response of one node to a list call.
type nodeResponse[T any] struct {
	node  string
	value T
}

// queryNodes calls the nodes that sort after token, in batches of maxParallelCalls, until enough returns true. It
// returns the responses in node order, the token of the next page (empty after the last node) and the time elapsed
// since the first call.
func queryNodes[T any](
	ctx context.Context, s *adminService, token string,
	call func(ctx context.Context, address string) (T, error), enough func(results []nodeResponse[T]) bool,
) (results []nodeResponse[T], next string, elapsed time.Duration) {
	start := time.Now()
	remaining := slices.DeleteFunc(withoutDead(s.sortedMembers()), func(member Member) bool { return member.Node <= token })
	for len(remaining) > 0 && ctx.Err() == nil {
		batch := remaining[:min(maxParallelCalls, len(remaining))]
		remaining = remaining[len(batch):]
		results = append(results, queryBatch(ctx, batch, call)...)
		if enough(results) && len(remaining) > 0 {
			return results, batch[len(batch)-1].Node, time.Since(start)
		}
	}
	return results, "", time.Since(start)
}

// queryBatch calls the nodes of a batch concurrently. Nodes whose call fails are left out. The responses are sorted by
// node.
func queryBatch[T any](
	ctx context.Context, batch []Member, call func(ctx context.Context, address string) (T, error),
) []nodeResponse[T] {
	var group errgroup.Group
	var mu sync.Mutex
	var results []nodeResponse[T]
	for _, member := range batch {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, nodeListTimeout)
			defer cancel()
			result, err := call(ctx, member.PeerAddress)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, nodeResponse[T]{member.Node, result})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(results, func(a, b nodeResponse[T]) int { return cmp.Compare(a.node, b.node) })
	return results
}

// listQuery returns a function that calls a list method of one node.
func listQuery[T any](
	s *adminService, method string, request peer.Message, newResponse func() (peer.Message, func() T),
) func(ctx context.Context, address string) (T, error) {
	return func(ctx context.Context, address string) (T, error) {
		response, result := newResponse()
		err := s.gateway.config.Nodes.Call(ctx, address, method, request, response)
		return result(), err
	}
}

// ListEngines collects from the nodes the engines that they dispatch for. A page always ends with a complete batch of
// nodes, so it may exceed the requested size.
func (s *adminService) ListEngines(
	ctx context.Context, request *connect.Request[v1.ListEnginesRequest],
) (*connect.Response[v1.ListEnginesResponse], error) {
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	call := listQuery(s, peerapi.MethodListEngines, &peerapi.ListEngines{}, func() (peer.Message, func() []peerapi.EngineInfo) {
		response := &peerapi.ListEnginesResult{}
		return response, func() []peerapi.EngineInfo { return response.Engines }
	})
	results, next, elapsed := queryNodes(ctx, s, request.Msg.GetPage().GetToken(), call, hasMinItems[peerapi.EngineInfo](size))
	response := &v1.ListEnginesResponse{NextPageToken: next, Freshness: s.freshness(0, elapsed)}
	for _, result := range results {
		for _, engine := range result.value {
			response.Engines = append(response.Engines, engineMessage(result.node, engine))
		}
	}
	slices.SortFunc(response.Engines, func(a, b *v1.EngineInfo) int { return strings.Compare(a.GetId(), b.GetId()) })
	return connect.NewResponse(response), nil
}

func hasMinItems[T any](size int) func(results []nodeResponse[[]T]) bool {
	return func(results []nodeResponse[[]T]) bool {
		count := 0
		for _, result := range results {
			count += len(result.value)
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

// ListShards collects from the nodes the shards that they own. A page always ends with a complete batch of nodes, so it
// may exceed the requested size.
func (s *adminService) ListShards(
	ctx context.Context, request *connect.Request[v1.ListShardsRequest],
) (*connect.Response[v1.ListShardsResponse], error) {
	size, err := pageSize(request.Msg.GetPage())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	call := listQuery(s, peerapi.MethodListShards, &peerapi.ListShards{}, func() (peer.Message, func() []peerapi.ShardInfo) {
		response := &peerapi.ListShardsResult{}
		return response, func() []peerapi.ShardInfo { return response.Shards }
	})
	results, next, elapsed := queryNodes(ctx, s, request.Msg.GetPage().GetToken(), call, hasMinItems[peerapi.ShardInfo](size))
	response := &v1.ListShardsResponse{NextPageToken: next, Freshness: s.freshness(0, elapsed)}
	for _, result := range results {
		for _, info := range result.value {
			response.Shards = append(response.Shards, &v1.ShardInfo{
				Name: info.Name, Owner: result.node, Epoch: info.Epoch, Offset: info.Offset,
			})
		}
	}
	slices.SortFunc(response.Shards, func(a, b *v1.ShardInfo) int { return strings.Compare(a.GetName(), b.GetName()) })
	return connect.NewResponse(response), nil
}

// ListSteps lists the steps of a workload in step order, as reported by the owners of its shards.
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
	start := time.Now()
	steps, err := s.stepsOf(ctx, request.Msg.GetWorkload())
	if err != nil {
		return nil, err
	}
	begin := min(int(after), len(steps))
	end := min(begin+size, len(steps))
	response := &v1.ListStepsResponse{Freshness: s.freshness(0, time.Since(start))}
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
		var result peerapi.ListStepsResult
		err := s.gateway.config.Owners.CallOwner(ctx, stepledger.StreamName(workload, shard), s.gateway.preference(),
			peerapi.MethodListSteps, &peerapi.ListSteps{Workload: workload, Shard: shard}, &result, true)
		if err != nil {
			return nil, connectError(err)
		}
		steps = append(steps, result.Steps...)
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
