package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// crashDowntime is the time after which a replica that has crashed is back.
	crashDowntime = 3 * time.Second
	// tokensPerEvent is the number of tokens in an event of a stream.
	tokensPerEvent = 5
	// firstEventTime is the time from the arrival of a request to its first event.
	firstEventTime = 60 * time.Millisecond
	// diskLoadTime and storeLoadTime are the durations of a load from the replica's own
	// disk and from the weight store.
	diskLoadTime, storeLoadTime = 840 * time.Millisecond, 6 * time.Second
)

// run is a request that a replica has begun to work on.
type run struct {
	Attempt, Replica, Version, Method, Target, Tenant, Model string
	From                                                     int
	At, EndedAt                                              time.Time
	// End is "complete", "channel closed" if the node closed the channel, "crash" if the
	// replica crashed, or empty while the replica is at work.
	End    string
	Events int
}

// replicaSettings describes a replica.
type replicaSettings struct {
	Service, Zone string
	// Version is that of the replica's software, "v1" if it is empty.
	Version string
	Slots   int
	// MemoryMB is the memory for weights, and SizesMB the size of each model's weights.
	// A replica of a plain service has none.
	MemoryMB float64
	SizesMB  map[string]float64
	// Loaded are the models at the first start. OnDisk are those with a copy.
	Loaded, OnDisk []string
	// TokenTime is the time for one token.
	TokenTime time.Duration
	// WorkTime is the time for one request of a plain service.
	WorkTime time.Duration
}

// replica is a stand-in for a replica of a service.
type replica struct {
	settings replicaSettings
	record   *record
	store    *store
	name     string

	mutex   sync.Mutex
	id      string
	starts  int
	born    int64
	address string
	server  *http.Server
	crashed chan struct{}
	lost    bool
	// failsUntil is the end of the time in which the replica fails part of its requests.
	failsUntil time.Time
	loaded     []string
	onDisk     []string
	loading    string
	unloads    string
	sequence   int
	beats      int
	runs       []*run
	// overloads are the orders that exceeded the memory of the replica.
	overloads []string
	orders    []string
}

// startReplica starts a replica, which registers in the store.
func startReplica(name string, settings replicaSettings, s *store, r *record) (*replica, error) {
	rep := &replica{settings: settings, record: r, store: s, name: name, loaded: slices.Clone(settings.Loaded), onDisk: slices.Clone(settings.OnDisk)}
	return rep, rep.start()
}

// start starts an incarnation of the replica.
func (r *replica) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.mutex.Lock()
	r.starts++
	r.id, r.born = fmt.Sprintf("i-%s-%d", r.name, r.starts), time.Now().UnixMilli()
	r.address, r.sequence, r.loading, r.unloads = listener.Addr().String(), 0, "", ""
	r.server, r.crashed = &http.Server{Handler: r}, make(chan struct{})
	server, crashed := r.server, r.crashed
	r.record.printf("replica %s (%s) starts, holding %v", r.name, r.id, r.loaded)
	r.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	go r.beat(r.id, crashed)
	return nil
}

// beat writes the entry of an incarnation. It is removed after three heartbeats of
// silence.
func (r *replica) beat(id string, crashed <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		r.mutex.Lock()
		r.beats++
		entry := r.describe()
		entry["service"], entry["address"], entry["zone"], entry["version"] = r.settings.Service, r.address, r.settings.Zone, r.version()
		entry["slots"], entry["state"], entry["seq"], entry["cold-left-ms"] = r.settings.Slots, "ready", r.beats, 0
		r.mutex.Unlock()
		r.store.put("servers", id, entry)
		select {
		case <-crashed:
			time.Sleep(3 * heartbeat)
			r.store.remove("servers", id)
			return
		case <-ticker.C:
		}
	}
}

