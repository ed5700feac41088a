package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// digestLimit is the time limit of the requests and the timeout of their route, which is
	// like season-digest.
	digestLimit = 5 * time.Second
	// digestTokens are the output tokens of one of its largest streams (41 events).
	digestTokens = 205
	// minTakenUp is the number of streams that are taken up from which the rule counts.
	minTakenUp = 12
	// maxTakeUps is how often a requester takes up a stream, and takeUpInterval the time
	// between two tries.
	maxTakeUps     = 3
	takeUpInterval = 300 * time.Millisecond
)

// softwareRelease checks LOST for streams that requesters take up again after a replica of
// the earlier software version is lost while two others of that version serve. Without the
// disruption all replicas have the same version.
func softwareRelease(f *fleet, trouble bool) verdict {
	later := "v1"
	if trouble {
		later = "v2"
	}
	for _, start := range []struct {
		name, version string
		loaded        []string
	}{
		{"a", "v1", []string{"m0", "m1"}},
		{"b", "v1", []string{"m2", "m4"}},
		{"c", "v1", []string{"m2", "m5"}},
		{"d", later, []string{"m0", "m1"}},
	} {
		err := f.addReplica(start.name, replicaSettings{
			Service: engineService, Zone: "gdansk-a", Version: start.version, Slots: 64, MemoryMB: engineMemoryMB, SizesMB: modelSizesMB,
			Loaded: start.loaded, OnDisk: []string{"m0", "m1", "m2", "m4", "m5"}, TokenTime: streamTokenTime,
		})
		if err != nil {
			return verdict{Err: err}
		}
	}
	f.store.put("config", "main", configuration{Version: 3, Models: []string{"m0", "m1", "m2", "m4", "m5"}}.spec())
	for _, name := range []string{"frontend-gdansk-a-1", "frontend-gdansk-a-2", "frontend-gdansk-a-3"} {
		if _, err := f.addNode(name, "gdansk-a"); err != nil {
			return verdict{Err: err}
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{Err: err}
	}
	time.Sleep(8 * time.Second)
	var mutex sync.Mutex
	takenUp, goneOn, begun, asked := 0, 0, 0, 0
	ask := func(n *node, deadline time.Duration) (*http.Transport, request, result) {
		transport := newTransport()
		sent := request{Method: http.MethodPost, Path: digestPath + "x", Model: "m0", OutputTokens: digestTokens, Deadline: deadline, Body: "prompt"}
		return transport, sent, send(transport, n, sent)
	}
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			sentAt := time.Now()
			transport, sent, first := ask(f.nodes[i%3], digestLimit)
			transport.CloseIdleConnections()
			f.record.printf("stream %v", first)
			if first.Complete || first.Status != http.StatusOK || first.Events == 0 {
				return
			}
			sent.LastEventID, sent.Resumes = first.LastEventID, first.Attempt
			went := false
			for try := range maxTakeUps {
				sent.Deadline = digestLimit - time.Since(sentAt)
				if sent.Deadline <= 0 {
					break
				}
				transport := newTransport()
				again := send(transport, f.nodes[(i+try+1)%3], sent)
				transport.CloseIdleConnections()
				f.record.printf("%s taken up after event %d: %v", first.Attempt, sent.LastEventID, again)
				if again.Status == http.StatusOK && again.Events > 0 {
					went = true
					break
				}
				time.Sleep(takeUpInterval)
			}
			mutex.Lock()
			defer mutex.Unlock()
			takenUp++
			if went {
				goneOn++
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	f.replicas[0].loseForGood()
	// New streams while the others are taken up.
	for i := range 40 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			transport, _, res := ask(f.nodes[i%3], digestLimit)
			transport.CloseIdleConnections()
			mutex.Lock()
			defer mutex.Unlock()
			asked++
			if res.Status == http.StatusOK && res.Events > 0 {
				begun++
			}
		})
	}
	group.Wait()
	f.record.printf("%d streams were taken up again, %d of them went on; %d of %d new streams began", takenUp, goneOn, begun, asked)
	if begun < asked/2 {
		return verdict{Err: fmt.Errorf("only %d of %d new streams began", begun, asked)}
	}
	if trouble && takenUp < minTakenUp {
		return verdict{Err: fmt.Errorf("only %d streams were taken up again", takenUp)}
	}
	if takenUp >= minTakenUp && float64(goneOn)/float64(takenUp) < 0.5*float64(begun)/float64(asked) {
		return verdict{Broken: []string{fmt.Sprintf("LOST: of %d streams that requesters took up again, %d went on, though two replicas of their version served; of %d new ones %d began", takenUp, goneOn, asked, begun)}}
	}
	return verdict{}
}
