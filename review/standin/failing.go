package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// failingShare is the share of its requests that the failing replica fails, and
	// failingTime the time for which it does so.
	failingShare = 0.45
	failingTime  = 6500 * time.Millisecond
	// bookings is the number of bookings of the case, one each bookingInterval.
	bookings        = 250
	bookingInterval = 25 * time.Millisecond
	bookingLimit    = 1500 * time.Millisecond
)

// failingReplica checks REFUSED and what follows from it while one replica of the booking
// service fails part of its requests, after it has run them, with a 503 of its own that does
// not have Not-Executed. Without the disruption it fails none.
func failingReplica(f *fleet, trouble bool) verdict {
	for i := range 8 {
		settings := replicaSettings{Service: plainService, Zone: "gdansk-a", Slots: 6, WorkTime: 60 * time.Millisecond}
		if err := f.addReplica(fmt.Sprintf("app%d", i), settings); err != nil {
			return verdict{Err: err}
		}
	}
	f.store.put("config", "main", configuration{Version: 3, Models: []string{"m0"}}.spec())
	for _, name := range []string{"frontend-gdansk-a-1", "frontend-gdansk-a-2"} {
		if _, err := f.addNode(name, "gdansk-a"); err != nil {
			return verdict{Err: err}
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{Err: err}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.replicas[0].failUntil(time.Now().Add(failingTime))
	}
	var mutex sync.Mutex
	var broken []string
	answered, twice := 0, 0
	var group sync.WaitGroup
	for i := range bookings {
		group.Go(func() {
			time.Sleep(time.Duration(i) * bookingInterval)
			n, runs, whole := f.nodes[i%2], 0, false
			// A requester repeats a request that may not be repeated once, on a new channel, if
			// the answer promises that it has not run.
			for range 2 {
				transport := newTransport()
				res := send(transport, n, request{Method: http.MethodPost, Path: plainPath + "x", Deadline: bookingLimit, Body: fmt.Sprintf("booking %d", i)})
				transport.CloseIdleConnections()
				ran := f.runsOf(res.Attempt)
				runs += ran
				f.record.printf("booking %d: %v, begun by %d replicas", i, res, ran)
				refused := res.Status == http.StatusServiceUnavailable || res.Status == http.StatusTooManyRequests
				if refused && ran > 0 {
					mutex.Lock()
					broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d by %s and has run", res.Attempt, res.Status, res.Node))
					mutex.Unlock()
				}
				whole = res.Status == http.StatusOK && res.Complete
				if !refused {
					break
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			if whole {
				answered++
			}
			if runs > 1 {
				twice++
				f.record.printf("booking %d ran %d times", i, runs)
			}
		})
	}
	group.Wait()
	f.record.printf("%d of %d bookings were answered; %d ran more than once", answered, bookings, twice)
	if answered < bookings/2 {
		return verdict{Err: fmt.Errorf("only %d bookings were answered", answered)}
	}
	return verdict{Broken: broken}
}

// runsOf returns the number of runs of a requester attempt.
func (f *fleet) runsOf(attempt string) int {
	count := 0
	for _, r := range f.replicas {
		r.mutex.Lock()
		for _, run := range r.runs {
			if run.Attempt == attempt {
				count++
			}
		}
		r.mutex.Unlock()
	}
	return count
}

// failUntil makes the replica fail part of its requests until a time.
func (r *replica) failUntil(until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failsUntil = until
	r.record.printf("replica %s fails %.2f of its requests for %.1f s", r.name, failingShare, time.Until(until).Seconds())
}

// fails reports whether the replica fails the current request.
func (r *replica) fails() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.failsUntil) && rand.Float64() < failingShare
}
