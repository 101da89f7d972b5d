package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// maxKills is how often the process is killed at most; restartDelay is the platform's delay before it starts it again, lifetime how long each
	// life lasts.
	maxKills     = 45
	restartDelay = 300 * time.Millisecond
	lifetime     = 1200 * time.Millisecond
)

// lastEpoch is the highest epoch that a process has written a partition with so far that leaves no room: the store sees the epochs of appends.
// It is used to end the series of kills at the right one; how many there are depends on the generation in which the first life began.
const lastEpoch = 1<<20 - 1

// restarts has the process that owns a trainer's jobs killed some 40 times, each time started again soon, as one that crashes in a loop;
// then it is left alone. A step that has begun in its last life but one has to go on. Three nodes, eight model servers, three servers for reward
// calls.
func restarts(w *World) bool {
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
	step := func(number, length int) (string, []byte, []Item) {
		var items []Item
		for group := range 25 {
			for i := range 4 {
				items = append(items, Item{ID: fmt.Sprintf("s%dg%di%d", number, group, i), Group: fmt.Sprintf("s%dg%d", number, group), Length: length})
			}
		}
		return fmt.Sprintf("step-%d", number), r.Submission(number, 1, 25, items), items
	}
	id, body, items := step(0, 18)
	if _, whole := r.Step(w.nodes, id, body, 25, items, stepLimit); !whole {
		check(fmt.Errorf("the first step is not whole"))
	}
	var owner *Node
	for _, n := range w.nodes {
		if strings.HasPrefix(w.store.Owner("hillfork-jobs", "keyed.jobs", 0), n.name+"@") {
			owner = n
		}
	}
	if owner == nil {
		check(fmt.Errorf("nobody owns the trainer's jobs"))
	}
	var others []*Node
	for _, n := range w.nodes {
		if n != owner {
			others = append(others, n)
		}
	}
	restart := func() {
		owner.Signal(syscall.SIGKILL)
		<-owner.ended
		time.Sleep(restartDelay)
		owner.Start()
	}
	if w.trouble {
		for number := range maxKills {
			restart()
			time.Sleep(lifetime)
			if w.store.Epoch("keyed.jobs", 0, "owner")&lastEpoch == lastEpoch {
				w.rec.Say("%d kills so far; one more follows", number+1)
				break
			}
		}
	}
	id, body, items = step(1, 60)
	last := time.Now()
	if w.trouble {
		time.AfterFunc(lifetime, func() {
			restart()
			last = time.Now()
		})
	}
	_, whole := r.Step(others, id, body, 25, items, stepLimit)
	ended := time.Now()
	w.rec.Say("the jobs of the trainer are owned by %s", w.store.Owner("hillfork-jobs", "keyed.jobs", 0))
	if whole {
		return true
	}
	return !r.anyLost(items, last.Add(contact), ended)
}
