package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Observer is told of requests, for metrics.
type Observer interface {
	// Token counts one token that went to a caller.
	Token()
	// FirstToken counts the time to the first token of an answer.
	FirstToken(class filter.Class, duration time.Duration)
	// Ended counts a request. The reason is empty if it was answered.
	Ended(class filter.Class, reason filter.Reason, duration time.Duration)
}

// CallersSettings is what the callers' side needs.
type CallersSettings struct {
	Clock    clockwork.Clock
	Logger   logrus.FieldLogger
	Chain    filter.Chain
	View     filter.View
	Observer Observer
	// Addresses answers where an asker should connect.
	Addresses func(asker string) []tracker.Address
}

// Callers serves the callers' address.
type Callers struct {
	clock     clockwork.Clock
	logger    logrus.FieldLogger
	chain     filter.Chain
	view      filter.View
	observer  Observer
	addresses func(string) []tracker.Address
	mux       *http.ServeMux
}

// NewCallers returns the handler of the callers' address.
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
	h.mux.HandleFunc("GET /v1/address", h.address)
	h.mux.HandleFunc("GET /v1/models", h.models)
	h.mux.HandleFunc("POST /v1/chat/completions", h.chat)
	h.mux.HandleFunc("/services/{service}/{path...}", h.call)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// runChain takes a request through the chain, and logs and counts its end.
func (h *Callers) runChain(r *http.Request, request *filter.Request) filter.Verdict {
	verdict := h.chain.Run(r.Context(), request)
	refused, _ := verdict.(filter.Refuse) // empty if the request was answered
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
		entry = entry.WithError(refused.Cause)
	}
	entry.WithFields(logrus.Fields{"Reason": refusal.Reason, "Run": refusal.Run}).Info("request refused: " + refusal.Detail)
}

func (h *Callers) refuse(w http.ResponseWriter, request *filter.Request, refusal filter.Refusal) {
	h.recordOutcome(request, filter.Refuse{Refusal: refusal})
	writeProblem(w, request.Identity, refusal)
}

// addressAnswer tells a caller where to connect.
type addressAnswer struct {
	Addresses []tracker.Address
	// CacheFor is how long the answer may be used.
	CacheFor string
}

func (h *Callers) address(w http.ResponseWriter, r *http.Request) {
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		client = r.RemoteAddr
	}
	// Callers behind one address can spread themselves by a hint.
	client += "/" + r.URL.Query().Get("Caller")
	addresses := h.addresses(client)
	if len(addresses) == 0 {
		writeProblem(w, "", notRun(filter.NoEndpoint, "no node can serve callers now"))
		return
	}
	writeJSON(w, addressAnswer{Addresses: addresses, CacheFor: tracker.AddressLifetime.String()})
}

// modelList is the OpenAI list of models.
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

func (h *Callers) models(w http.ResponseWriter, _ *http.Request) {
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

// call serves a call of a plain service.
func (h *Callers) call(w http.ResponseWriter, r *http.Request) {
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

// replayedHeader marks the recorded answer of an earlier request.
const replayedHeader = "Idempotency-Replayed"

func writeReply(w http.ResponseWriter, request *filter.Request, reply filter.Reply) {
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.Header().Set(identityHeader, request.Identity)
	if reply.Replayed {
		w.Header().Set(replayedHeader, "true")
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// ErrRequestsAborted reports that requests were still running when the grace time of a
// shutdown ended.
var ErrRequestsAborted = merry.Sentinel("requests were cut by the shutdown")

// Serve serves a handler on a listener until ctx ends, then waits for running
// requests, at most for the given time. Those that still run then are told
// why they end, and Serve returns ErrRequestsAborted.
func Serve(ctx context.Context, clock clockwork.Clock, listener net.Listener, handler http.Handler, grace time.Duration) error {
	requestsCtx, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abort(nil)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return requestsCtx },
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	if shutDown(ctx, clock, server, grace) == nil {
		return nil
	}
	abort(filter.ErrDraining)
	if err := shutDown(ctx, clock, server, abortGrace); err != nil {
		_ = server.Close()
	}
	return merry.Wrap(ErrRequestsAborted, merry.AppendMessagef("after %s", grace))
}

// abortGrace is the time in which requests that are cut can tell their callers.
const abortGrace = time.Second

func shutDown(ctx context.Context, clock clockwork.Clock, server *http.Server, grace time.Duration) error {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), clock, grace)
	defer cancel()
	return server.Shutdown(ctx)
}

const (
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is short enough that a silent idle connection of a
	// caller is closed before it is used again.
	callerIdleTimeout = 30 * time.Second
)
