package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// keepAliveInterval is how long a stream may be idle before a comment line is
// sent, which shows the caller that the connection is alive.
const keepAliveInterval = 5 * time.Second

// writeDeadlineInterval is the minimum interval between extensions of a stream's
// write deadline. Extending it for every token took 4% of the time of a write.
const writeDeadlineInterval = time.Second

// maxBatchBytes limits the size of tokens that are buffered for one write.
const maxBatchBytes = 16 << 10

// eventWriter writes a generation as OpenAI chat completion chunks. It reuses
// one buffer, so that a token needs no allocation.
type eventWriter struct {
	clock        clockwork.Clock
	writer       http.ResponseWriter
	controller   *http.ResponseController
	model        string
	includeUsage bool
	// started reports that the status and header have been sent.
	started     bool
	lastWriteAt time.Time
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
	chunkPrefix   []byte
	buffer        []byte
}

func newEventWriter(clock clockwork.Clock, w http.ResponseWriter, model string) *eventWriter {
	return &eventWriter{clock: clock, writer: w, controller: http.NewResponseController(w), model: model}
}

// emit writes one event, or buffers a token whose successor is ready. It returns
// an error if the caller has disconnected.
func (e *eventWriter) emit(request *filter.Request, event filter.Event) error {
	switch event := event.(type) {
	case filter.Token:
		e.writeStart(request)
		e.buffer = append(e.buffer, e.chunkPrefix...)
		e.buffer = append(e.buffer, `{"index":0,"delta":{"content":`...)
		e.buffer = appendString(e.buffer, event.Text)
		e.buffer = append(e.buffer, "},\"finish_reason\":null}]}\n\n"...)
		if event.MoreReady && len(e.buffer) < maxBatchBytes {
			return nil
		}
		return e.flush()
	case filter.Finish:
		e.writeStart(request)
		e.writeFinish(event)
		return e.flush()
	case filter.KeepAlive:
		if !e.started || e.clock.Since(e.lastWriteAt) < keepAliveInterval {
			return nil
		}
		e.buffer = append(e.buffer, ": keep-alive\n\n"...)
		return e.flush()
	default:
		return nil
	}
}

// writeStart sends the header, once, and appends the first chunk, which contains
// the role.
func (e *eventWriter) writeStart(request *filter.Request) {
	if e.started {
		return
	}
	e.started = true
	header := e.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(identityHeader, request.Identity)
	e.writer.WriteHeader(http.StatusOK)
	e.chunkPrefix = append(e.chunkPrefix, `data: {"id":"chatcmpl-`...)
	e.chunkPrefix = appendString(e.chunkPrefix, request.Identity)
	e.chunkPrefix = trimQuotes(e.chunkPrefix, len(`data: {"id":"chatcmpl-`))
	e.chunkPrefix = append(e.chunkPrefix, `","object":"chat.completion.chunk","created":`...)
	e.chunkPrefix = strconv.AppendInt(e.chunkPrefix, request.Arrived.Unix(), 10)
	e.chunkPrefix = append(e.chunkPrefix, `,"model":`...)
	e.chunkPrefix = appendString(e.chunkPrefix, e.model)
	e.chunkPrefix = append(e.chunkPrefix, `,"choices":[`...)
	e.buffer = append(e.buffer, e.chunkPrefix...)
	e.buffer = append(e.buffer, "{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null}]}\n\n"...)
}

// trimQuotes removes the quotes of the JSON string that starts at offset and
// ends at the end of text.
func trimQuotes(text []byte, offset int) []byte {
	copy(text[offset:], text[offset+1:])
	return text[:len(text)-2]
}

func (e *eventWriter) writeFinish(finish filter.Finish) {
	e.buffer = append(e.buffer, e.chunkPrefix...)
	e.buffer = append(e.buffer, `{"index":0,"delta":{},"finish_reason":`...)
	e.buffer = appendString(e.buffer, finish.Reason)
	e.buffer = append(e.buffer, "}]}\n\n"...)
	if e.includeUsage {
		e.buffer = append(e.buffer, e.chunkPrefix...)
		e.buffer = append(e.buffer, `],"usage":`...)
		e.buffer = append(e.buffer, encoder.Encode(chatUsage{
			PromptTokens:     finish.PromptTokens,
			CompletionTokens: finish.CompletionTokens,
			TotalTokens:      finish.PromptTokens + finish.CompletionTokens,
		})...)
		e.buffer = append(e.buffer, "}\n\n"...)
	}
	e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
}

// writeError terminates a started stream with an error event.
func (e *eventWriter) writeError(problem problem) {
	e.buffer = append(e.buffer, "event: error\ndata: "...)
	e.buffer = append(e.buffer, encoder.Encode(problem)...)
	e.buffer = append(e.buffer, "\n\n"...)
	_ = e.flush()
}

func (e *eventWriter) flush() error {
	now := e.clock.Now()
	e.lastWriteAt = now
	if now.Sub(e.deadlineSetAt) >= writeDeadlineInterval {
		e.deadlineSetAt = now
		_ = e.controller.SetWriteDeadline(now.Add(writeTimeout))
	}
	_, err := e.writer.Write(e.buffer)
	e.buffer = e.buffer[:0]
	if err != nil {
		return err
	}
	return e.controller.Flush()
}

// appendString appends text as a JSON string. Text without special characters,
// the most common case, is copied without an allocation.
func appendString(dst []byte, text string) []byte {
	for _, character := range []byte(text) {
		if character < 0x20 || character >= 0x7f || character == '"' || character == '\\' {
			quoted, _ := json.Marshal(text) // a string can always be encoded
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}
