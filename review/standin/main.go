// Command standin plays the platform's store, samplers and clients for the cases of the review, and starts the project's own
// program beside them. It uses loopback addresses only.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(ctx context.Context, s *site, trouble bool) error{"late": lateCase, "crash": crashCase, "extra": extraCase}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(play(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a case, and returns 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
func play(run func(ctx context.Context, s *site, trouble bool) error, path string, trouble bool) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	record.printf("trouble: %t", trouble)
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-finished:
		case <-ctx.Done():
			record.printf("the case was ended")
			s.close()
			os.Exit(2)
		}
	}()
	if err := run(ctx, s, trouble); err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	}
	for _, r := range s.replicas {
		if r.unexpected > 0 {
			record.printf("process of %s ended by itself %d times", r.name, r.unexpected)
		}
	}
	if len(record.broken) > 0 {
		fmt.Println("broken:", record.broken[0])
		return 1
	}
	record.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}

const (
	model      = "m0"
	jobsPrefix = "/draft/"
	syncPrefix = "/sync/"
	filePrefix = "/file/"
	modelPool  = "drafter"
	appPool    = "desk-app"
	jobsGroup  = "hillfork-jobs"
)

// build sets the site up: machines, samplers, and the first configuration.
func (s *site) build(ctx context.Context, machines int, adjust func(*sampler)) error {
	for range machines {
		if err := s.addReplica(); err != nil {
			return err
		}
	}
	for i := range 8 {
		s.samplers = append(s.samplers, &sampler{id: fmt.Sprintf("i-draft%d", i), service: modelPool, slots: 8, pace: 40 * time.Millisecond,
			versions: map[string]int64{model: 1}})
	}
	for i := range 3 {
		s.samplers = append(s.samplers, &sampler{id: fmt.Sprintf("i-desk%d", i), service: appPool, slots: 6, pace: 25 * time.Millisecond})
	}
	for i, next := range s.samplers {
		next.site, next.zone = s, zoneNames[i%3]
		next.address = fmt.Sprintf("%s%d:%s", s.network, 40+i, frontPort)
		if adjust != nil {
			adjust(next)
		}
		if err := next.start(); err != nil {
			return err
		}
		go next.live(ctx)
	}
	config, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{
				"name": "r-drafts", "host": host, "pathPrefix": jobsPrefix, "kind": "rollout", "timeoutMs": 10000, "targetMs": 400, "priority": 1,
				"service": modelPool, "maxAttempts": 3, "resumable": true, "runDeadlineMs": 7500, "maxWaitS": 40,
			},
			{
				"name": "r-sync", "host": host, "pathPrefix": syncPrefix, "kind": "idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2,
				"service": appPool, "maxAttempts": 4,
			},
			{
				"name": "r-file", "host": host, "pathPrefix": filePrefix, "kind": "non_idempotent", "timeoutMs": 2000, "targetMs": 400, "priority": 2,
				"service": appPool, "maxAttempts": 2,
			},
		},
		"services": []map[string]any{
			{
				"name": modelPool, "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 8, "kvCapacity": 103490, "models": []map[string]string{{"name": model}}},
			},
			{"name": appPool, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	s.store.Put("keyed.op", "config", config)
	return s.startAll()
}

// newItem returns an item whose output has a number of events.
func newItem(id string, events, group int) item {
	return item{
		ID: id, Path: fmt.Sprintf("%s3/%s-%d", jobsPrefix, id, events), Body: encoded("prompt of " + id), Tokens: 16 + 45*events,
		Headers: map[string]string{"X-Model": model, "X-Token-Count": fmt.Sprintf("16,%d", 45*events), "X-Prefix-Hash": "9c2e41:16"},
		Group:   fmt.Sprintf("g%d", group),
	}
}

// machineOf returns the name of the machine in the name of a group's member.
func machineOf(member string) string {
	name, _, _ := strings.Cut(member, "@")
	return name
}

// holder returns the replica that holds a partition of a group, nil if there is none.
func (s *site) holder(group, part string) *replica {
	return s.byName(machineOf(s.store.Holder(group, part)))
}
