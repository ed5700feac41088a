package emulator

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Engine is an emulated model engine. It serves the engine protocol, /faults,
// which reads and sets its faults, and /seen, which returns the requests that it
// received.
type Engine struct {
	clock      clockwork.Clock
	task       *runner.Task[EngineMessage, EngineEffect]
	mux        *http.ServeMux
	requestLog endpointLog
	died       chan struct{}
	die        func()
}

const (
	// engineInbox is the capacity of the inbox of an engine's controller.
	engineInbox = 4096
	// maxEngineBody is the largest request body, in bytes.
	maxEngineBody = 8 << 20
)

// NewEngine returns a running engine and a function that stops it. The error
// wraps ErrEndpointSettings if settings are invalid.
func NewEngine(settings EngineSettings, clock clockwork.Clock) (*Engine, func(), error) {
	if err := settings.validate(); err != nil {
		return nil, nil, err
	}
	engine := &Engine{clock: clock, mux: http.NewServeMux(), died: make(chan struct{})}
	engine.die = sync.OnceFunc(func() { close(engine.died) })
	performer := newEnginePerformer(settings.WeightStore, clock)
	engine.task = runner.New(runner.Settings[EngineMessage, EngineEffect]{
		Name:       "engine " + settings.Name,
		Clock:      clock,
		Controller: NewEngineController(settings),
		Tick:       EngineTick{},
		Perform:    performer.perform,
		InboxSize:  engineInbox,
	})
	engine.registerRoutes()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = engine.task.Run(ctx)
	}()
	return engine, func() { cancel(); <-ended; performer.close() }, nil
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.requestLog.add(r)
	e.mux.ServeHTTP(w, r)
}

// Died implements EndpointHandler.
func (e *Engine) Died() <-chan struct{} { return e.died }

// ReceivedRequests returns the latest requests, oldest first.
func (e *Engine) ReceivedRequests() []EndpointRequest { return e.requestLog.all() }

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(ctx context.Context, faults EngineFaults) error {
	_, err := queryEngine[EngineFaults](ctx, e, func(call runner.Call) EngineMessage {
		return EngineSetFaults{Call: call, Faults: faults}
	})
	if err == nil && faults.Die {
		e.die()
	}
	return err
}

// Leave makes the engine refuse new generations.
func (e *Engine) Leave(ctx context.Context) error {
	faults, err := e.faults(ctx)
	if err != nil {
		return err
	}
	faults.Leaving = true
	return e.SetFaults(ctx, faults)
}

func (e *Engine) faults(ctx context.Context) (EngineFaults, error) {
	return queryEngine[EngineFaults](ctx, e, func(call runner.Call) EngineMessage { return EngineGetFaults{Call: call} })
}

func (e *Engine) registerRoutes() {
	e.mux.HandleFunc("POST /v1/generate", e.generate)
	e.mux.HandleFunc("DELETE /v1/generate/{Attempt}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/events", e.events)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /faults", e.getFaults)
	e.mux.HandleFunc("PUT /faults", e.putFaults)
	e.mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) {
		writeEndpointJSON(w, http.StatusOK, e.ReceivedRequests())
	})
}

// queryEngine sends a message to the engine's controller and waits for its
// answer.
func queryEngine[A any](ctx context.Context, e *Engine, build func(runner.Call) EngineMessage) (A, error) {
	return runner.Ask[A](ctx, e.task, build, nil)
}

// writeEndpointAnswer writes the controller's answer to a request, or 503 if
// the controller did not answer.
func writeEndpointAnswer[A any](w http.ResponseWriter, answer A, err error, write func(A)) {
	if err != nil {
		writeEndpointJSON(w, http.StatusServiceUnavailable, endpointRefusalWire{Error: err.Error()})
		return
	}
	write(answer)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if err := e.task.Post(EngineCancel{Attempt: r.PathValue("Attempt")}); err != nil {
		writeEndpointJSON(w, http.StatusServiceUnavailable, endpointRefusalWire{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	report, err := queryEngine[EngineReport](r.Context(), e, func(call runner.Call) EngineMessage {
		return EngineGetReport{Call: call}
	})
	writeEndpointAnswer(w, report, err, func(report EngineReport) {
		writeEndpointJSON(w, http.StatusOK, newReportWire(report.Report, e.clock.Now()))
	})
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if text := r.URL.Query().Get("After"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeEndpointJSON(w, http.StatusBadRequest, endpointRefusalWire{Error: "After is not a sequence"})
			return
		}
		after = number
	}
	events, err := queryEngine[EngineEvents](r.Context(), e, func(call runner.Call) EngineMessage {
		return EngineGetEvents{Call: call, After: after}
	})
	writeEndpointAnswer(w, events, err, func(events EngineEvents) { writeEndpointJSON(w, http.StatusOK, newEventsWire(events)) })
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	wire, err := encoder.DecodeFrom[orderWire](r.Body, maxEngineBody)
	if err != nil {
		writeEndpointJSON(w, http.StatusBadRequest, endpointRefusalWire{Error: err.Error()})
		return
	}
	refusal, err := queryEngine[EngineRefusal](r.Context(), e, func(call runner.Call) EngineMessage {
		return EngineSubmitOrder{Call: call, Token: r.Header.Get("Toucanhitch-Order-Token"), Order: wire.order()}
	})
	writeEndpointAnswer(w, refusal, err, func(refusal EngineRefusal) {
		if refusal.Status != 0 {
			writeEndpointJSON(w, refusal.Status, endpointRefusalWire{Error: refusal.Error, Fence: refusal.Fence})
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
}

func (e *Engine) getFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := e.faults(r.Context())
	writeEndpointAnswer(w, faults, err, func(faults EngineFaults) { writeEndpointJSON(w, http.StatusOK, faults) })
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := encoder.DecodeFrom[EngineFaults](r.Body, maxEngineBody)
	if err != nil {
		writeEndpointJSON(w, http.StatusBadRequest, endpointRefusalWire{Error: err.Error()})
		return
	}
	if faults.SilenceOpen {
		silenceOtherConnections(r)
	}
	err = e.SetFaults(r.Context(), faults)
	writeEndpointAnswer(w, faults, err, func(faults EngineFaults) { writeEndpointJSON(w, http.StatusOK, faults) })
}
