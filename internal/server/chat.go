package server

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 32_768
	// bytesPerToken is used to estimate the tokens of a prompt. The estimate is
	// rounded up, so that the reservation is not too small.
	bytesPerToken = 3
)

// chatRequest is the supported part of an OpenAI chat completion request. The
// fields of type any are accepted and ignored.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N           *int `json:"n"`
	Temperature any  `json:"temperature"`
	TopP        any  `json:"top_p"`
	Seed        any  `json:"seed"`
	User        any  `json:"user"`
	Metadata    any  `json:"metadata"`
	Store       any  `json:"store"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Name    string `json:"name,omitempty"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// toGeneration validates the request and converts it to a Generation. Its error
// is a Refusal.
func (c chatRequest) toGeneration() (filter.Generation, error) {
	maxTokens := defaultMaxTokens
	switch {
	case c.MaxCompletionTokens != nil:
		maxTokens = *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		maxTokens = *c.MaxTokens
	}
	switch {
	case c.Model == "":
		return filter.Generation{}, newRefusal(filter.MalformedRequest, "field model is missing")
	case len(c.Messages) == 0:
		return filter.Generation{}, newRefusal(filter.MalformedRequest, "field messages is empty; want at least one message")
	case c.N != nil && *c.N != 1:
		return filter.Generation{}, newRefusal(filter.MalformedRequest, "field n must be 1")
	case maxTokens < 1 || maxTokens > maxTokensLimit:
		return filter.Generation{}, newRefusal(filter.MalformedRequest,
			fmt.Sprintf("field max_tokens is %d; want 1 to %d", maxTokens, maxTokensLimit))
	}
	prompt := c.promptText()
	return filter.Generation{
		Model:        c.Model,
		Prompt:       prompt,
		PromptTokens: (len(prompt) + bytesPerToken - 1) / bytesPerToken,
		MaxTokens:    maxTokens,
	}, nil
}

func (c chatRequest) promptText() string {
	var prompt strings.Builder
	for _, message := range c.Messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

func (h *Callers) handleChat(w http.ResponseWriter, r *http.Request) {
	request, body, err := readRequest(h.clock, r)
	if err != nil {
		h.refuse(w, request, refusalFromError(err))
		return
	}
	wire, err := encoder.Decode[chatRequest](body)
	if err != nil {
		h.refuse(w, request, newRefusal(filter.MalformedRequest, err.Error()))
		return
	}
	work, err := wire.toGeneration()
	if err != nil {
		h.refuse(w, request, refusalFromError(err))
		return
	}
	if wire.Stream {
		h.serveStream(w, r, request, work, wire)
		return
	}
	h.serveCompletion(w, r, request, work)
}

// serveCompletion responds to a request without streaming.
func (h *Callers) serveCompletion(w http.ResponseWriter, r *http.Request, request *filter.Request, work filter.Generation) {
	var text strings.Builder
	var finish filter.Finish
	work.Emit = func(event filter.Event) error {
		switch event := event.(type) {
		case filter.Token:
			h.observeToken(request, event)
			text.WriteString(event.Text)
		case filter.Finish:
			finish = event
		}
		return r.Context().Err()
	}
	request.Work = work
	switch verdict := h.runChain(r, request).(type) {
	case filter.Refuse:
		writeProblem(w, request.Identity, verdict.Refusal)
	case filter.Accept:
		writeJSON(w, h.newCompletion(request, work, text.String(), finish))
	}
}

func (h *Callers) observeToken(request *filter.Request, token filter.Token) {
	if token.Index == 0 {
		h.observer.FirstToken(request.Class, h.clock.Since(request.Arrived))
	}
	h.observer.Token()
}

func (h *Callers) newCompletion(request *filter.Request, work filter.Generation, text string, finish filter.Finish) chatCompletion {
	return chatCompletion{
		ID:      "chatcmpl-" + request.Identity,
		Object:  "chat.completion",
		Created: request.Arrived.Unix(),
		Model:   work.Model,
		Choices: []chatChoice{{
			Message:      chatMessage{Role: "assistant", Content: text},
			FinishReason: finish.Reason,
		}},
		Usage: chatUsage{
			PromptTokens:     finish.PromptTokens,
			CompletionTokens: finish.CompletionTokens,
			TotalTokens:      finish.PromptTokens + finish.CompletionTokens,
		},
	}
}

// serveStream responds with server-sent events.
func (h *Callers) serveStream(w http.ResponseWriter, r *http.Request, request *filter.Request, work filter.Generation, wire chatRequest) {
	events := newEventWriter(h.clock, w, work.Model)
	events.includeUsage = wire.StreamOptions != nil && wire.StreamOptions.IncludeUsage
	work.Emit = func(event filter.Event) error {
		if token, ok := event.(filter.Token); ok {
			h.observeToken(request, token)
		}
		return events.emit(request, event)
	}
	request.Work = work
	verdict, ok := h.runChain(r, request).(filter.Refuse)
	switch {
	case !ok:
	case events.started:
		events.writeError(newProblem(request.Identity, verdict.Refusal))
	default:
		writeProblem(w, request.Identity, verdict.Refusal)
	}
}

// writeTimeout is the time limit of one write to a caller, after which its
// connection counts as lost.
const writeTimeout = 10 * time.Second
