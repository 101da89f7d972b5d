package connectadapter

import (
	"context"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/hillfork/hillfork/internal/gen/platform/v1"
	"github.com/hillfork/hillfork/internal/gen/platform/v1/platformv1connect"
	"github.com/hillfork/hillfork/internal/platform"
)

// Log opens the log service at address.
func (a *Adapter) Log(address string) platform.Log {
	return logClient{client: platformv1connect.NewLogServiceClient(a.client, BaseURL(address), a.options...)}
}

type logClient struct {
	client platformv1connect.LogServiceClient
}

func (l logClient) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	request := connect.NewRequest(&platformv1.AppendRequest{Stream: stream, Payloads: payloads})
	response, err := l.client.Append(ctx, request)
	if err != nil {
		return 0, wrap("append to log", err)
	}
	return response.Msg.FirstOffset, nil
}

func (l logClient) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	request := connect.NewRequest(&platformv1.ReadRequest{
		Stream:     stream,
		Offset:     offset,
		MaxEntries: int32(options.MaxEntries),
		WaitMillis: milliseconds(options.Wait),
	})
	response, err := l.client.Read(ctx, request)
	if err != nil {
		return platform.ReadResult{}, wrap("read log", err)
	}
	result := platform.ReadResult{Tail: response.Msg.Tail}
	for _, entry := range response.Msg.Entries {
		result.Entries = append(result.Entries, platform.Entry{Offset: entry.Offset, Payload: entry.Payload})
	}
	return result, nil
}

// MachineList opens the machine list at address.
func (a *Adapter) MachineList(address string) platform.MachineList {
	return machineListClient{client: platformv1connect.NewMachineListServiceClient(a.client, BaseURL(address), a.options...)}
}

type machineListClient struct {
	client platformv1connect.MachineListServiceClient
}

func (m machineListClient) List(ctx context.Context) ([]platform.Machine, error) {
	response, err := m.client.ListMachines(ctx, connect.NewRequest(&platformv1.ListMachinesRequest{}))
	if err != nil {
		return nil, wrap("list machines", err)
	}
	machines := make([]platform.Machine, 0, len(response.Msg.Machines))
	for _, machine := range response.Msg.Machines {
		machines = append(machines, platform.Machine{
			ID:      machine.Id,
			Kind:    platform.MachineKind(machine.Kind),
			Address: machine.Address,
			Zone:    machine.Zone,
			Region:  machine.Region,
			Pool:    machine.Pool,
			State:   platform.MachineState(machine.State),
		})
	}
	return machines, nil
}

// WeightStore is a client of the weight store.
type WeightStore struct {
	client platformv1connect.WeightStoreServiceClient
}

var _ platform.WeightStore = WeightStore{}

// WeightStore opens the weight store at address.
func (a *Adapter) WeightStore(address string) WeightStore {
	return WeightStore{client: platformv1connect.NewWeightStoreServiceClient(a.client, BaseURL(address), a.options...)}
}

// Latest returns the newest version of the model, 0 where there is none.
func (w WeightStore) Latest(ctx context.Context, model string) (uint64, error) {
	response, err := w.client.Latest(ctx, connect.NewRequest(&platformv1.LatestRequest{Model: model}))
	if err != nil {
		return 0, weightErrors.wrap("ask for latest weights", err)
	}
	return response.Msg.Version, nil
}

// PutVersion makes a version available. Trainers call it; to repeat it does no harm.
func (w WeightStore) PutVersion(ctx context.Context, model string, version uint64) error {
	request := connect.NewRequest(&platformv1.PutVersionRequest{Model: model, Version: version})
	_, err := w.client.PutVersion(ctx, request)
	return weightErrors.wrap("put weights", err)
}

// Read transfers a version to reader and returns when it is there. Engines call it; platform.ErrThrottled says to come
// back.
func (w WeightStore) Read(ctx context.Context, model string, version uint64, reader string) error {
	request := connect.NewRequest(&platformv1.ReadWeightsRequest{Model: model, Version: version, Reader: reader})
	_, err := w.client.Read(ctx, request)
	return weightErrors.wrap("read weights", err)
}

// Scorer opens the scoring service at address.
func (a *Adapter) Scorer(address string) platform.Scorer {
	return scorerClient{client: platformv1connect.NewScorerServiceClient(a.client, BaseURL(address), a.options...)}
}

type scorerClient struct {
	client platformv1connect.ScorerServiceClient
}

func (s scorerClient) Score(ctx context.Context, scorer string, sampleID string, prompt, tokens []uint32) (platform.Score, error) {
	request := connect.NewRequest(&platformv1.ScoreRequest{Scorer: scorer, SampleId: sampleID, Prompt: prompt, Tokens: tokens})
	response, err := s.client.Score(ctx, request)
	if err != nil {
		return platform.Score{}, wrap("score sample", err)
	}
	return platform.Score{SampleID: sampleID, Reward: response.Msg.Reward}, nil
}

// milliseconds rounds up, so that a short wait does not become none.
func milliseconds(duration time.Duration) int64 {
	return int64((duration + time.Millisecond - 1) / time.Millisecond)
}
