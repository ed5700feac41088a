package emulator

import (
	"net/http"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// generate answers POST /v1/generate.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	wire, err := encoder.DecodeFrom[generateWire](r.Body, maxEngineBody)
	if err != nil {
		writeEndpointJSON(w, http.StatusBadRequest, endpointRefusalWire{Error: err.Error()})
		return
	}
	w.Header().Set(attemptHeader, wire.Attempt)
	if wire.Attempt == "" || wire.MaxTokens < 0 || wire.From < 0 {
		writeEndpointJSON(w, http.StatusBadRequest, endpointRefusalWire{Error: "Attempt must be set; MaxTokens and From must not be negative"})
		return
	}
	// The answer is an *engineStream or an EngineRefusal.
	answer, err := runner.Ask[any](r.Context(), e.task,
		func(call runner.Call) EngineMessage { return EngineSubmit{Call: call, Job: wire.job()} },
		func(runner.Call) EngineMessage { return EngineCancel{Attempt: wire.Attempt} })
	writeEndpointAnswer(w, answer, err, func(answer any) {
		switch answer := answer.(type) {
		case EngineRefusal:
			writeEndpointJSON(w, answer.Status, endpointRefusalWire{Error: answer.Error})
		case *engineStream:
			e.writeStream(w, r, wire.Attempt, answer)
		}
	})
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, attempt string, stream *engineStream) {
	// Cancelling an answer that has ended has no effect. The error is ignored:
	// if the inbox is full, the answer is cancelled when its buffer is full.
	defer func() { _ = e.task.Post(EngineCancel{Attempt: attempt}) }()
	newAnswerWriter(w, r, attempt, stream).run()
}

// answerWriter writes the lines of an answer and injects its fault.
type answerWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	request    *http.Request
	attempt    string
	stream     *engineStream
	buffer     []byte
	// tokens is the number of token lines so far, including one that the fault
	// omitted.
	tokens       int
	faultApplied bool
}

func newAnswerWriter(w http.ResponseWriter, r *http.Request, attempt string, stream *engineStream) *answerWriter {
	return &answerWriter{
		response: w, controller: http.NewResponseController(w), request: r, attempt: attempt, stream: stream,
	}
}

func (a *answerWriter) run() {
	a.applyFault()
	a.response.Header().Set("Content-Type", "application/x-ndjson")
	a.response.WriteHeader(http.StatusOK)
	if a.controller.Flush() != nil {
		return
	}
	for {
		select {
		case <-a.request.Context().Done():
			return
		case line, ok := <-a.stream.lines:
			if !ok || !a.write(line) {
				return
			}
		}
	}
}

// write writes a line and those buffered behind it with a single flush. It
// returns false if the connection failed.
func (a *answerWriter) write(line EngineLine) bool {
	a.buffer = a.appendLine(a.buffer[:0], line)
	for range len(a.stream.lines) {
		line, ok := <-a.stream.lines
		if !ok {
			break
		}
		a.buffer = a.appendLine(a.buffer, line)
	}
	return a.flush()
}

func (a *answerWriter) flush() bool {
	if _, err := a.response.Write(a.buffer); err != nil {
		return false
	}
	a.buffer = a.buffer[:0]
	return a.controller.Flush() == nil
}

func (a *answerWriter) appendLine(buffer []byte, line EngineLine) []byte {
	attempt := a.attempt
	if a.faultApplied && a.stream.fault == EngineCrossed {
		attempt = "another-" + attempt
	}
	token, ok := line.(EngineToken)
	if !ok {
		return appendEngineLine(buffer, attempt, line)
	}
	a.tokens++
	skipped := a.stream.fault == EngineGap && a.tokens == a.stream.after+1
	if !skipped {
		buffer = appendEngineLine(buffer, attempt, token)
	}
	if a.stream.after > 0 && a.tokens == a.stream.after {
		a.buffer = buffer
		a.flush()
		a.applyFault()
		buffer = a.buffer
	}
	return buffer
}

// applyFault injects the fault of the answer if the configured number of token
// lines has been reached.
func (a *answerWriter) applyFault() {
	if a.tokens != a.stream.after {
		return
	}
	a.faultApplied = true
	switch a.stream.fault {
	case EngineSilent:
		silenceConnection(a.request)
	case EngineCut:
		abortConnection()
	case EngineCrossed, EngineGap:
	}
}