func (r *replica) version() string {
	if r.settings.Version == "" {
		return "v1"
	}
	return r.settings.Version
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// describe returns what a replica says of itself. The mutex must be held.
func (r *replica) describe() map[string]any {
	models := []heldModel{}
	for _, name := range r.loaded {
		models = append(models, heldModel{name, 1, []string{}})
	}
	return map[string]any{
		"stage": "unified", "models": models, "born": r.born,
		"available": map[string]any{"in-memory": []string{}, "on-disk": slices.Clone(r.onDisk)},
	}
}

// loseForGood ends the process of the replica, which does not come back.
func (r *replica) loseForGood() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lost = true
	r.crash("lost for good")
}

// crash ends the process of the replica with all requests that it runs. It is back after
// crashDowntime, and holds no model then. The mutex must be held.
func (r *replica) crash(reason string) {
	r.record.printf("replica %s (%s) CRASHES: %s", r.name, r.id, reason)
	close(r.crashed)
	server, lost := r.server, r.lost
	r.loaded = nil
	go func() {
		_ = server.Close()
		if lost {
			return
		}
		time.Sleep(crashDowntime)
		if err := r.start(); err != nil {
			r.record.printf("replica %s does not start: %v", r.name, err)
		}
	}()
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mutex.Lock()
	id := r.id
	r.mutex.Unlock()
	if target := request.Header.Get("Target-Instance"); target != "" && target != id {
		w.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", id)
	case "/toucanhitch/report":
		r.serveReport(w)
	case "/toucanhitch/order":
		w.WriteHeader(r.serveOrder(body))
	default:
		r.serveRequest(w, request)
	}
}

