package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	eventInterval     = 180 * time.Millisecond
	eventsPerStream   = 14
)

// Run is one run of a request at a replica.
type Run struct {
	Attempt, Replica, Version, Tenant string
	At                                time.Time
}

// Replica is a stand-in of a model replica that is sound at all times. It carries out one order at
// a time, and ends if it is ordered to load more than it has memory for.
type Replica struct {
	ID, Service, Address, Zone, Version string
	Slots                               int
	// MemoryMB is the memory for weights. Held are the models that the replica holds, with the
	// sizes that they had when they were loaded.
	MemoryMB float64
	Held     map[string]float64
	// SizeOf returns the size of a model and the duration of its load in the newest desired
	// state. It is nil if no orders are expected.
	SizeOf func(model string) (megabytes float64, load time.Duration)
	// EventInterval is the time between two events, eventInterval if it is 0.
	EventInterval time.Duration

	born   int64
	server *http.Server
	record *Record

	mu     sync.Mutex
	orders uint64
	beats  uint64
	active int
	// running counts the running requests by model. busy is set while an order is carried
	// out, and concerned is the model that it loads or unloads.
	running   map[string]int
	busy      bool
	concerned string
	// silent is set while no entry is written. beatNow has the replica write its entry at once.
	silent  bool
	beatNow chan struct{}
	// Ended is set once the replica has crashed, and Overload says why.
	Ended    bool
	Overload string
}

// Start serves requests on a listener.
func (r *Replica) Start(listener net.Listener, record *Record) {
	r.Address, r.born, r.record, r.running = listener.Addr().String(), time.Now().UnixMilli(), record, map[string]int{}
	r.beatNow = make(chan struct{}, 8)
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
}

// Beat writes the entry in the store at each heartbeat until done is closed.
func (r *Replica) Beat(store *Store, done <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		if r.Ended {
			r.mu.Unlock()
			return
		}
		r.beats++
		silent := r.silent
		entry := map[string]any{
			"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "slots": r.Slots,
			"state": "ready", "cold-left-ms": 0, "stage": "unified", "models": r.models(), "seq": r.beats, "born": r.born,
		}
		r.mu.Unlock()
		if !silent {
			store.Write("servers", r.ID, entry)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		case <-r.beatNow:
		}
	}
}

func (r *Replica) models() []map[string]any {
	models := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(r.Held)) {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return models
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if target := request.Header.Get("Target-Instance"); target != "" && target != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", r.ID)
	case "/toucanhitch/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{
			"stage": "unified", "models": r.models(), "busy": r.busy, "seq": r.orders, "queued": 0, "active": r.active,
			"kv-used": 0, "kv-total": 200000, "handles": 0, "born": r.born,
		})
	case "/toucanhitch/order":
		r.order(w, request)
	default:
		r.serve(w, request)
	}
}

// order carries an order out.
func (r *Replica) order(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Op, Model, Adapter, Holder string
		Expected                   *uint64
		Fence                      uint64 `json:"fencing-token"`
	}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || order.Holder == "" || r.SizeOf == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusAccepted
	_, held := r.Held[order.Model]
	size, duration := r.SizeOf(order.Model)
	switch {
	case r.busy || order.Expected != nil && *order.Expected != r.orders:
		status = http.StatusConflict
	case held == (order.Op == "load"):
		status = http.StatusOK
	case order.Op == "load":
		used := 0.0
		for _, other := range r.Held {
			used += other
		}
		r.orders, r.busy, r.concerned = r.orders+1, true, order.Model
		if used+size > r.MemoryMB {
			r.Overload = fmt.Sprintf("ordered to load %s of %.0f MB beside %.0f MB, has %.0f MB", order.Model, size, used, r.MemoryMB)
			go r.crash()
			break
		}
		time.AfterFunc(duration, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.Held[order.Model], r.busy, r.concerned = size, false, ""
		})
	default:
		r.orders, r.busy, r.concerned = r.orders+1, true, order.Model
		go r.unload(order.Model)
	}
	r.record.Printf("replica %s: %s %s from %s, fence %d: %d", r.ID, order.Op, order.Model, order.Holder, order.Fence, status)
	w.WriteHeader(status)
}

// unload drops a model once its runs have finished.
func (r *Replica) unload(name string) {
	for {
		r.mu.Lock()
		if r.running[name] == 0 {
			delete(r.Held, name)
			r.busy, r.concerned = false, ""
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// crash ends the replica with all that it runs.
func (r *Replica) crash() {
	r.mu.Lock()
	r.Ended = true
	r.record.Printf("replica %s crashes: %s; %d requests were running", r.ID, r.Overload, r.active)
	r.mu.Unlock()
	_ = r.server.Close()
}

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	attempt, name := request.Header.Get("Attempt-Id"), request.Header.Get("Model")
	_, _ = io.Copy(io.Discard, request.Body)
	r.mu.Lock()
	_, held := r.Held[name]
	full := r.active >= r.Slots || r.concerned == name
	if held && !full {
		r.active++
		r.running[name]++
	}
	r.mu.Unlock()
	w.Header().Set("Attempt-Id", attempt)
	if !held && !full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.active--
		r.running[name]--
		r.mu.Unlock()
	}()
	first := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	r.record.Ran(Run{attempt, r.ID, r.Version, request.Header.Get("Tenant"), time.Now()}, first)
	limit := 5000
	if ms, err := strconv.Atoi(request.Header.Get("Deadline-Ms")); err == nil {
		limit = ms
	}
	deadline := time.After(time.Duration(limit) * time.Millisecond)
	w.Header().Set("Response-Seal", "seal."+r.ID+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for id := first; id < eventsPerStream; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, r.Version)
		_ = control.Flush()
		if id == eventsPerStream-1 {
			return
		}
		select {
		case <-time.After(cmp.Or(r.EventInterval, eventInterval)):
		case <-deadline:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
