package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
)

// FleetReplicaSettings describes a stand-in replica.
type FleetReplicaSettings struct {
	ID, Service, Address, Zone string
	// Version is that of the software.
	Version string
	Slots   int
	// ModelSizesMB holds the size of each model. A replica of a plain service has
	// none.
	ModelSizesMB map[string]float64
	MemoryMB     float64
	// AnswerTime is the time before an answer, or before each event of a stream.
	AnswerTime time.Duration
	// EventsPerStream is the number of events of a stream.
	EventsPerStream int
	// LoadTime is the duration of a model load.
	LoadTime time.Duration
	Clock    clockwork.Clock
}

// FleetRun is a request that a replica started to execute.
type FleetRun struct {
	Replica, Attempt, Method, Target, Tenant, Body string
	// HasKey reports whether the request still held the caller's key, which must
	// not reach a replica.
	HasKey bool
	// PromptPrefix lists the parts of the prompt.
	PromptPrefix string
	// Resumes names the request that brought the first event of the stream, and Events is
	// the number of events that the replica has sent.
	Resumes string
	Events  int
	// StartedMS is the start of the replica's process, and Version that of its software.
	StartedMS int64
	Version   string
	At        time.Time
}

// FleetOrder is an order that a replica received.
type FleetOrder struct {
	Replica, Holder string
	At              time.Time
}

// FleetReplica is a stand-in for a replica on the users' platform.
type FleetReplica struct {
	settings       FleetReplicaSettings
	executor       *executor
	startedAtMs    int64
	loaded         map[string]bool
	onDisk         []string
	orderSequence  int
	loading        string
	runs           []FleetRun
	orders         []FleetOrder
	violations     []string
	faults         ReplicaFaults
	servedRequests int
	// leaving is set while the replica announces in its answers that it leaves. While
	// turnAwayFor is not 0, it refuses requests and asks for none for that time.
	// refusals are the requests that it has refused so.
	leaving     bool
	turnAwayFor time.Duration
	refusals    []FleetRefusal
	// active is the number of running requests of a plain service or of streams. full holds
	// the times of the requests that were turned away for want of room since the last start,
	// and falls counts the crashes because of them.
	active int
	full   []time.Time
	falls  int
	// downUntil is the end of the time in which the replica, which has crashed, takes
	// no requests. crashed is closed when the current process of the replica crashes.
	downUntil time.Time
	crashed   chan struct{}
}

// NewFleetReplica returns a replica that runs until ctx ends.
func NewFleetReplica(ctx context.Context, settings FleetReplicaSettings) *FleetReplica {
	return &FleetReplica{
		settings:    settings,
		executor:    newExecutor(ctx),
		startedAtMs: settings.Clock.Now().UnixMilli(),
		loaded:      map[string]bool{},
		crashed:     make(chan struct{}),
	}
}

// SetFaults replaces the replica's faults.
func (r *FleetReplica) SetFaults(faults ReplicaFaults) { r.executor.do(func() { r.faults = faults }) }

// Preload puts a model into the memory and onto the disk of the replica without
// an order.
func (r *FleetReplica) Preload(model string) {
	r.executor.do(func() {
		r.loaded[model] = true
		r.onDisk = append(r.onDisk, model)
	})
}

// Runs returns the requests that the replica started to execute.
func (r *FleetReplica) Runs() (runs []FleetRun) {
	r.executor.do(func() { runs = slices.Clone(r.runs) })
	return runs
}

// Orders returns the orders that the replica received.
func (r *FleetReplica) Orders() (orders []FleetOrder) {
	r.executor.do(func() { orders = slices.Clone(r.orders) })
	return orders
}

// Violations describes the orders that exceeded the memory of the replica.
func (r *FleetReplica) Violations() (violations []string) {
	r.executor.do(func() { violations = slices.Clone(r.violations) })
	return violations
}

