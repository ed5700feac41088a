package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// withdrawnModel checks LIMIT while a release note withdraws a model that replicas hold
// and adds another one. Without the disruption the note adds the model and withdraws none.
func withdrawnModel(f *fleet, trouble bool) verdict {
	sizes := modelSizesMB
	onDisk := []string{"m0", "m1", "m2", "m3", "m4"}
	for name, loaded := range map[string][]string{"a": {"m0", "m1", "m2"}, "b": {"m0", "m2", "m4"}} {
		err := f.addReplica(name, replicaSettings{
			Service: engineService, Zone: "gdansk-a", Slots: 64, MemoryMB: engineMemoryMB, SizesMB: sizes,
			Loaded: loaded, OnDisk: onDisk, TokenTime: 12 * time.Millisecond,
		})
		if err != nil {
			return verdict{Err: err}
		}
	}
	before := configuration{Version: 3, Models: []string{"m0", "m1", "m2", "m3", "m4"}}
	f.store.put("config", "main", before.spec())
	for _, name := range []string{"frontend-gdansk-a-1", "frontend-gdansk-a-2"} {
		if _, err := f.addNode(name, "gdansk-a"); err != nil {
			return verdict{Err: err}
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{Err: err}
	}
	time.Sleep(8 * time.Second)
	end := time.Now().Add(16 * time.Second)
	var mutex sync.Mutex
	var results []result
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			transport := newTransport()
			defer transport.CloseIdleConnections()
			for time.Now().Before(end) {
				res := send(transport, f.nodes[i%2], request{
					Method: http.MethodPost, Path: rescuePath + "x", Model: []string{"m0", "m2"}[i/2%2], OutputTokens: 70, Deadline: 17 * time.Second, Body: "prompt",
				})
				f.record.printf("request %v", res)
				mutex.Lock()
				results = append(results, res)
				mutex.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	after := configuration{Version: 8, Models: []string{"m0", "m1", "m2", "m3", "m4", "m9"}}
	if trouble {
		after.Models = slices.DeleteFunc(after.Models, func(name string) bool { return name == "m1" })
	}
	f.store.put("config", "main", after.spec())
	f.record.printf("the store has acknowledged version %d with the models %v", after.Version, after.Models)
	group.Wait()
	complete, broken := 0, 0
	for _, res := range results {
		switch {
		case res.Complete && res.Status == http.StatusOK:
			complete++
		case res.Status == http.StatusOK || res.Status == 0 || res.Status == http.StatusBadGateway:
			broken++
		}
	}
	f.record.printf("%d requests were answered whole, %d had begun and were cut or failed", complete, broken)
	if complete < 20 {
		return verdict{Err: fmt.Errorf("only %d requests were answered", complete)}
	}
	var result verdict
	for _, r := range f.replicas {
		for _, text := range r.overloads {
			result.Broken = append(result.Broken, fmt.Sprintf("LIMIT: replica %s; it crashed, and %d requests that had begun were cut", text, broken))
		}
	}
	return result
}
