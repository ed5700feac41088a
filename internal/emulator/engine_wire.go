package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

type generateWire struct {
	Attempt        string
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	Prompt         string
	MaxTokens      int
	Priority       int
	From           int
}

// bytesPerToken is the estimate by which the length of a prompt is converted to
// tokens.
const bytesPerToken = 4

func (w generateWire) job() EngineJob {
	job := EngineJob{
		Attempt: w.Attempt, Model: releaser.Key(w.Model, w.Version),
		Prompt: w.Prompt, PromptTokens: (len(w.Prompt) + bytesPerToken - 1) / bytesPerToken,
		Prefix: filter.Prefix(w.Prompt), MaxTokens: w.MaxTokens, Priority: w.Priority, From: w.From,
	}
	if w.Adapter != "" {
		job.Adapter = releaser.Key(w.Adapter, w.AdapterVersion)
	}
	return job
}

type orderWire struct {
	Order          EngineOrderKind
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	MemoryMB       int
	Fence          uint64
	From           string
}

func (w orderWire) order() EngineOrder {
	order := EngineOrder{Kind: w.Order, Model: releaser.Key(w.Model, w.Version), MemoryMB: w.MemoryMB, Fence: w.Fence}
	if w.Adapter != "" {
		order.Adapter = releaser.Key(w.Adapter, w.AdapterVersion)
	}
	return order
}

type endpointRefusalWire struct {
	Error string
	Fence uint64 `json:",omitempty"`
}

type reportWire struct {
	Sequence        uint64
	Age             string
	Queued          int
	Running         int
	Slots           int
	TokensPerSecond float64
	MemoryMB        int
	UsedMB          int
	Fence           uint64
	Models          []modelWire
	Cached          []cachedWire
	Leaving         bool
}

type modelWire struct {
	Model    string
	Version  string
	State    tracker.State
	Fence    uint64
	Running  int
	Served   uint64
	Adapters []adapterWire
}

type adapterWire struct {
	Adapter string
	Version string
	State   tracker.State
	Running int
	Served  uint64
}

type cachedWire struct {
	Model   string
	Version string
	Tier    tracker.Tier
}

func newReportWire(report tracker.Report, now time.Time) reportWire {
	wire := reportWire{
		Sequence: report.Sequence, Age: now.Sub(report.Measured).String(),
		Queued: report.Queued, Running: report.Running, Slots: report.Slots,
		TokensPerSecond: report.TokensPerSecond, MemoryMB: report.MemoryMB, UsedMB: report.UsedMB,
		Fence: report.Fence, Models: []modelWire{}, Cached: []cachedWire{}, Leaving: report.Leaving,
	}
	for _, model := range report.Models {
		wire.Models = append(wire.Models, newModelWire(model))
	}
	for _, cached := range report.Cached {
		name, version, _ := strings.Cut(cached.Model, "@")
		wire.Cached = append(wire.Cached, cachedWire{Model: name, Version: version, Tier: cached.Tier})
	}
	return wire
}

func newModelWire(model tracker.ModelState) modelWire {
	name, version, _ := strings.Cut(model.Model, "@")
	wire := modelWire{
		Model: name, Version: version, State: model.State, Fence: model.Fence,
		Running: model.Running, Served: model.Served, Adapters: []adapterWire{},
	}
	for _, adapter := range model.Adapters {
		name, version, _ := strings.Cut(adapter.Adapter, "@")
		wire.Adapters = append(wire.Adapters, adapterWire{
			Adapter: name, Version: version, State: adapter.State,
			Running: adapter.Running, Served: adapter.Served,
		})
	}
	return wire
}

type eventsWire struct {
	Last   uint64
	Events []eventWire
}

type eventWire struct {
	Sequence uint64
	Model    string
	Version  string
	Prefix   uint64
	Stored   bool
}

func newEventsWire(events EngineEvents) eventsWire {
	wire := eventsWire{Last: events.Last, Events: []eventWire{}}
	for _, event := range events.Events {
		name, version, _ := strings.Cut(event.Model, "@")
		wire.Events = append(wire.Events, eventWire{
			Sequence: event.Sequence, Model: name, Version: version, Prefix: event.Prefix, Stored: event.Stored,
		})
	}
	return wire
}

type doneWire struct {
	Attempt          string
	Done             bool
	PromptTokens     int
	CompletionTokens int
	FinishReason     string
}

// appendEngineLine appends the JSON encoding of a line of an answer. Tokens are
// encoded without encoding/json, because they are most of the traffic and their
// text needs no escaping.
func appendEngineLine(buffer []byte, attempt string, line EngineLine) []byte {
	switch line := line.(type) {
	case EngineToken:
		buffer = append(buffer, `{"Attempt":"`...)
		buffer = append(buffer, attempt...)
		buffer = append(buffer, `","Index":`...)
		buffer = strconv.AppendInt(buffer, int64(line.Index), 10)
		buffer = append(buffer, `,"Text":"`...)
		buffer = append(buffer, line.Text...)
		buffer = append(buffer, `"}`...)
	case EngineKeepAlive:
		buffer = append(buffer, `{"Attempt":"`...)
		buffer = append(buffer, attempt...)
		buffer = append(buffer, `","KeepAlive":true}`...)
	case EngineDone:
		buffer = append(buffer, encoder.Encode(doneWire{
			Attempt: attempt, Done: true, PromptTokens: line.PromptTokens,
			CompletionTokens: line.CompletionTokens, FinishReason: line.FinishReason,
		})...)
	}
	return append(buffer, '\n')
}

// writeEndpointJSON answers with a status and a JSON body.
func writeEndpointJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoder.Encode(value))
}
