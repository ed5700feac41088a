// Package orderer sends the placer's orders to engines.
//
// Only this package depends on the encoding of orders, so an engine with another
// interface can be adapted here and the placer is independent of HTTP.
package orderer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/validator"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// tokenHeader carries the shared secret with which endpoints authenticate the
// sender.
const tokenHeader = "Toucanhitch-Order-Token"

// maxAnswerBytes limits the size of an endpoint's answer to an order.
const maxAnswerBytes = 4 << 10

// Sender sends orders to engines over HTTP.
type Sender struct {
	clock     clockwork.Clock
	transport validator.Transport
	token     string
	timeout   time.Duration
}

// New returns a sender and a function that closes its idle connections.
// The token is empty if the endpoints do not authenticate senders.
func New(clock clockwork.Clock, token string, timeout time.Duration) (*Sender, func()) {
	transport := validator.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: timeout}).DialContext,
		MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		IdleConnTimeout:        5 * time.Second,
		MaxIdleConnsPerHost:    1,
	})
	sender := &Sender{clock: clock, transport: transport, token: token, timeout: timeout}
	return sender, transport.CloseIdleConnections
}

type orderRequest struct {
	Order          string
	Model          string
	Version        string
	Adapter        string `json:",omitempty"`
	AdapterVersion string `json:",omitempty"`
	MemoryMB       int
	Fence          uint64
}

type orderRefusal struct {
	Error string
	Fence uint64
}

// Send implements placer.Sender. The request is cancelled at the end of the order's
// lease, so that a process that was paused does not continue to send.
func (s *Sender) Send(ctx context.Context, order placer.Order) placer.OrderAnswered {
	result := placer.OrderAnswered{Endpoint: order.Endpoint, Key: order.Key, Fence: order.Fence}
	remaining := order.Until.Sub(s.clock.Now())
	if remaining <= 0 {
		result.Outcome, result.Detail = placer.NotSent, "the lease ended before the order was sent"
		return result
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, min(remaining, s.timeout))
	defer cancel()
	request, err := s.newRequest(ctx, order)
	if err != nil {
		result.Outcome, result.Detail = placer.NotSent, err.Error()
		return result
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		s.transport.CloseIdleAfter(err)
		result.Outcome, result.Detail = transportOutcome(err), err.Error()
		return result
	}
	defer response.Body.Close()
	return classifyResponse(result, response)
}

func (s *Sender) newRequest(ctx context.Context, order placer.Order) (*http.Request, error) {
	body := orderRequest{Order: string(order.Kind), MemoryMB: order.MemoryMB, Fence: order.Fence}
	body.Model, body.Version = releaser.SplitKey(order.Key.Model)
	body.Adapter, body.AdapterVersion = releaser.SplitKey(order.Key.Adapter)
	url := "http://" + order.Address + "/v1/orders"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoder.Encode(body)))
	if err != nil {
		return nil, err
	}
	// An order must be sent at most once. Without GetBody, the transport cannot
	// retry it on another connection.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if s.token != "" {
		request.Header.Set(tokenHeader, s.token)
	}
	return request, nil
}

// transportOutcome returns NotSent if the connection could not be established, and
// Uncertain if the order may have reached the endpoint.
func transportOutcome(err error) placer.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return placer.NotSent
	}
	return placer.Uncertain
}

func classifyResponse(result placer.OrderAnswered, response *http.Response) placer.OrderAnswered {
	body, err := encoder.Read(response.Body, maxAnswerBytes)
	if err != nil && !errors.Is(err, encoder.ErrTooLarge) {
		// A broken answer does not show whether the endpoint executes the order.
		result.Outcome, result.Detail = placer.Uncertain, response.Status+": "+err.Error()
		return result
	}
	refusal, err := encoder.Decode[orderRefusal](body)
	result.Detail = response.Status
	if err == nil && refusal.Error != "" {
		result.Detail += ": " + refusal.Error
	}
	switch {
	case response.StatusCode == http.StatusAccepted:
		result.Outcome, result.Detail = placer.Accepted, ""
	case response.StatusCode == http.StatusConflict:
		result.Outcome, result.Current = placer.StaleFence, refusal.Fence
	case response.StatusCode == http.StatusInsufficientStorage:
		result.Outcome = placer.NoMemory
	case response.StatusCode < http.StatusInternalServerError:
		result.Outcome = placer.Refused
	default:
		result.Outcome = placer.Uncertain
	}
	return result
}
