package emulator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// engineLines bounds the lines that wait for a slow reader. An answer
	// whose reader falls further behind is cancelled.
	engineLines = 4096
	// fetchTimeout is longer than a transfer from a slow weight store.
	fetchTimeout = 5 * time.Minute
)

// engineStream carries the lines of an answer from the task to the request's
// goroutine. The channel is closed at the end.
type engineStream struct {
	lines chan EngineLine
	fault EngineStreamFault
	after int
}

// enginePerformer carries out an engine's effects. Only its task's goroutine uses
// the streams.
type enginePerformer struct {
	clock       clockwork.Clock
	weightStore string
	transport   *http.Transport
	streams     map[string]*engineStream
}

func newEnginePerformer(weightStore string, clock clockwork.Clock) *enginePerformer {
	return &enginePerformer{
		clock:       clock,
		weightStore: weightStore,
		transport:   &http.Transport{DisableKeepAlives: true},
		streams:     map[string]*engineStream{},
	}
}

func (h *enginePerformer) close() { h.transport.CloseIdleConnections() }

func (h *enginePerformer) perform(handle runner.Handle[EngineMessage], effect EngineEffect) {
	switch effect := effect.(type) {
	case EngineAccept:
		stream := &engineStream{
			lines: make(chan EngineLine, min(effect.Lines+8, engineLines)),
			fault: effect.Fault,
			after: effect.After,
		}
		h.streams[effect.Attempt] = stream
		handle.Reply(effect.Call, stream)
	case EngineRefuse:
		handle.Reply(effect.Call, effect.Refusal)
	case EngineObey:
		handle.Reply(effect.Call, EngineRefusal{})
	case EngineEmit:
		h.emit(handle, effect)
	case EngineEnd:
		if stream, ok := h.streams[effect.Attempt]; ok {
			delete(h.streams, effect.Attempt)
			close(stream.lines)
		}
	case EngineFetch:
		handle.Start(func(ctx context.Context) EngineMessage {
			return EngineFetched{Model: effect.Model, Fetch: effect.Fetch, Result: h.fetch(ctx, effect)}
		})
	case EngineReport:
		handle.Reply(effect.Call, effect)
	case EngineEvents:
		handle.Reply(effect.Call, effect)
	case EngineShowFaults:
		handle.Reply(effect.Call, effect.Faults)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// emit passes a line on, or cancels the answer if its reader is too slow.
func (h *enginePerformer) emit(handle runner.Handle[EngineMessage], effect EngineEmit) {
	stream, ok := h.streams[effect.Attempt]
	if !ok {
		return
	}
	select {
	case stream.lines <- effect.Line:
	default:
		delete(h.streams, effect.Attempt)
		close(stream.lines)
		handle.Start(func(context.Context) EngineMessage { return EngineCancel{Attempt: effect.Attempt} })
	}
}

// fetch transfers a checkpoint from the weight store.
func (h *enginePerformer) fetch(ctx context.Context, effect EngineFetch) EngineFetchResult {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, fetchTimeout)
	defer cancel()
	name, version, _ := strings.Cut(effect.Model, "@")
	url := fmt.Sprintf("http://%s/weights/%s/%s?MB=%d", h.weightStore, name, version, effect.MemoryMB)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return EngineTransferFailed
	}
	response, err := h.transport.RoundTrip(request)
	if err != nil {
		return EngineTransferFailed
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return EngineTransferDone
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return EngineTransferThrottled
	default:
		return EngineTransferFailed
	}
}
