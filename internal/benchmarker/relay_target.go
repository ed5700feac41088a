package benchmarker

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

// ErrUnexpectedAnswer reports an answer that is not the expected stream.
var ErrUnexpectedAnswer = merry.Sentinel("unexpected answer")

// target is the destination of a load: directTarget, relayTarget or nodeTarget.
type target interface{ isTarget() }

// directTarget calls the engine directly.
type directTarget struct{ engine string }

// relayTarget calls the engine through a bareRelay.
type relayTarget struct{ relay string }

// nodeTarget calls the engine through a node, with a key.
type nodeTarget struct{ node, model, key string }

func (directTarget) isTarget() {}
func (relayTarget) isTarget()  {}
func (nodeTarget) isTarget()   {}

func targetName(target target) string {
	switch target.(type) {
	case directTarget:
		return "direct"
	case relayTarget:
		return "bare relay"
	case nodeTarget:
		return "node"
	default:
		panic(fmt.Sprintf("unknown target %T", target))
	}
}

// The model and the prompt of all generation requests in measurements.
const (
	benchModel   = "bench"
	benchVersion = "1"
	benchPrompt  = "Wind on the lake tomorrow?"
)

// engineRequest is the body of a generation request to an engine.
type engineRequest struct {
	Attempt   string
	Model     string
	Version   string
	Prompt    string
	MaxTokens int
}

// chatRequest is the body of a chat completion request to a node.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newTargetRequest(ctx context.Context, target target, tokens int) (*http.Request, error) {
	var url, key string
	var body []byte
	switch target := target.(type) {
	case directTarget:
		url, body = "http://"+target.engine+"/v1/generate", engineBody(tokens)
	case relayTarget:
		url, body = "http://"+target.relay+"/v1/generate", engineBody(tokens)
	case nodeTarget:
		url, key = "http://"+target.node+"/v1/chat/completions", target.key
		body = encoder.Encode(chatRequest{
			Model: target.model, Stream: true, MaxTokens: tokens,
			Messages: []chatMessage{{Role: "user", Content: benchPrompt}},
		})
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return request, nil
}

func engineBody(tokens int) []byte {
	return encoder.Encode(engineRequest{
		Attempt: uuid.NewString(), Model: benchModel, Version: benchVersion, Prompt: benchPrompt, MaxTokens: tokens,
	})
}

// answer is the answer to one request as the caller observed it.
type answer struct {
	FirstToken time.Time
	Ended      time.Time
	Tokens     int
}

// Substrings that identify a line with a token in the two stream formats.
var (
	engineTokenMarker = []byte(`"Text":"`)
	chatTokenMarker   = []byte(`"delta":{"content":`)
)

// sendRequest sends one request and reads the response stream. It returns
// ErrUnexpectedAnswer if the status is not 200 or the number of tokens is not
// the requested one.
func sendRequest(ctx context.Context, clock clockwork.Clock, client *http.Client, target target, tokens int) (answer, error) {
	var answer answer
	request, err := newTargetRequest(ctx, target, tokens)
	if err != nil {
		return answer, err
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, merry.Wrap(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lastLine := ""
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Contains(line, engineTokenMarker) || bytes.Contains(line, chatTokenMarker) {
			if answer.Tokens == 0 {
				answer.FirstToken = clock.Now()
			}
			answer.Tokens++
		} else if len(line) > 0 {
			lastLine = string(line)
		}
	}
	answer.Ended = clock.Now()
	if response.StatusCode != http.StatusOK || answer.Tokens != tokens {
		return answer, merry.Wrap(ErrUnexpectedAnswer, merry.AppendMessagef("%s: %s, %d of %d tokens, %s", targetName(target), response.Status, answer.Tokens, tokens, lastLine))
	}
	return answer, merry.Wrap(lines.Err())
}
