package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v4"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

func (a *application) nodesCommand(parent *ff.FlagSet) *ff.Command {
	return a.command(childFlags("nodes", parent), "hillfork nodes", "list the nodes", nil, a.listNodes)
}

func (a *application) listNodes(ctx context.Context, _ []string) error {
	all := &v1.ListNodesResponse{}
	request := func(page *v1.Page) *v1.ListNodesRequest { return &v1.ListNodesRequest{Page: page} }
	err := readPages(ctx, a.admin().ListNodes, request, func(page *v1.ListNodesResponse) {
		all.Nodes = append(all.Nodes, page.GetNodes()...)
		all.Freshness = page.GetFreshness()
	})
	if err != nil {
		return err
	}
	shown := table{header: []string{"NODE", "ADDRESS", "ZONE", "REGION", "STATE", "INCARNATION", "BUNDLE"}}
	for _, node := range all.GetNodes() {
		shown.add(node.GetId(), node.GetAddress(), node.GetZone(), node.GetRegion(), node.GetState(), node.GetIncarnation(), node.GetBundleVersion())
	}
	a.printFreshness(all.GetFreshness())
	return a.print(all, shown)
}

func (a *application) enginesCommand(parent *ff.FlagSet) *ff.Command {
	return a.command(childFlags("engines", parent), "hillfork engines", "list the model engines", nil, a.listEngines)
}

func (a *application) listEngines(ctx context.Context, _ []string) error {
	all := &v1.ListEnginesResponse{}
	request := func(page *v1.Page) *v1.ListEnginesRequest { return &v1.ListEnginesRequest{Page: page} }
	err := readPages(ctx, a.admin().ListEngines, request, func(page *v1.ListEnginesResponse) {
		all.Engines = append(all.Engines, page.GetEngines()...)
		all.Freshness = page.GetFreshness()
	})
	if err != nil {
		return err
	}
	shown := table{header: []string{"ENGINE", "POOL", "ZONE", "OWNER", "STATE", "SERVED", "IN FLIGHT", "SLOTS", "EPOCH"}}
	for _, engine := range all.GetEngines() {
		shown.add(engine.GetId(), engine.GetPool(), engine.GetZone(), engine.GetOwner(), engine.GetState(),
			servedText(engine.GetServed()), engine.GetInFlight(), engine.GetSlots(), engine.GetEpoch())
	}
	a.printFreshness(all.GetFreshness())
	return a.print(all, shown)
}

// servedText formats the served versions as "model@version", sorted by model and separated by commas.
func servedText(served map[string]uint64) string {
	var parts []string
	for _, model := range slices.Sorted(maps.Keys(served)) {
		parts = append(parts, fmt.Sprintf("%s@%d", model, served[model]))
	}
	return strings.Join(parts, ",")
}

func (a *application) shardsCommand(parent *ff.FlagSet) *ff.Command {
	return a.command(childFlags("shards", parent), "hillfork shards", "list the shards and their owners", nil, a.listShards)
}

func (a *application) listShards(ctx context.Context, _ []string) error {
	all := &v1.ListShardsResponse{}
	request := func(page *v1.Page) *v1.ListShardsRequest { return &v1.ListShardsRequest{Page: page} }
	err := readPages(ctx, a.admin().ListShards, request, func(page *v1.ListShardsResponse) {
		all.Shards = append(all.Shards, page.GetShards()...)
		all.Freshness = page.GetFreshness()
	})
	if err != nil {
		return err
	}
	shown := table{header: []string{"SHARD", "OWNER", "EPOCH", "OFFSET"}}
	for _, shard := range all.GetShards() {
		shown.add(shard.GetName(), shard.GetOwner(), shard.GetEpoch(), shard.GetOffset())
	}
	a.printFreshness(all.GetFreshness())
	return a.print(all, shown)
}

func (a *application) stepsCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("steps", parent)
	workload := flags.StringLong("workload", "", "training workload whose steps are listed")
	list := func(ctx context.Context, _ []string) error { return a.listSteps(ctx, *workload) }
	return a.command(flags, "hillfork steps --workload NAME", "list the training steps of a workload", nil, list)
}

func (a *application) listSteps(ctx context.Context, workload string) error {
	if workload == "" {
		return usageError("--workload is needed")
	}
	all := &v1.ListStepsResponse{}
	request := func(page *v1.Page) *v1.ListStepsRequest { return &v1.ListStepsRequest{Workload: workload, Page: page} }
	err := readPages(ctx, a.admin().ListSteps, request, func(page *v1.ListStepsResponse) {
		all.Steps = append(all.Steps, page.GetSteps()...)
		all.Freshness = page.GetFreshness()
	})
	if err != nil {
		return err
	}
	shown := table{header: []string{"WORKLOAD", "STEP", "SAMPLES", "COMPLETED", "DELIVERED", "RUNNING"}}
	for _, step := range all.GetSteps() {
		shown.add(step.GetWorkload(), step.GetStep(), step.GetSamples(), step.GetCompleted(), step.GetDelivered(), step.GetRunning())
	}
	a.printFreshness(all.GetFreshness())
	return a.print(all, shown)
}

func (a *application) drainCommand(parent *ff.FlagSet) *ff.Command {
	drain := func(ctx context.Context, arguments []string) error { return a.drain(ctx, arguments[0]) }
	return a.command(childFlags("drain", parent), "hillfork drain NODE", "stop a node as planned", []string{"NODE"}, drain)
}

func (a *application) drain(ctx context.Context, node string) error {
	response, err := a.admin().DrainNode(ctx, connect.NewRequest(&v1.DrainNodeRequest{Node: node}))
	if err != nil {
		return changeError(err)
	}
	shown := table{header: []string{"NODE", "STATE"}}
	shown.add(node, "draining")
	return a.print(response.Msg, shown)
}
