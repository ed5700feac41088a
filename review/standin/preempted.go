package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// preemptionPause is the time for which a preempted stream pauses. Requesters of the route
// wait for 4.8 s.
const preemptionPause = 2900 * time.Millisecond

// preemptedStream checks LOST after a SIGHUP while replicas that are short of memory
// preempt streams. Without the disruption they do not.
func preemptedStream(f *fleet, trouble bool) verdict {
	settings := replicaSettings{}
	if trouble {
		settings.PauseAfter, settings.Pause = 2, preemptionPause
	}
	if err := streamingFleet(f, settings); err != nil {
		return verdict{Err: err}
	}
	n := f.nodes[0]
	hupAt := time.Now()
	f.signal(n, syscall.SIGHUP)
	var mutex sync.Mutex
	var results []result
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			time.Sleep(time.Duration(300+i*100) * time.Millisecond)
			transport := newTransport()
			defer transport.CloseIdleConnections()
			res := send(transport, n, request{Method: http.MethodPost, Path: briefPath + "x", Model: "m0", OutputTokens: shortTokens, Deadline: requesterLimit, Body: "prompt"})
			f.record.printf("sent %.2f s after SIGHUP: %v", res.SentAt.Sub(hupAt).Seconds(), res)
			mutex.Lock()
			defer mutex.Unlock()
			results = append(results, res)
		})
	}
	group.Wait()
	return verdict{Broken: f.cutAnswers(results, hupAt, hupAt.Add(time.Minute))}
}
