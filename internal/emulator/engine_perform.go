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
	// maxBufferedLines is the largest number of lines buffered for a slow
	// reader. An answer whose reader falls further behind is cancelled.
	maxBufferedLines = 4096
	// fetchTimeout is the timeout of a transfer, longer than one from a slow
	// weight store takes.
	fetchTimeout = 5 * time.Minute
)

// engineStream passes the lines of an answer from the task to the goroutine of
// the request. The channel is closed after the last line.
type engineStream struct {
	lines chan EngineLine
	fault EngineStreamFault
	after int
}

// enginePerformer performs an engine's effects. The map of streams is confined
// to the task's goroutine.
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

func (p *enginePerformer) close() { p.transport.CloseIdleConnections() }

func (p *enginePerformer) perform(handle runner.Handle[EngineMessage], effect EngineEffect) {
	switch effect := effect.(type) {
	case EngineAccept:
		stream := &engineStream{
			lines: make(chan EngineLine, min(effect.MaxTokens+8, maxBufferedLines)),
			fault: effect.Fault,
			after: effect.After,
		}
		p.streams[effect.Attempt] = stream
		handle.Reply(effect.Call, stream)
	case EngineRefuse:
		handle.Reply(effect.Call, effect.Refusal)
	case EngineAcceptOrder:
		handle.Reply(effect.Call, EngineRefusal{})
	case EngineEmit:
		p.emit(handle, effect)
	case EngineEnd:
		if stream, ok := p.streams[effect.Attempt]; ok {
			delete(p.streams, effect.Attempt)
			close(stream.lines)
		}
	case EngineFetch:
		handle.Start(func(ctx context.Context) EngineMessage {
			return EngineFetched{Model: effect.Model, FetchID: effect.FetchID, Result: p.fetch(ctx, effect)}
		})
	case EngineReport:
		handle.Reply(effect.Call, effect)
	case EngineEvents:
		handle.Reply(effect.Call, effect)
	case EngineCurrentFaults:
		handle.Reply(effect.Call, effect.Faults)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// emit buffers a line for the request's goroutine, or cancels the answer if the
// buffer is full.
func (p *enginePerformer) emit(handle runner.Handle[EngineMessage], effect EngineEmit) {
	stream, ok := p.streams[effect.Attempt]
	if !ok {
		return
	}
	select {
	case stream.lines <- effect.Line:
	default:
		delete(p.streams, effect.Attempt)
		close(stream.lines)
		handle.Start(func(context.Context) EngineMessage { return EngineCancel{Attempt: effect.Attempt} })
	}
}

// fetch transfers a checkpoint from the weight store.
func (p *enginePerformer) fetch(ctx context.Context, effect EngineFetch) EngineFetchResult {
	ctx, cancel := clockwork.WithTimeout(ctx, p.clock, fetchTimeout)
	defer cancel()
	name, version, _ := strings.Cut(effect.Model, "@")
	url := fmt.Sprintf("http://%s/weights/%s/%s?MB=%d", p.weightStore, name, version, effect.MemoryMB)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return EngineTransferFailed
	}
	response, err := p.transport.RoundTrip(request)
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
