package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	grace = 8 * time.Second
	// shortTokens and longTokens are the output tokens of a mean stream and of one of the
	// largest streams on the sheet (14 and 55 events).
	shortTokens, longTokens = 70, 275
	// streamTokenTime is the time for a token: 75 ms for an event, an eighth of the pause
	// that the route allows.
	streamTokenTime = 15 * time.Millisecond
)

// streamingFleet starts two nodes before two replicas that hold the same models.
func streamingFleet(f *fleet, settings replicaSettings) error {
	settings.Service, settings.Zone, settings.Slots, settings.MemoryMB, settings.SizesMB = engineService, "gdansk-a", 64, engineMemoryMB, modelSizesMB
	settings.Loaded, settings.OnDisk, settings.TokenTime = []string{"m0", "m1"}, []string{"m0", "m1"}, streamTokenTime
	for _, name := range []string{"a", "b"} {
		if err := f.addReplica(name, settings); err != nil {
			return err
		}
	}
	f.store.put("config", "main", configuration{Version: 3, Models: []string{"m0", "m1"}}.spec())
	for _, name := range []string{"frontend-gdansk-a-1", "frontend-gdansk-a-2"} {
		if _, err := f.addNode(name, "gdansk-a"); err != nil {
			return err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(7 * time.Second)
	return nil
}

// longStreamAtStop checks LOST while a node is stopped with SIGTERM: a requester that got
// its address shortly before sends it a long stream, which the node accepts.
func longStreamAtStop(f *fleet, trouble bool) verdict {
	if err := streamingFleet(f, replicaSettings{}); err != nil {
		return verdict{Err: err}
	}
	n := f.nodes[0]
	// Ordinary short streams before the stop.
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			transport := newTransport()
			defer transport.CloseIdleConnections()
			for range 3 {
				res := send(transport, n, request{Method: http.MethodPost, Path: briefPath + "x", Model: "m0", OutputTokens: shortTokens, Deadline: 6 * time.Second, Body: "prompt"})
				f.record.printf("before the stop: %v", res)
			}
		})
	}
	group.Wait()
	addresses, ttl, err := f.resolve(n)
	if err != nil || !slices.Contains(addresses, n.caller) {
		return verdict{Err: fmt.Errorf("the directory gives %v, %v", addresses, err)}
	}
	f.record.printf("a requester gets the addresses %v for %.1f s; it may keep them for three times as long", addresses, ttl)
	stoppedAt := time.Now()
	if trouble {
		f.signal(n, syscall.SIGTERM)
	}
	var mutex sync.Mutex
	var results []result
	for i := range 6 {
		group.Go(func() {
			sendAt := stoppedAt.Add(3700*time.Millisecond + time.Duration(i)*100*time.Millisecond)
			time.Sleep(time.Until(sendAt))
			transport := newTransport()
			defer transport.CloseIdleConnections()
			res := send(transport, n, request{Method: http.MethodPost, Path: briefPath + "x", Model: "m0", OutputTokens: longTokens, Deadline: 6 * time.Second, Body: "prompt"})
			f.record.printf("sent %.2f s after the stop: %v", res.SentAt.Sub(stoppedAt).Seconds(), res)
			mutex.Lock()
			defer mutex.Unlock()
			results = append(results, res)
		})
	}
	group.Wait()
	return verdict{Broken: f.cutAnswers(results, stoppedAt, stoppedAt.Add(grace+time.Second))}
}

// cutAnswers returns the requests that LOST counts around planned work: a replica had
// begun the request, it ended without a complete answer within the time of the planned
// work and before its time limit, and no replica broke off.
func (f *fleet) cutAnswers(results []result, from, until time.Time) []string {
	var broken []string
	for _, res := range results {
		runs, brokeOff := 0, false
		for _, r := range f.replicas {
			r.mutex.Lock()
			for _, run := range r.runs {
				if run.Attempt == res.Attempt {
					runs++
					brokeOff = brokeOff || run.End == "crash"
				}
			}
			r.mutex.Unlock()
		}
		duration := res.EndedAt.Sub(res.SentAt)
		cut := res.Status == http.StatusOK && !res.Complete || res.Status == 0
		if !cut || runs == 0 || brokeOff || duration >= requesterLimit || res.EndedAt.Before(from) || res.EndedAt.After(until) {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: %s, sent %.2f s after the signal, began at a replica, got %d events and was cut after %.2f s of its %v", res.Attempt, res.SentAt.Sub(from).Seconds(), res.Events, duration.Seconds(), requesterLimit))
	}
	return broken
}

// requesterLimit is the time limit of the requests and the timeout of their route.
const requesterLimit = 6 * time.Second
