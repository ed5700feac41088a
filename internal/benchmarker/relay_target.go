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

// target is where the load is sent: direct, relayed or throughNode.
type target interface{ isTarget() }

// directTarget calls the engine itself.
type directTarget struct{ engine string }

// relayTarget calls the engine through the bare relay.
type relayTarget struct{ relay string }

// nodeTarget calls a node with a key.
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

// benchModel is the model of all generations in measurements.
const (
	benchModel   = "bench"
	benchVersion = "1"
	benchPrompt  = "Wind on the lake tomorrow?"
)

// engineRequest is the request of the engines' protocol.
type engineRequest struct {
	Attempt   string
	Model     string
	Version   string
	Prompt    string
	MaxTokens int
}

// chatRequest is the request of the callers' protocol.
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

func newRequest(ctx context.Context, target target, tokens int) (*http.Request, error) {
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

// answer is what a caller saw of one request.
type answer struct {
	FirstToken time.Time
	Ended      time.Time
	Tokens     int
}

// The marks of a line that carries a token, in the two stream formats.
var (
	engineTokenMarker = []byte(`"Text":"`)
	chatTokenMarker   = []byte(`"delta":{"content":`)
)

// sendRequest sends one request and reads its stream. An answer with fewer tokens than
// asked for is an error.
func sendRequest(ctx context.Context, clock clockwork.Clock, client *http.Client, target target, tokens int) (answer, error) {
	var answer answer
	request, err := newRequest(ctx, target, tokens)
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
