package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/acceptor"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Observer records metrics of requests.
type Observer interface {
	// Token counts one token sent to a caller.
	Token()
	// FirstToken records the time to the first token of an answer.
	FirstToken(class filter.Class, duration time.Duration)
	// Ended records a finished request. The reason is empty if the request was
	// answered.
	Ended(class filter.Class, reason filter.Reason, duration time.Duration)
}

// CallersSettings holds the dependencies of Callers.
type CallersSettings struct {
	Clock    clockwork.Clock
	Logger   logrus.FieldLogger
	Chain    filter.Chain
	View     filter.View
	Observer Observer
	// Addresses returns the addresses that a caller should connect to.
	Addresses func(caller string) []tracker.Address
}

// Callers is the HTTP handler of the address that callers connect to.
type Callers struct {
	clock     clockwork.Clock
	logger    logrus.FieldLogger
	chain     filter.Chain
	view      filter.View
	observer  Observer
	addresses func(string) []tracker.Address
	mux       *http.ServeMux
}

// NewCallers returns a Callers with the given settings.
func NewCallers(settings CallersSettings) *Callers {
	h := &Callers{
		clock:     settings.Clock,
		logger:    settings.Logger,
		chain:     settings.Chain,
		view:      settings.View,
		observer:  settings.Observer,
		addresses: settings.Addresses,
		mux:       http.NewServeMux(),
	}
	h.mux.HandleFunc("GET /v1/address", h.handleAddress)
	h.mux.HandleFunc("GET /v1/models", h.handleModels)
	h.mux.HandleFunc("POST /v1/chat/completions", h.handleChat)
	h.mux.HandleFunc("/services/{service}/{path...}", h.handleCall)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// runChain runs a request through the chain, and logs and records its outcome.
func (h *Callers) runChain(r *http.Request, request *filter.Request) filter.Verdict {
	verdict := h.chain.RunGuarded(r.Context(), request)
	refused, _ := verdict.(filter.Refuse) // the zero value if the request was answered
	h.recordOutcome(request, refused)
	return verdict
}

func (h *Callers) recordOutcome(request *filter.Request, refused filter.Refuse) {
	refusal := refused.Refusal
	duration := h.clock.Since(request.Arrived)
	h.observer.Ended(request.Class, refusal.Reason, duration)
	entry := h.logger.WithFields(logrus.Fields{
		"Request":   request.Identity,
		"Workspace": request.Workspace,
		"Endpoint":  request.Slot.Endpoint,
		"Class":     request.Class,
		"Duration":  duration.String(),
	})
	if refusal.Reason == "" {
		entry.Debug("request answered")
		return
	}
	if refused.Cause != nil {
		entry = runner.WithError(entry, refused.Cause)
	}
	entry.WithFields(logrus.Fields{"Reason": refusal.Reason, "Run": refusal.Run}).Info("request refused: " + refusal.Detail)
}

func (h *Callers) refuse(w http.ResponseWriter, request *filter.Request, refusal filter.Refusal) {
	h.recordOutcome(request, filter.Refuse{Refusal: refusal})
	writeProblem(w, request.Identity, refusal)
}

// addressAnswer lists the addresses that a caller should connect to.
type addressAnswer struct {
	Addresses []tracker.Address
	// CacheFor is how long the answer may be cached, for example "5s".
	CacheFor string
}

func (h *Callers) handleAddress(w http.ResponseWriter, r *http.Request) {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	// The query parameter Caller spreads callers that share an IP address,
	// for example behind NAT, over the nodes.
	caller += "/" + r.URL.Query().Get("Caller")
	addresses := h.addresses(caller)
	if len(addresses) == 0 {
		writeProblem(w, "", newRefusal(filter.NoEndpoint, "no node can serve callers now"))
		return
	}
	writeJSON(w, addressAnswer{Addresses: addresses, CacheFor: tracker.AddressLifetime.String()})
}

// modelList is the OpenAI response to a request for the list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (h *Callers) handleModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range releaser.Names(h.view.Configuration()) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "toucanhitch"})
	}
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(encoder.Encode(value))
}

// handleCall handles a call of a plain service.
func (h *Callers) handleCall(w http.ResponseWriter, r *http.Request) {
	request, body, err := readRequest(h.clock, r)
	if err != nil {
		h.refuse(w, request, refusalFromError(err))
		return
	}
	request.Work = filter.Call{
		Service:     r.PathValue("service"),
		Method:      r.Method,
		Path:        "/" + r.PathValue("path"),
		Query:       r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	switch verdict := h.runChain(r, request).(type) {
	case filter.Refuse:
		writeProblem(w, request.Identity, verdict.Refusal)
	case filter.Accept:
		writeReply(w, request, verdict.Reply)
	}
}

// replayedHeader marks a response that repeats the recorded outcome of an
// earlier request.
const replayedHeader = "Idempotency-Replayed"

// runHeader marks a service's reply, so that callers can tell a problem that the service
// wrote from one of the node.
const runHeader = "Toucanhitch-Run"

func writeReply(w http.ResponseWriter, request *filter.Request, reply filter.Reply) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.Header().Set(identityHeader, request.Identity)
	w.Header().Set(runHeader, string(filter.Ran))
	if reply.Replayed {
		w.Header().Set(replayedHeader, "true")
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// ErrRequestsAborted reports that requests were still running at the end of the
// grace period of a shutdown.
var ErrRequestsAborted = merry.Sentinel("requests were cut by the shutdown")

// Serve serves a handler on a listener until ctx ends, then waits for running
// requests, at most for the grace period. It cancels the contexts of those that
// are still running with the cause filter.ErrDraining and returns
// ErrRequestsAborted.
func Serve(ctx context.Context, clock clockwork.Clock, listener net.Listener, handler http.Handler, grace time.Duration) error {
	return serve(ctx, clock, listener, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}, grace)
}

// ServeBounded serves like Serve, on a listener of an acceptor, whose bounds apply.
func ServeBounded(ctx context.Context, clock clockwork.Clock, bounds *acceptor.Acceptor, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: handler}
	bounds.Attach(server)
	return serve(ctx, clock, listener, server, grace)
}

// ConnectionLimits are the limits of the connections of a node.
var ConnectionLimits = acceptor.Limits{HeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}

func serve(ctx context.Context, clock clockwork.Clock, listener net.Listener, server *http.Server, grace time.Duration) error {
	requestsCtx, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abort(nil)
	server.BaseContext = func(net.Listener) context.Context { return requestsCtx }
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	if shutdown(ctx, clock, server, grace) == nil {
		return nil
	}
	abort(filter.ErrDraining)
	if err := shutdown(ctx, clock, server, abortGrace); err != nil {
		_ = server.Close()
	}
	return merry.Wrap(ErrRequestsAborted, merry.AppendMessagef("after %s", grace))
}

// abortGrace is how long aborted requests may take to send an error to their
// callers.
const abortGrace = time.Second

func shutdown(ctx context.Context, clock clockwork.Clock, server *http.Server, grace time.Duration) error {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), clock, grace)
	defer cancel()
	return server.Shutdown(ctx)
}

const (
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is short, so that an unresponsive idle connection of a
	// caller is closed before the caller reuses it.
	callerIdleTimeout = 30 * time.Second
)
