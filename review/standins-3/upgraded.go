package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// streamService is a service whose replicas answer with streams.
	streamService = "notes"
	callerKey     = "i9n73hh2b9wu3fexd9dn"
	// maxJoined is the number of streams that may hold events of two software versions.
	maxJoined = 2
	// downTime is how long a replica is down, callerCount the number of callers, and takeUps how often
	// each of them takes its stream up again at most.
	downTime    = time.Second
	callerCount = 30
	takeUps     = 4
)

// streamConfiguration returns a desired state with one route, whose streams may be resumed.
func streamConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "path-prefix": "/lohu930/", "route-kind": "streaming", "timeout-ms": 12000,
			"target-latency-ms": 500, "target-gap-ms": 600, "priority": 0, "service": streamService, "max-attempts": 2,
			"public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{"name": streamService, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{callerKey}, "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 57337, "burst": 68874}},
	}
}

// upgraded plays a service whose replicas crash and come back under their ids with a new software
// version, while callers have streams there.
func upgraded(ctx context.Context, w *world) (int, error) {
	w.store.put("config", "main", streamConfiguration())
	var replicas []*replica
	for i := range 2 {
		r := newReplica(fmt.Sprintf("i-%d", i), streamService, w.store, w.record)
		if err := r.start("v1"); err != nil {
			return notRun, err
		}
		defer r.crash()
		replicas = append(replicas, r)
	}
	if err := w.startNodes(3); err != nil {
		return notRun, err
	}
	time.Sleep(6 * time.Second)
	results := make([]streamResult, callerCount)
	var group sync.WaitGroup
	for i := range results {
		c := &caller{nodes: w.nodes, record: w.record, path: "/lohu930/2f", key: callerKey, deadline: 10 * time.Second, pause: 100 * time.Millisecond, retries: takeUps}
		group.Go(func() { results[i] = c.run(ctx, fmt.Sprintf("s%02d", i)) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if w.trouble {
		if err := w.upgrade(replicas); err != nil {
			return notRun, err
		}
	}
	group.Wait()
	joined, complete := 0, 0
	for _, result := range results {
		w.record.write("stream %s: %d events of %v in %d requests, %s", result.name, result.events, result.versions, result.requests, result.ended)
		if result.joined() {
			joined++
		}
		if result.ended == "complete" {
			complete++
		}
	}
	w.say("%d of %d streams hold events of two software versions, %d may; %d are complete", joined, callerCount, maxJoined, complete)
	if joined > maxJoined {
		return broken, nil
	}
	return held, nil
}

// upgrade lets all replicas crash and start again with the next version.
func (w *world) upgrade(replicas []*replica) error {
	for _, r := range replicas {
		r.crash()
	}
	time.Sleep(downTime)
	for _, r := range replicas {
		if err := r.start("v2"); err != nil {
			return err
		}
	}
	return nil
}
