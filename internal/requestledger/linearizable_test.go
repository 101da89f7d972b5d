package requestledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peerapi"
)

// keyState is the model of one key: whether it may have run, and the asks that were answered as not run.
type keyState struct {
	mayHaveRun bool
	closed     string // one character for each ask
}

func (state keyState) isClosed(ask uint64) bool {
	return slices.Contains(splitAsks(state.closed), ask)
}

func splitAsks(closed string) []uint64 {
	var asks []uint64
	for _, character := range closed {
		asks = append(asks, uint64(character))
	}
	return asks
}

func (state keyState) close(ask uint64) keyState {
	if !state.isClosed(ask) {
		state.closed += string(rune(ask))
	}
	return state
}

// askInput is one operation of the history.
type askInput struct {
	ask     uint64
	resolve bool
}

// keyModel defines which results an ask may have in which state.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		var next []any
		for _, following := range state.(keyState).after(input.(askInput), output.(askResult)) {
			next = append(next, following)
		}
		return next
	},
	Equal: func(a, b any) bool { return a.(keyState).equal(b.(keyState)) },
}

// after returns the possible states after an ask with the given output; none if the output is impossible in this state.
func (state keyState) after(input askInput, output askResult) []keyState {
	ran := state
	ran.mayHaveRun = true
	closed := state.isClosed(input.ask)
	switch {
	case output.refused && closed:
		return []keyState{state}
	case output.refused && state.mayHaveRun:
		return []keyState{state}
	case output.refused:
		return []keyState{state, ran, state.close(input.ask)}
	case output.outcome == peerapi.OutcomeNotRun && closed:
		return []keyState{state}
	case output.outcome == peerapi.OutcomeNotRun && !state.mayHaveRun:
		return []keyState{state.close(input.ask)}
	case output.outcome == peerapi.OutcomeNotRun, closed:
		return nil
	case input.resolve && !state.mayHaveRun:
		return nil // a resolve starts nothing
	case output.outcome == peerapi.OutcomeCompleted, output.outcome == peerapi.OutcomeUnknown:
		return []keyState{ran}
	}
	return nil
}

func (state keyState) equal(other keyState) bool {
	asks, others := splitAsks(state.closed), splitAsks(other.closed)
	slices.Sort(asks)
	slices.Sort(others)
	return state.mayHaveRun == other.mayHaveRun && slices.Equal(asks, others)
}

const (
	historySeeds   = 300
	historyNodes   = 3
	historyClients = 5
	historyAsks    = 4
)

// TestLinearizable has several clients ask for one key at nodes that take the shard over from each other, while the log
// and the engines fail, and checks that the recorded history is linearizable and that at most one engine received the
// request.
func TestLinearizable(t *testing.T) {
	outcomes := map[peerapi.Outcome]int{}
	refused := 0
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			history, starts := recordHistory(t, seed)
			if starts > 1 {
				t.Errorf("seed %d: %d engines received the request", seed, starts)
			}
			for _, operation := range history {
				output := operation.Output.(askResult)
				outcomes[output.outcome]++
				if output.refused {
					refused++
				}
			}
			if !porcupine.CheckOperations(keyModel.ToModel(), history) {
				t.Errorf("seed %d: history is not linearizable: %v", seed, describe(history))
			}
		})
	}
	is := is.New(t)
	t.Logf("ends: %v, refused or uncertain: %d", outcomes, refused)
	const minOutcomes = historySeeds / 10 // the minimum of each outcome, so that the check covers it
	is.True(outcomes[peerapi.OutcomeCompleted] > minOutcomes)
	is.True(outcomes[peerapi.OutcomeNotRun] > minOutcomes)
	is.True(outcomes[peerapi.OutcomeUnknown] > minOutcomes)
	is.True(refused > minOutcomes)
}

// recordHistory runs one history and returns it with the number of engines that received the request.
func recordHistory(t *testing.T, seed uint64) (history []porcupine.Operation, starts int) {
	random := &lockedRandom{random: rand.New(rand.NewPCG(seed, 1))}
	faulty := random.intN(2) == 0
	log := &fakeLog{fault: func(uint8) logFault {
		if faulty && random.intN(4) == 0 {
			return logFault(random.intN(4))
		}
		return logOK
	}}
	engines := &fakeEngines{fault: func() dispatchFault {
		if random.intN(20) == 0 {
			return dispatchFault(random.intN(5))
		}
		return dispatchFault(random.intN(3)) // no fault, or a rejection that proves that the request did not run
	}}
	var nodes []*Service
	for range historyNodes {
		node := New(Config{
			Opener: &fakeNode{log: log}, Dispatcher: engines, Bundles: fakeBundles{},
			Owners:    fakeOwners{func() *Service { return nodes[random.intN(historyNodes)] }},
			Failpoint: func(Failpoint) { time.Sleep(time.Duration(random.intN(50)) * time.Millisecond) },
		})
		defer node.Close()
		nodes = append(nodes, node)
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	began := time.Now()
	for client := range historyClients {
		clients.Go(func() {
			for i := range historyAsks {
				input := askInput{ask: uint64(1 + client*historyAsks/2 + i/2), resolve: random.intN(3) == 0}
				node := nodes[max(0, random.intN(6*historyNodes)-5*historyNodes)] // mostly the first node
				time.Sleep(time.Duration(random.intN(100)) * time.Millisecond)
				if random.intN(3) == 0 {
					log.deliverDelayed()
				}
				called := time.Since(began)
				var output askResult
				if input.resolve {
					output = resolve(t.Context(), node, request("key", input.ask))
				} else {
					output = execute(t.Context(), node, request("key", input.ask))
				}
				returned := int64(time.Since(began))
				if output.refused {
					returned = int64(time.Hour) // the request may take effect at any later time
				}
				output.tokens = nil // compared by the other tests; operations must be comparable
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: input, Call: int64(called), Output: output, Return: returned,
				})
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return history, engines.total()
}

// lockedRandom is a random source that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func describe(history []porcupine.Operation) string {
	text := ""
	for _, operation := range history {
		text += fmt.Sprintf("\n%12v..%12v %+v -> %+v", time.Duration(operation.Call), time.Duration(operation.Return), operation.Input, operation.Output)
	}
	return text
}
