package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	careful = "/careful/2f"
	other   = "m1"
	// The newest version of the model is smaller than the one that the replicas hold.
	oldSizeMB, newSizeMB, otherSizeMB = 120000, 90000, 100000
	replicaMB                         = 200000
	loadTime                          = 2 * time.Second
	carefulInterval                   = 300 * time.Millisecond
	resizeAfter                       = 2 * time.Second
	stopAfter                         = 5 * time.Second
	addAfter                          = 18 * time.Second
	askAfter                          = 20 * time.Second
	resizedLength                     = 32 * time.Second
)

// playResized has the operator write a desired state in which the newest version of a model is
// smaller, and stops the holder of the placement lease with SIGTERM as in a rolling restart. The
// replicas still hold the version that they loaded. Then the operator adds a model, and
// requesters ask for it.
func playResized(play *Play) int {
	var mu sync.Mutex
	sizes := map[string]float64{model: oldSizeMB, other: otherSizeMB}
	sizeOf := func(name string) (float64, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		return sizes[name], loadTime
	}
	var replicas []*Replica
	for i := range 2 {
		replicas = append(replicas, &Replica{
			ID: "i-" + string(rune('a'+i)), Service: "llm", Zone: string(rune('a' + i)), Version: "v1", Slots: 24,
			MemoryMB: replicaMB, Held: map[string]float64{model: oldSizeMB}, SizeOf: sizeOf,
		})
	}
	fleet, err := play.NewFleet(3, replicas, resizedState(7, oldSizeMB, false))
	if err != nil {
		play.Record.Printf("the case cannot run: %v", err)
		return failed
	}
	time.Sleep(contactTime)
	addresses := fleet.AwaitDirectory()
	if addresses == nil {
		play.Record.Printf("the case cannot run: the directory does not name all nodes")
		return failed
	}
	clients := &Clients{record: play.Record}
	var requests sync.WaitGroup
	started, resized, stopped, added := time.Now(), false, false, false
	for round := 0; time.Since(started) < resizedLength && !anyEnded(replicas); round++ {
		if !resized && time.Since(started) >= resizeAfter {
			resized = true
			mu.Lock()
			sizes[model] = newSizeMB
			mu.Unlock()
			fleet.Store.Write("config", "main", resizedState(9, newSizeMB, false))
			play.Record.Printf("desired state 9: %s has %d MB, was %d MB", model, newSizeMB, oldSizeMB)
		}
		if play.Trouble && !stopped && time.Since(started) >= stopAfter {
			stopped = true
			if !stopHolder(play, fleet) {
				return failed
			}
		}
		if !added && time.Since(started) >= addAfter {
			added = true
			fleet.Store.Write("config", "main", resizedState(12, newSizeMB, true))
			play.Record.Printf("desired state 12: %s of %d MB is added", other, otherSizeMB)
		}
		requests.Go(func() { clients.Send(addresses, careful, model, false) })
		if time.Since(started) >= askAfter && round%5 == 0 {
			requests.Go(func() { clients.Send(addresses, careful, other, false) })
		}
		time.Sleep(carefulInterval)
	}
	requests.Wait()
	return judgeResized(play, clients, replicas)
}

// stopHolder stops the holder of the lease with SIGTERM, and starts it again once it has ended.
func stopHolder(play *Play, fleet *Fleet) bool {
	holder := fleet.Store.Holder()
	for _, node := range fleet.Nodes {
		if node.Name != holder {
			continue
		}
		play.Record.Printf("SIGTERM for %s, which holds the placement lease", holder)
		ended := node.Signal(syscall.SIGTERM)
		go func() {
			<-ended
			if err := node.Start(false); err == nil {
				play.Record.Printf("%s has ended and started again", holder)
			}
		}()
		return true
	}
	play.Record.Printf("the case cannot run: no holder of the lease, %q is named", holder)
	return false
}

// Holder returns the node that the placement lease names.
func (s *Store) Holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lease := range s.objects["toucanhitch-leases"] {
		var value struct {
			Data struct{ Holder string }
		}
		if json.Unmarshal(lease.Spec, &value) == nil && value.Data.Holder != "" {
			return value.Data.Holder
		}
	}
	return ""
}

func anyEnded(replicas []*Replica) bool {
	for _, replica := range replicas {
		replica.mu.Lock()
		ended := replica.Ended
		replica.mu.Unlock()
		if ended {
			return true
		}
	}
	return false
}

// judgeResized applies the rule LIMIT: no replica is ordered to load more than it holds. It also
// counts the accepted requests that were cut with the replica.
func judgeResized(play *Play, clients *Clients, replicas []*Replica) int {
	cut, served := 0, 0
	for _, try := range clients.tries {
		switch {
		case try.Status == http.StatusOK && !try.Complete:
			cut++
		case try.Model == other && try.Complete:
			served++
		}
	}
	code := held
	for _, replica := range replicas {
		if replica.Overload != "" {
			play.Record.Printf("LIMIT is broken: replica %s was %s", replica.ID, replica.Overload)
			code = broken
		}
	}
	play.Record.Printf("%d streams that had begun were cut, %d requests for %s were served", cut, served, other)
	if code == held && served == 0 {
		play.Record.Printf("the case cannot run: the other model was never served")
		return failed
	}
	return code
}

// resizedState is a desired state with one route that is not resumable, a size of the model, and
// perhaps another model.
func resizedState(version int, size float64, withOther bool) map[string]any {
	models := []any{map[string]any{"name": model, "weights-mb": size, "load-s": loadTime.Seconds(), "adapters": 0, "adapter-size-mb": 66}}
	if withOther {
		models = append(models, map[string]any{"name": other, "weights-mb": otherSizeMB, "load-s": loadTime.Seconds(), "adapters": 0, "adapter-size-mb": 66})
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-careful", "host": host, "path-prefix": "/careful/", "route-kind": "streaming", "timeout-ms": 11000, "target-latency-ms": 2500,
			"priority": 0, "service": "llm", "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "target-gap-ms": 600,
		}},
		"services": []any{map[string]any{
			"name": "llm", "health-path": "/healthz", "max-conns": 200, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 24, "kv-capacity": 200000, "weights-mb": replicaMB, "adapter-slots": 8, "loads-per-s": 15,
				"models": models,
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 10000},
		"tenants": []any{map[string]any{"name": "tenant-a", "api-keys": []string{key}, "priority": 0, "unit": "token_stream", "plain-tokens": 200}},
	}
}
