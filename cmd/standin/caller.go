package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
)

type callerArguments struct {
	Node           string        `arg:"--node,required" help:"IP:port of any node; it is queried for the address to use"`
	Key            string        `arg:"--key,env:STANDIN_KEY" help:"workspace key"`
	Class          string        `arg:"--class" help:"interactive, assured or deferred"`
	Deadline       string        `arg:"--deadline" help:"deadline of the request, such as 20s"`
	Model          string        `arg:"--model" help:"model or adapter to request a completion from"`
	Prompt         string        `arg:"--prompt" default:"Wind on the lake tomorrow?"`
	MaxTokens      int           `arg:"--max-tokens" default:"12"`
	Service        string        `arg:"--service" help:"service to call, if no model is given"`
	Method         string        `arg:"--method" default:"POST"`
	Path           string        `arg:"--path" default:"/"`
	Body           string        `arg:"--body"`
	IdempotencyKey string        `arg:"--identity" help:"Idempotency-Key"`
	Direct         bool          `arg:"--direct" help:"use --node itself instead of querying it for an address"`
	UntilRefused   time.Duration `arg:"--until-refused" help:"repeat the request on one connection until it is refused, at most this long"`
}

// addressResponse is a node's response to a query for the addresses to use, best
// first.
type addressResponse struct {
	Addresses []struct {
		Address    string
		DataCentre string
	}
	CacheFor string
}

const (
	maxResponseBytes = 16 << 20
	repeatInterval   = 200 * time.Millisecond
)

func (a *callerArguments) run(ctx context.Context) error {
	address, err := a.lookupAddress(ctx)
	if err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	deadline := clock.Now().Add(a.UntilRefused)
	for {
		status, err := a.send(ctx, address)
		if err != nil {
			return err
		}
		if a.UntilRefused == 0 || status >= http.StatusBadRequest || clock.Now().After(deadline) {
			return nil
		}
		<-clock.After(repeatInterval)
	}
}

func (a *callerArguments) lookupAddress(ctx context.Context) (string, error) {
	if a.Direct {
		return a.Node, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Node+"/v1/address", nil)
	if err != nil {
		return "", merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		return "", merry.Errorf("%s: %s: %s", a.Node, response.Status, detail)
	}
	decoded, err := encoder.DecodeFrom[addressResponse](response.Body, maxResponseBytes)
	if err != nil {
		return "", err
	}
	if len(decoded.Addresses) == 0 {
		return "", merry.Errorf("%s returned no address", a.Node)
	}
	fmt.Printf("%s says: use %s in %s, for %s\n", a.Node, decoded.Addresses[0].Address, decoded.Addresses[0].DataCentre, decoded.CacheFor)
	return decoded.Addresses[0].Address, nil
}

func (a *callerArguments) newRequest(ctx context.Context, address string) (*http.Request, error) {
	method, url, body := a.Method, "http://"+address+"/services/"+a.Service+a.Path, a.Body
	if a.Model != "" {
		method, url = http.MethodPost, "http://"+address+"/v1/chat/completions"
		body = string(encoder.Encode(map[string]any{
			"model": a.Model, "stream": true, "max_tokens": a.MaxTokens,
			"messages": []map[string]string{{"role": "user", "content": a.Prompt}},
		}))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{
		"Toucanhitch-Class": a.Class, "Toucanhitch-Deadline": a.Deadline, "Idempotency-Key": a.IdempotencyKey,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if a.Key != "" {
		request.Header.Set("Authorization", "Bearer "+a.Key)
	}
	return request, nil
}

// send sends one request, prints the response and returns its status.
func (a *callerArguments) send(ctx context.Context, address string) (int, error) {
	connection := ""
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		kind := "new"
		if info.Reused {
			kind = "same"
		}
		connection = kind + " connection from " + info.Conn.LocalAddr().String()
	}})
	request, err := a.newRequest(ctx, address)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	defer response.Body.Close()
	fmt.Printf("%s (%s): ", response.Status, connection)
	return response.StatusCode, printResponse(response)
}

func printResponse(response *http.Response) error {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		if response.Header.Get("Idempotency-Replayed") != "" {
			fmt.Print("recorded outcome: ")
		}
		fmt.Println(strings.TrimSpace(string(body)))
		return merry.Wrap(err)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		printEvent(lines.Text())
	}
	fmt.Println()
	return merry.Wrap(lines.Err())
}

// chunk is the part of a chat completion chunk that is printed.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func printEvent(line string) {
	data, ok := strings.CutPrefix(line, "data: ")
	switch {
	case !ok && line != "":
		fmt.Printf("[%s]", line)
	case data == "[DONE]":
		fmt.Print(" [end]")
	case ok:
		printChunk(data)
	}
}

// printChunk prints the text of a chunk, or the complete data of any other event.
func printChunk(data string) {
	var parsed chunk
	if err := json.Unmarshal([]byte(data), &parsed); err != nil || len(parsed.Choices) == 0 {
		fmt.Printf(" %s", data)
		return
	}
	fmt.Print(parsed.Choices[0].Delta.Content)
}
