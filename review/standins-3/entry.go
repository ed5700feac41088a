package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// bookingService is a plain service whose requests must not be repeated, and bookings the number
	// of requests for it.
	bookingService = "booking"
	bookings       = 60
	tenant         = "hule930"
)

// bookingConfiguration returns a desired state with one route for requests that run at most once.
func bookingConfiguration() map[string]any {
	configuration := streamConfiguration()
	configuration["routes"] = []any{map[string]any{
		"name": "r-1", "host": host, "path-prefix": "/puxa403/", "route-kind": "non_idempotent", "timeout-ms": 1500,
		"target-latency-ms": 300, "priority": 0, "service": bookingService, "max-attempts": 1, "public": false, "sticky": false, "resumable": false,
	}}
	configuration["services"] = []any{map[string]any{"name": bookingService, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false}}
	return configuration
}

// bookingRun is what a replica was asked to run.
type bookingRun struct{ replica, attempt, method, target, body, tenant string }

// ledger collects the runs of all replicas.
type ledger struct {
	// work is how long a run takes.
	work time.Duration

	mutex sync.Mutex
	runs  []bookingRun
}

// has reports whether a replica has begun to run a request.
func (l *ledger) has(attempt string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.ContainsFunc(l.runs, func(run bookingRun) bool { return run.attempt == attempt })
}

// book runs one request at a replica.
func (l *ledger) book(r *replica, w http.ResponseWriter, request *http.Request, body string) {
	run := bookingRun{r.id, request.Header.Get("Attempt-Id"), request.Method, request.RequestURI, body, request.Header.Get("Tenant")}
	if run.attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mutex.Lock()
	l.runs = append(l.runs, run)
	l.mutex.Unlock()
	r.record.write("replica %s runs %s: %s %s, body %q, tenant %q", r.id, run.attempt, run.method, run.target, run.body, run.tenant)
	time.Sleep(l.work)
	w.Header().Set("Attempt-Id", run.attempt)
	w.Header().Set("Response-Seal", "seal-"+r.id+"-"+run.attempt)
	_, _ = io.WriteString(w, "booked "+run.attempt)
}

// entry plays a store in which another writer has left a copy of the entries of the replicas, under
// names that end with a line break.
func entry(ctx context.Context, w *world) (int, error) {
	w.store.put("config", "main", bookingConfiguration())
	runs := &ledger{work: 20 * time.Millisecond}
	var replicas []*replica
	for i := range 2 {
		r := newReplica(fmt.Sprintf("i-%d", i), bookingService, w.store, w.record)
		r.serve = runs.book
		if err := r.start("v1"); err != nil {
			return notRun, err
		}
		defer r.crash()
		replicas = append(replicas, r)
	}
	if err := w.startNodes(2); err != nil {
		return notRun, err
	}
	if w.trouble {
		for _, r := range replicas {
			r.publishAs(r.id + "\r\n")
			w.record.write("another writer: entry %q, a copy of that of %s", r.id+"\r\n", r.id)
		}
	}
	time.Sleep(3 * time.Second)
	sent := map[string]string{}
	for i := range bookings {
		attempt, body := fmt.Sprintf("b%03d", i), fmt.Sprintf("slot %d, paid", i)
		sent[attempt] = body
		w.book(ctx, w.nodes[i%len(w.nodes)], attempt, body)
		time.Sleep(50 * time.Millisecond)
	}
	changed := 0
	for _, run := range runs.runs {
		body, known := sent[run.attempt]
		if !known || run.method != http.MethodPost || run.target != "/puxa403/2f" || run.body != body || run.tenant != tenant {
			changed++
		}
	}
	w.say("%d requests, %d runs, %d of them with another body or tenant than the caller's", bookings, len(runs.runs), changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

// book sends one request and records its answer.
func (w *world) book(ctx context.Context, n *node, attempt, body string) {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontAddress()+"/puxa403/2f", strings.NewReader(body))
	if err != nil {
		w.record.write("caller: %s not sent: %v", attempt, err)
		return
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", "1500")
	request.Header.Set("Key", callerKey)
	w.record.write("caller: %s sent to %s, body %q", attempt, n.name, body)
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		w.record.write("caller: %s: %v", attempt, err)
		return
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 1000))
	w.record.write("caller: %s got %d, seal %q, %q", attempt, response.StatusCode, response.Header.Get("Response-Seal"), answer)
}
