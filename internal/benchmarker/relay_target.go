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

// ErrAnswer reports an answer that is not the expected stream.
var ErrAnswer = merry.Sentinel("unexpected answer")

// target is where the load is sent: direct, relayed or throughNode.
type target interface{ isTarget() }

// direct calls the engine itself.
type direct struct{ engine string }

// relayed calls the engine through the bare relay.
type relayed struct{ relay string }

// throughNode calls a node with a key.
type throughNode struct{ node, model, key string }

func (direct) isTarget()      {}
func (relayed) isTarget()     {}
func (throughNode) isTarget() {}

func targetName(target target) string {
	switch target.(type) {
	case direct:
		return "direct"
	case relayed:
		return "bare relay"
	case throughNode:
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
	case direct:
		url, body = "http://"+target.engine+"/v1/generate", engineBody(tokens)
	case relayed:
		url, body = "http://"+target.relay+"/v1/generate", engineBody(tokens)
	case throughNode:
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
	engineMark = []byte(`"Text":"`)
	chatMark   = []byte(`"delta":{"content":`)
)

// ask sends one request and reads its stream. An answer with fewer tokens than
// asked for is an error.
func ask(ctx context.Context, clock clockwork.Clock, client *http.Client, target target, tokens int) (answer, error) {
	var got answer
	request, err := newRequest(ctx, target, tokens)
	if err != nil {
		return got, err
	}
	response, err := client.Do(request)
	if err != nil {
		return got, merry.Wrap(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	last := ""
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Contains(line, engineMark) || bytes.Contains(line, chatMark) {
			if got.Tokens == 0 {
				got.FirstToken = clock.Now()
			}
			got.Tokens++
		} else if len(line) > 0 {
			last = string(line)
		}
	}
	got.Ended = clock.Now()
	if response.StatusCode != http.StatusOK || got.Tokens != tokens {
		return got, merry.Wrap(ErrAnswer, merry.AppendMessagef("%s: %s, %d of %d tokens, %s", targetName(target), response.Status, got.Tokens, tokens, last))
	}
	return got, merry.Wrap(lines.Err())
}
