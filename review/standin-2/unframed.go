package main

import (
	"fmt"
	"strings"
	"time"
)

// unframed has a trainer submit a step of 100 items. One of eight model servers is a process of its own, which is killed while it runs items.
// Its stream of one of the items carries no length; with TROUBLE=0 all streams are chunked, and the server is killed all the same.
func unframed(w *World) bool {
	r := NewRollout(w)
	process := w.StartServer(w.trouble)
	for range 7 {
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
			items = append(items, Item{ID: fmt.Sprintf("g%di%d", group, i), Group: fmt.Sprintf("g%d", group), Length: 40})
		}
	}
	go func() {
		killed := false
		for line := range process.lines {
			fields := strings.Fields(line)
			w.rec.Say("%s makes event %s of item %s, its stream is %s", process.sampler.id, fields[2], fields[1], fields[0])
			if fields[2] == "20" && !killed && (fields[0] == "unframed" || !w.trouble) {
				killed = true
				process.Kill()
			}
		}
		w.rec.Say("%s has ended", process.sampler.id)
	}()
	results, _ := r.Step(w.nodes, "step-0", r.Submission(0, 1, 25, items), 25, items, 12*time.Second)
	held := true
	for position, result := range results {
		if whole := r.WholeText(result.ID); result.State == "completed" && result.Text != whole {
			held = false
			w.rec.Say("MIXED: position %d: %s is completed with %d events; its whole output has %d", position, result.ID, 1+strings.Count(result.Text, "\n"), 1+strings.Count(whole, "\n"))
		}
	}
	if len(results) == 0 {
		check(fmt.Errorf("no result was read"))
	}
	return held
}
