package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPickEngine(t *testing.T) {
	near := EngineState{ID: "near", Pool: "p", Zone: "z1", Region: "r", Slots: 8, Served: map[string]uint64{"m": 5}}
	far := EngineState{ID: "far", Pool: "p", Zone: "z2", Region: "r", Slots: 8, Served: map[string]uint64{"m": 5}}
	with := func(engine EngineState, change func(*EngineState)) EngineState {
		change(&engine)
		return engine
	}
	request := Request{Model: "m", Pools: []string{"p", "q"}, Versions: VersionBounds{Min: 4, Max: 6}}
	cases := []struct {
		name    string
		engines []EngineState
		request Request
		want    string
	}{
		{"same zone wins", []EngineState{far, near}, request, "near"},
		{"a full engine loses to the next zone", []EngineState{far, with(near, func(e *EngineState) { e.InFlight = 8 })}, request, "far"},
		{"leaving", []EngineState{with(near, func(e *EngineState) { e.Leaving = true }), far}, request, "far"},
		{"quarantined", []EngineState{with(near, func(e *EngineState) { e.Quarantined = true }), far}, request, "far"},
		{"version too old", []EngineState{with(near, func(e *EngineState) { e.Served = map[string]uint64{"m": 3} }), far}, request, "far"},
		{"version too new", []EngineState{with(near, func(e *EngineState) { e.Served = map[string]uint64{"m": 7} }), far}, request, "far"},
		{"unknown version", []EngineState{with(near, func(e *EngineState) { e.Served = nil }), far}, request, "near"},
		{"other pool", []EngineState{with(near, func(e *EngineState) { e.Pool = "x" }), far}, request, "far"},
		{"second pool last", []EngineState{with(near, func(e *EngineState) { e.Pool = "q" }), far}, request, "far"},
		{"tried before", []EngineState{near, far}, Request{Model: "m", Pools: []string{"p"}, Exclude: []string{"near"}}, "far"},
		{"none", []EngineState{with(near, func(e *EngineState) { e.Leaving = true })}, request, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := PickEngine(Snapshot{Engines: c.engines, Zone: "z1", Region: "r"}, c.request)
			is.Equal(got, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

func TestPickEngineSpreadsPrefixesByLoad(t *testing.T) {
	is := is.New(t)
	snapshot := Snapshot{Zone: "z", Region: "r"}
	for i := range 8 {
		snapshot.Engines = append(snapshot.Engines, EngineState{ID: fmt.Sprint("e", i), Pool: "p", Zone: "z", Region: "r", Slots: 8})
	}
	pick := func(prefix uint64) int {
		id, ok := PickEngine(snapshot, Request{Pools: []string{"p"}, PrefixHash: prefix})
		is.True(ok)
		return int(id[1] - '0')
	}
	used := map[int]bool{}
	for prefix := range uint64(100) {
		is.Equal(pick(prefix+1), pick(prefix+1))
		used[pick(prefix+1)] = true
	}
	is.Equal(len(used), 8) // prefixes are distributed over all engines
	for range 64 {
		snapshot.Engines[pick(42)].InFlight++
	}
	for _, engine := range snapshot.Engines {
		is.True(engine.InFlight <= 10) // one popular prefix fills the pool evenly: 8 each, and two more on its own engine
	}
	near := pick(7)
	snapshot.Engines[near].InFlight++
	is.Equal(pick(7), near) // a prefix hit outweighs a small difference in load
	for i := range snapshot.Engines {
		if snapshot.Engines[i].InFlight = 0; i != near {
			snapshot.Engines[i].Zone = "far"
		}
	}
	is.Equal(pick(7), near)
	is.Equal(pick(8), near) // distance outweighs a prefix hit
	is.True(PrefixHash(nil) != 0)
	is.True(PrefixHash([]uint32{1, 2}) != PrefixHash([]uint32{2, 1}))
}

func TestAdmit(t *testing.T) {
	base := AdmissionState{Slots: 4, TypicalDuration: time.Second}
	cases := []struct {
		name   string
		change func(*AdmissionState)
		want   Verdict
		retry  time.Duration
	}{
		{"free slots", func(s *AdmissionState) { s.InFlight = 3; s.Remaining = time.Millisecond }, VerdictQueue, 0},
		{"free place in the queue", func(s *AdmissionState) { s.InFlight = 4; s.Queued = 15 }, VerdictQueue, 0},
		{"queue full", func(s *AdmissionState) { s.InFlight = 4; s.Queued = 16 }, VerdictRefuse, 5 * time.Second},
		{"bundle's queue full", func(s *AdmissionState) { s.InFlight = 4; s.Queued = 2; s.MaxQueue = 2 }, VerdictRefuse, time.Second},
		{"bundle's limit", func(s *AdmissionState) { s.InFlight = 2; s.Queued = 1; s.MaxInFlight = 1; s.MaxQueue = 2 }, VerdictRefuse, 3 * time.Second},
		{"deadline passes in the queue", func(s *AdmissionState) { s.InFlight = 4; s.Queued = 4; s.Remaining = time.Second }, VerdictRefuse, 2 * time.Second},
		{"no history", func(s *AdmissionState) { s.TypicalDuration = 0; s.Queued = 99 }, VerdictRefuse, minRetryAfter},
		{"long queue", func(s *AdmissionState) { s.TypicalDuration = time.Minute; s.Queued = 99 }, VerdictRefuse, maxRetryAfter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := base
			c.change(&state)
			verdict, retry := Admit(state)
			is.Equal(verdict, c.want)
			is.Equal(retry, c.retry)
		})
	}
}

func TestWavesKeepTheServingFloor(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		engines int
		floor   float64
		size    int
		waves   int
	}{{10, 0.9, 1, 10}, {10, 0.75, 2, 5}, {8, 0, 8, 1}, {3, 1, 1, 3}, {900, 0.8, 180, 5}, {0, 0.5, 1, 1}} {
		is.Equal(WaveSize(c.engines, c.floor), c.size)
		is.Equal(WaveCount(c.engines, c.floor), c.waves)
	}
	var engines []string
	for i := range 20 {
		engines = append(engines, fmt.Sprint("e", i))
	}
	last := map[string]bool{}
	for version := range uint64(50) {
		inWave := map[int]int{}
		for _, engine := range engines {
			wave := WaveOf(engines, engine, "m", version, 0.7)
			inWave[wave]++
			if wave == 3 {
				last[engine] = true
			}
		}
		is.Equal(inWave, map[int]int{0: 6, 1: 6, 2: 6, 3: 2})
	}
	is.True(len(last) > 15) // different engines load last for different versions
	is.Equal(WaveDelay(2, 4, 12*time.Second, time.Minute), 6*time.Second)
	is.Equal(WaveDelay(2, 4, 12*time.Second, time.Second), 2*time.Second) // no longer than the loads need
	is.Equal(WaveDelay(0, 1, 12*time.Second, time.Second), time.Duration(0))
}

func TestDesiredVersion(t *testing.T) {
	is := is.New(t)
	is.Equal(DesiredVersion(9, nil), uint64(9))
	is.Equal(DesiredVersion(9, []VersionBounds{{Min: 3, Max: 7}}), uint64(7))
	is.Equal(DesiredVersion(2, []VersionBounds{{Min: 3}}), uint64(0))
	is.Equal(DesiredVersion(9, []VersionBounds{{Max: 7}, {Min: 5, Max: 6}}), uint64(6))
	is.Equal(DesiredVersion(9, []VersionBounds{{Max: 4}, {Min: 5}}), uint64(4)) // the first bounds apply
}