// ServeHTTP implements http.Handler.
func (r *FleetReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	down, leaving := false, false
	r.executor.do(func() { down, leaving = r.settings.Clock.Now().Before(r.downUntil), r.leaving })
	if down {
		panic(http.ErrAbortHandler)
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if target := request.Header.Get("Target-Instance"); target != "" && target != r.settings.ID {
		w.Header().Set("Instance-Id", r.settings.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/toucanhitch/report":
		r.serveReport(w)
	case "/toucanhitch/order":
		r.serveOrder(w, body)
	default:
		r.serveRequest(w, request, string(body))
	}
}

type fleetOrderRequest struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Expected *int   `json:"expected"`
	Holder   string `json:"holder"`
}

func (r *FleetReplica) serveOrder(w http.ResponseWriter, body []byte) {
	var order fleetOrderRequest
	if json.Unmarshal(body, &order) != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusAccepted
	r.executor.do(func() { status = r.applyOrder(order) })
	w.WriteHeader(status)
}

func (r *FleetReplica) applyOrder(order fleetOrderRequest) int {
	r.orders = append(r.orders, FleetOrder{r.settings.ID, order.Holder, r.settings.Clock.Now()})
	switch {
	case r.loading != "" || order.Expected != nil && *order.Expected != r.orderSequence:
		return http.StatusConflict
	case r.loaded[order.Model] == (order.Op == "load"):
		return http.StatusOK
	}
	r.orderSequence++
	if order.Op == "unload" {
		delete(r.loaded, order.Model)
		return http.StatusAccepted
	}
	usedMB := r.settings.ModelSizesMB[order.Model]
	for model := range r.loaded {
		usedMB += r.settings.ModelSizesMB[model]
	}
	if usedMB > r.settings.MemoryMB {
		r.violations = append(r.violations, fmt.Sprintf("%s was ordered to load models of %.0f MB into %.0f MB of memory", r.settings.ID, usedMB, r.settings.MemoryMB))
	}
	r.loading = order.Model
	startedAtMs := r.startedAtMs
	r.settings.Clock.AfterFunc(r.settings.LoadTime, func() {
		r.executor.do(func() {
			if r.startedAtMs != startedAtMs {
				return
			}
			r.loaded[order.Model], r.loading = true, ""
			if !slices.Contains(r.onDisk, order.Model) {
				r.onDisk = append(r.onDisk, order.Model)
			}
		})
	})
	return http.StatusAccepted
}

// Seal returns the seal of a replica's answer to an attempt. It stands in for a
// MAC.
func Seal(replica, attempt string) string { return "seal-" + replica + "-" + attempt }

// failureStatuses are the statuses of answers to requests that have run and failed. To a
// caller all but the first mean that the request has not run.
var failureStatuses = []int{
	http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
}

func (r *FleetReplica) serveRequest(w http.ResponseWriter, request *http.Request, body string) {
	attempt := request.Header.Get("Attempt-Id")
	model, _, _ := strings.Cut(request.Header.Get("Model"), "/")
	var faults ReplicaFaults
	var turnAwayFor time.Duration
	var crashed chan struct{}
	runNumber, modelMissing, noRoom, fell, origin := 0, false, false, false, ""
	r.executor.do(func() {
		modelMissing = model != "" && !r.loaded[model]
		faults, crashed, turnAwayFor = r.faults, r.crashed, r.turnAwayFor
		if turnAwayFor > 0 {
			r.refusals = append(r.refusals, FleetRefusal{r.settings.ID, attempt, r.startedAtMs, r.settings.Clock.Now(), turnAwayFor})
			return
		}
		if modelMissing || faults.Full {
			return
		}
		if noRoom = faults.Room > 0 && r.active >= faults.Room; noRoom {
			fell = r.turnAway()
			return
		}
		r.active++
		r.servedRequests++
		runNumber = r.servedRequests
		if r.settings.Version != "" {
			origin = " " + r.settings.ID + " " + r.settings.Version
		}
		r.runs = append(r.runs, FleetRun{
			Replica: r.settings.ID, Attempt: attempt, Method: request.Method, Target: request.RequestURI, Body: body,
			Tenant: request.Header.Get("Tenant"), HasKey: request.Header.Get("Key") != "", PromptPrefix: request.Header.Get("Prompt-Prefix"),
			Resumes: request.Header.Get("Resumes"), Version: r.settings.Version,
			StartedMS: r.startedAtMs, At: r.settings.Clock.Now(),
		})
	})
	if runNumber > 0 {
		defer r.executor.do(func() { r.endRun(crashed) })
	}
	if faults.Brittle {
		w.Header().Set("Server-Brittle", strconv.Itoa(faults.MaxRefusals))
	}
	switch {
	case fell:
		panic(http.ErrAbortHandler)
	case noRoom:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case turnAwayFor > 0:
		refuseWithTime(w, attempt, turnAwayFor)
		return
	case modelMissing:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.Full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case faults.LoseEvery > 0 && runNumber%faults.LoseEvery == 0:
		<-request.Context().Done()
		return
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Seal", Seal(r.settings.ID, attempt))
	if faults.NamedLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(faults.NamedLimit, 'f', -1, 64))
	}
	answerTime := cmp.Or(faults.AnswerTime, r.settings.AnswerTime)
	breakOff := faults.BreakEvery > 0 && runNumber%faults.BreakEvery == 0
	crash := faults.CrashOnBody != "" && body == faults.CrashOnBody ||
		faults.CrashOnPart != "" && strings.Contains(request.Header.Get("Prompt-Prefix"), faults.CrashOnPart+":")
	if model != "" {
		r.writeStream(w, request, streamFaults{run: runNumber - 1, answerTime: answerTime, origin: origin, breakOff: breakOff, crash: crash, crashed: crashed})
		return
	}
	select {
	case <-r.settings.Clock.After(answerTime):
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
	if crash {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if faults.FailEvery > 0 && runNumber%faults.FailEvery == 0 {
		w.WriteHeader(failureStatuses[runNumber/faults.FailEvery%len(failureStatuses)])
		return
	}
	answer := "answer to " + attempt
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if breakOff {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
	if breakOff {
		panic(http.ErrAbortHandler)
	}
}

// WithConflictingOrders returns a replica that received orders of two lease
// holders at the same time. Tests use it to verify that their check of orders
// fails.
func (r *FleetReplica) WithConflictingOrders() *FleetReplica {
	conflicting := NewFleetReplica(context.Background(), r.settings)
	now := r.settings.Clock.Now()
	conflicting.orders = []FleetOrder{{r.settings.ID, "holder-1", now}, {r.settings.ID, "holder-2", now}}
	return conflicting
}
