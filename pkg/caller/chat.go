package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

// ErrTruncated reports a stream that ended, or could not be decoded further,
// before the response was complete.
var ErrTruncated = merry.Sentinel("the response ended before it was complete")

// Message is a message of a conversation.
type Message struct {
	Role    string
	Content string
}

// Chat is a chat completion request.
type Chat struct {
	Options
	// Model names a model or an adapter.
	Model    string
	Messages []Message
	// MaxTokens is the maximum number of tokens in the response; 0 selects the
	// node's default.
	MaxTokens int
}

// Completion describes the end of a response: the reason why it finished and
// its token counts.
type Completion struct {
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

type chatBody struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type streamChunk struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// Complete requests a completion and passes each piece of text to emit as it
// arrives. Its errors are Failures. A generation is idempotent: it is retried
// as long as emit has not been called.
func (c *Client) Complete(ctx context.Context, chat Chat, emit func(text string) error) (Completion, error) {
	var completion Completion
	idempotencyKey := keyOrNew(chat.IdempotencyKey)
	err := c.doWithRetries(ctx, request{
		idempotencyKey: idempotencyKey,
		idempotent:     true,
		attempt: func(ctx context.Context, address string) (err error) {
			completion, err = c.complete(ctx, address, chat, idempotencyKey, emit)
			return err
		},
	})
	return completion, err
}

func (c *Client) complete(ctx context.Context, address string, chat Chat, idempotencyKey string, emit func(string) error) (Completion, error) {
	attempt := c.newAttempt(ctx, address, c.responseTimeout(chat.Options))
	defer attempt.stop()
	response, err := attempt.send(c.transport, chatRequest(address, chat, idempotencyKey))
	if err != nil {
		return Completion{}, err
	}
	defer response.Body.Close()
	stream := chatStream{attempt: attempt, emit: emit}
	lines := bufio.NewReader(timeoutBody{response.Body, attempt})
	for !stream.done {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return Completion{}, stream.withProgress(attempt.connectionFailure(merry.Wrap(ErrTruncated, merry.AppendMessage(err.Error()))))
		}
		if err := stream.handleLine(bytes.TrimSpace(line)); err != nil {
			return Completion{}, err
		}
	}
	return stream.completion, nil
}

func chatRequest(address string, chat Chat, idempotencyKey string) *http.Request {
	body := chatBody{
		Model: chat.Model, Messages: []chatMessage{}, MaxTokens: chat.MaxTokens,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	}
	for _, message := range chat.Messages {
		body.Messages = append(body.Messages, chatMessage(message))
	}
	data := encoder.Encode(body)
	header := chat.header(idempotencyKey)
	header.Set("Content-Type", "application/json")
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: "/v1/chat/completions"},
		Header:        header,
		Body:          singleReadBody(data),
		ContentLength: int64(len(data)),
	}
}

// chatStream parses the server-sent events of a completion.
type chatStream struct {
	attempt    *attempt
	emit       func(string) error
	completion Completion
	// errorEvent reports whether the next data line holds a problem.
	errorEvent bool
	// emitted reports whether emit has been called.
	emitted bool
	done    bool
}

// withProgress adds to a failure whether part of the response was emitted. A
// request that returned text certainly ran.
func (s *chatStream) withProgress(failure Failure) Failure {
	failure.Emitted = s.emitted
	if s.emitted {
		failure.Run = Ran
	}
	return failure
}

// handleLine handles one line of the stream. Comments and empty lines only
// show that the connection is alive.
func (s *chatStream) handleLine(line []byte) error {
	if string(line) == "event: error" {
		s.errorEvent = true
		return nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	switch {
	case !ok:
		return nil
	case s.errorEvent:
		problem := decodeProblem(data)
		return s.withProgress(Failure{Run: problem.Run, Temporary: true, Err: problem})
	case string(data) == "[DONE]":
		s.done = true
		return nil
	default:
		return s.handleChunk(data)
	}
}

func (s *chatStream) handleChunk(data []byte) error {
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return s.withProgress(Failure{Run: Ran, Err: merry.Wrap(ErrTruncated, merry.AppendMessagef("malformed event: %v", err))})
	}
	if chunk.Usage != nil {
		s.completion.PromptTokens = chunk.Usage.PromptTokens
		s.completion.CompletionTokens = chunk.Usage.CompletionTokens
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != "" {
			s.completion.FinishReason = choice.FinishReason
		}
		if choice.Delta.Content == "" {
			continue
		}
		s.emitted = true
		if err := s.emit(choice.Delta.Content); err != nil {
			return s.withProgress(Failure{Run: Ran, Err: err})
		}
	}
	return nil
}