func (r *replica) serveReport(w http.ResponseWriter) {
	r.mutex.Lock()
	report := r.describe()
	report["busy"], report["seq"], report["pending"] = r.loading != "" || r.unloads != "", r.sequence, []string{}
	report["queued"], report["active"], report["kv-used"], report["kv-total"], report["handles"] = 0, r.active(""), 0, 254704, 0
	r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// active returns the number of requests at work, of one model if it is not empty.
func (r *replica) active(model string) int {
	count := 0
	for _, run := range r.runs {
		if run.End == "" && (model == "" || run.Model == model) {
			count++
		}
	}
	return count
}

type order struct {
	Op       string  `json:"op"`
	Model    string  `json:"model"`
	Adapter  string  `json:"adapter"`
	Holder   string  `json:"holder"`
	Expected *int    `json:"expected"`
	Fence    *uint64 `json:"fencing-token"`
}

func (r *replica) serveOrder(body []byte) int {
	var sent order
	if json.Unmarshal(body, &sent) != nil || sent.Holder == "" || sent.Fence == nil || sent.Adapter != "" {
		return http.StatusBadRequest
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	status := r.applyOrder(sent)
	text := fmt.Sprintf("order to %s: %s %s, holder %s, fence %d: %d", r.name, sent.Op, sent.Model, sent.Holder, *sent.Fence, status)
	r.orders = append(r.orders, text)
	r.record.printf("%s", text)
	return status
}

// applyOrder carries out an order. The mutex must be held.
func (r *replica) applyOrder(sent order) int {
	holds := slices.Contains(r.loaded, sent.Model)
	switch {
	case r.loading != "" || r.unloads != "" || sent.Expected != nil && *sent.Expected != r.sequence:
		return http.StatusConflict
	case holds == (sent.Op == "load"):
		return http.StatusOK
	}
	r.sequence++
	if sent.Op == "unload" {
		r.unloads = sent.Model
		go r.unload(r.id, sent.Model)
		return http.StatusAccepted
	}
	usedMB := r.settings.SizesMB[sent.Model]
	for _, model := range r.loaded {
		usedMB += r.settings.SizesMB[model]
	}
	if usedMB > r.settings.MemoryMB {
		text := fmt.Sprintf("holds %v and is ordered to load %s: %.0f MB of %.0f", r.loaded, sent.Model, usedMB, r.settings.MemoryMB)
		r.overloads = append(r.overloads, r.name+" "+text)
		r.crash(text)
		return http.StatusAccepted
	}
	r.loading = sent.Model
	duration := storeLoadTime
	if slices.Contains(r.onDisk, sent.Model) {
		duration = diskLoadTime
	}
	id := r.id
	time.AfterFunc(duration, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.id != id || r.loading != sent.Model {
			return
		}
		r.loading = ""
		r.loaded = append(r.loaded, sent.Model)
		if !slices.Contains(r.onDisk, sent.Model) {
			r.onDisk = append(r.onDisk, sent.Model)
		}
		r.record.printf("replica %s holds %v", r.name, r.loaded)
	})
	return http.StatusAccepted
}

// unload drops a model once its runs have ended.
func (r *replica) unload(id, model string) {
	for {
		r.mutex.Lock()
		if r.id != id {
			r.mutex.Unlock()
			return
		}
		if r.active(model) == 0 {
			r.unloads = ""
			r.loaded = slices.DeleteFunc(r.loaded, func(name string) bool { return name == model })
			r.record.printf("replica %s holds %v", r.name, r.loaded)
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// seal stands in for the MAC of an answer.
func seal(replica, attempt string) string { return "seal-" + replica + "-" + attempt }

func (r *replica) serveRequest(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("Attempt-Id")
	model, _, _ := strings.Cut(request.Header.Get("Model"), "/")
	if attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", attempt)
	r.mutex.Lock()
	if model != "" && !slices.Contains(r.loaded, model) {
		r.mutex.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.active("") >= r.settings.Slots || model != "" && r.unloads == model {
		r.mutex.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	current := &run{
		Attempt: attempt, Replica: r.id, Version: r.version(), Method: request.Method, Target: request.RequestURI,
		Tenant: request.Header.Get("Tenant"), Model: model, From: from, At: time.Now(),
	}
	r.runs = append(r.runs, current)
	crashed, id := r.crashed, r.id
	r.mutex.Unlock()
	w.Header().Set("Response-Seal", seal(id, attempt))
	end := ""
	if model != "" {
		end = r.stream(w, request, current, crashed)
	} else {
		end = r.answer(w, request, attempt, crashed)
	}
	r.mutex.Lock()
	current.End, current.EndedAt = end, time.Now()
	r.mutex.Unlock()
	r.record.printf("replica %s: run of %s ends after %.2f s: %s, %d events", r.name, attempt, time.Since(current.At).Seconds(), end, current.Events)
	if end == "crash" {
		panic(http.ErrAbortHandler)
	}
}

// wait waits for a time, the end of the channel or a crash, and returns how the run ends,
// or "" if it goes on.
func wait(request *http.Request, duration time.Duration, crashed <-chan struct{}) string {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ""
	case <-crashed:
		return "crash"
	case <-request.Context().Done():
		select {
		case <-crashed:
			return "crash"
		default:
			return "channel closed"
		}
	}
}

// answer answers a request of a plain service.
func (r *replica) answer(w http.ResponseWriter, request *http.Request, attempt string, crashed <-chan struct{}) string {
	if end := wait(request, r.settings.WorkTime, crashed); end != "" {
		return end
	}
	text := "answer to " + attempt
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if r.fails() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, text)
	return "complete"
}

// stream writes the events after the one that Last-Event-Id names.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, current *run, crashed <-chan struct{}) string {
	_, output, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	events := max(1, (tokens+tokensPerEvent-1)/tokensPerEvent)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(w)
	for id := current.From + 1; id <= events; id++ {
		duration := tokensPerEvent * r.settings.TokenTime
		if id == current.From+1 {
			duration = firstEventTime
		}
		if end := wait(request, duration, crashed); end != "" {
			return end
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", id, current.Attempt, id); err != nil || control.Flush() != nil {
			return "channel closed"
		}
		current.Events++
	}
	return "complete"
}
