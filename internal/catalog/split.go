package catalog

import "sync"

// Splitter distributes the requests of each route over its targets by weight (smooth weighted round-robin). After any number of
// requests, the count of every target differs from its share by at most the number of the route's targets. It is safe for
// concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	start  func() float64
	routes map[string]*splitState
}

type splitState struct {
	credit map[string]float64
}

// NewSplitter returns a splitter. start returns the initial position in a route's cycle, from 0 to 1, so that many nodes do not
// all begin with the same target.
func NewSplitter(start func() float64) *Splitter {
	return &Splitter{start: start, routes: make(map[string]*splitState)}
}

// Pick returns the pool for the next request of a route, empty if it has none.
func (s *Splitter) Pick(route Route) string {
	switch len(route.Targets) {
	case 0:
		return ""
	case 1:
		return route.Targets[0].Pool
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, ok := s.routes[route.Name]
	if !ok {
		state = &splitState{credit: make(map[string]float64)}
		s.routes[route.Name] = state
		for _, target := range route.Targets {
			state.credit[target.Pool] = s.start() * target.Weight
		}
	}
	return state.next(route.Targets)
}

// next adds each target's weight to its credit, picks the target with the highest credit and subtracts the sum of all weights
// from the credit of the picked target.
func (s *splitState) next(targets []Target) string {
	total := 0.0
	best := ""
	for _, target := range targets {
		total += target.Weight
		if target.Weight <= 0 {
			continue
		}
		s.credit[target.Pool] += target.Weight
		if best == "" || s.credit[target.Pool] > s.credit[best] {
			best = target.Pool
		}
	}
	if best != "" {
		s.credit[best] -= total
	}
	return best
}
