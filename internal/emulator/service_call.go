package emulator

import (
	"net/http"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
)

type executionsWire struct {
	Keys     map[string]int
	Requests map[string]int
}

type echoWire struct {
	Attempt     string
	Workspace   string
	Key         string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        string
	// Executions is the number of executions of calls with the same key.
	Executions int
}

// attemptHeader names the attempt in requests to services and in the answers of all
// endpoints.
const attemptHeader = "Toucanhitch-Attempt"

// call handles the calls of all paths that are not part of the stand-in's own
// API.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := encoder.Read(r.Body, maxServiceBody)
	if err != nil {
		writeEndpointJSON(w, http.StatusBadRequest, endpointRefusalWire{Error: err.Error()})
		return
	}
	plan, err := queryService[ServicePlan](r.Context(), s, func(call runner.Call) ServiceMessage {
		return ServiceCall{Call: call, Key: r.Header.Get("Idempotency-Key"), Request: r.Method + " " + r.URL.Path}
	})
	writeEndpointAnswer(w, plan, err, func(plan ServicePlan) { s.respond(w, r, body, plan) })
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, body []byte, plan ServicePlan) {
	w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
	switch plan.Fault {
	case ServiceCutBefore:
		abortConnection()
	case ServiceSilentBefore:
		silenceConnection(r)
	case ServiceNotRun:
		w.Header().Set("Toucanhitch-Run", "not run")
		writeEndpointJSON(w, http.StatusServiceUnavailable, endpointRefusalWire{Error: "NotRun"})
		return
	}
	if !s.sleep(r, plan) {
		return
	}
	switch plan.Fault {
	case ServiceCutAfter:
		abortConnection()
	case ServiceSilentAfter:
		silenceConnection(r)
	}
	echo := encoder.Encode(newEchoWire(r, body, plan))
	w.Header().Set("Content-Type", "application/json")
	if plan.Fault == ServiceCutInBody {
		_, _ = w.Write(echo[:len(echo)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	_, _ = w.Write(echo)
}

// sleep waits for the duration of a call. It returns false if the caller
// disconnects.
func (s *Service) sleep(r *http.Request, plan ServicePlan) bool {
	ctx, cancel := clockwork.WithTimeout(r.Context(), s.clock, plan.Delay)
	defer cancel()
	if plan.Delay > 0 {
		<-ctx.Done()
	}
	return r.Context().Err() == nil
}

func newEchoWire(r *http.Request, body []byte, plan ServicePlan) echoWire {
	return echoWire{
		Attempt: r.Header.Get(attemptHeader), Workspace: r.Header.Get("Toucanhitch-Workspace"),
		Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: string(body), Executions: plan.Executions,
	}
}
