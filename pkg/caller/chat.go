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

// ErrBrokenOff reports a stream that ended before its answer was complete.
var ErrBrokenOff = merry.Sentinel("the answer broke off")

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
	// MaxTokens bounds the answer; 0 means the node's default.
	MaxTokens int
}

// Completion is how an answer ended.
type Completion struct {
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

type chatWire struct {
	Model         string        `json:"model"`
	Messages      []messageWire `json:"messages"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chunkWire struct {
	Choices []struct {
		Delta        messageWire `json:"delta"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// Complete asks for a completion and passes each piece of text to emit as it
// comes. Its errors are Failures. A generation is idempotent: it is repeated
// as long as emit has not been called.
func (c *Client) Complete(ctx context.Context, chat Chat, emit func(text string) error) (Completion, error) {
	var completion Completion
	identity := newIdentity(chat.Identity)
	err := c.do(ctx, request{
		identity:   identity,
		idempotent: true,
		send: func(ctx context.Context, address string) (err error) {
			completion, err = c.complete(ctx, address, chat, identity, emit)
			return err
		},
	})
	return completion, err
}

func (c *Client) complete(ctx context.Context, address string, chat Chat, identity string, emit func(string) error) (Completion, error) {
	exchange := c.open(ctx, address, c.bound(chat.Options))
	defer exchange.stop()
	response, err := exchange.send(c.transport, chatRequest(address, chat, identity))
	if err != nil {
		return Completion{}, err
	}
	defer response.Body.Close()
	stream := chatStream{exchange: exchange, emit: emit}
	lines := bufio.NewReader(watchedBody{response.Body, exchange})
	for !stream.done {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return Completion{}, stream.failure(exchange.broken(merry.Wrap(ErrBrokenOff, merry.AppendMessage(err.Error()))))
		}
		if err := stream.line(bytes.TrimSpace(line)); err != nil {
			return Completion{}, err
		}
	}
	return stream.completion, nil
}

func chatRequest(address string, chat Chat, identity string) *http.Request {
	wire := chatWire{
		Model: chat.Model, Messages: []messageWire{}, MaxTokens: chat.MaxTokens,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	}
	for _, message := range chat.Messages {
		wire.Messages = append(wire.Messages, messageWire(message))
	}
	data := encoder.Encode(wire)
	header := chat.header(identity)
	header.Set("Content-Type", "application/json")
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: "/v1/chat/completions"},
		Header:        header,
		Body:          body(data),
		ContentLength: int64(len(data)),
	}
}

// chatStream follows the server-sent events of a completion.
type chatStream struct {
	exchange   *exchange
	emit       func(string) error
	completion Completion
	// failing says that the next data line is a problem.
	failing bool
	begun   bool
	done    bool
}

func (s *chatStream) failure(failure Failure) Failure {
	failure.Begun = s.begun
	if s.begun {
		failure.Run = Ran
	}
	return failure
}

// line handles one line. Comments and empty lines only show that the
// connection is alive.
func (s *chatStream) line(line []byte) error {
	if string(line) == "event: error" {
		s.failing = true
		return nil
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	switch {
	case !ok:
		return nil
	case s.failing:
		problem := decodeProblem(data)
		return s.failure(Failure{Run: problem.Run, Temporary: true, Err: problem})
	case string(data) == "[DONE]":
		s.done = true
		return nil
	default:
		return s.chunk(data)
	}
}

func (s *chatStream) chunk(data []byte) error {
	var chunk chunkWire
	if err := json.Unmarshal(data, &chunk); err != nil {
		return s.failure(Failure{Run: Ran, Err: merry.Wrap(ErrBrokenOff, merry.AppendMessagef("malformed event: %v", err))})
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
		s.begun = true
		if err := s.emit(choice.Delta.Content); err != nil {
			return s.failure(Failure{Run: Ran, Err: err})
		}
	}
	return nil
}
