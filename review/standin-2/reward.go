package main

import (
	"fmt"
	"time"
)

// reward has the operator take the route of the reward calls out of the configuration for two seconds while a step runs, and put it back.
// The route of the items stays. With TROUBLE=0 another route, which nobody uses, is taken out and put back. It checks that no item is given
// up: servers answer every run and every reward call with success.
func reward(w *World) bool {
	r := NewRollout(w)
	for range 8 {
		w.AddSampler("drafter", 8, map[string]int64{model: 1}, r.Drafter)
	}
	for range 3 {
		w.AddSampler("app", 6, nil, r.Scorer)
	}
	w.Configure(Config(1, RolloutRoutes(), Drafter(), App()))
	for range 3 {
		w.AddNode("a")
	}
	for _, n := range w.nodes {
		if !n.AwaitReady(15 * time.Second) {
			check(fmt.Errorf("%s is not ready", n.name))
		}
	}
	var items []Item
	for group := range 25 {
		for i := range 4 {
			items = append(items, Item{ID: fmt.Sprintf("g%di%d", group, i), Group: fmt.Sprintf("g%d", group), Length: 18 + 20*(group%6)})
		}
	}
	out := "r-look"
	if w.trouble {
		out = "r-sync"
	}
	time.AfterFunc(500*time.Millisecond, func() {
		var rest []map[string]any
		for _, route := range RolloutRoutes() {
			if route["name"] != out {
				rest = append(rest, route)
			}
		}
		w.rec.Say("the operator takes route %s out", out)
		w.Configure(Config(2, rest, Drafter(), App()))
	})
	time.AfterFunc(2500*time.Millisecond, func() {
		w.rec.Say("the operator puts route %s back", out)
		w.Configure(Config(3, RolloutRoutes(), Drafter(), App()))
	})
	results, _ := r.Step(w.nodes, "step-0", r.Submission(0, 1, 25, items), 25, items, 12*time.Second)
	held := true
	for position, result := range results {
		switch {
		case result.State == "dead":
			held = false
			w.rec.Say("MIXED: position %d: %s is dead, without a 422, an answer of 500, maxWaitS (40 s), the end of the job or of its route", position, result.ID)
		case result.Text != r.WholeText(result.ID):
			held = false
			w.rec.Say("MIXED: position %d: %s has another text", position, result.ID)
		}
	}
	if len(results) == 0 {
		check(fmt.Errorf("no result was read"))
	}
	return held
}
