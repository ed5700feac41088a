package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// ErrEndpointDied reports that the fault Die stopped a stand-in.
var ErrEndpointDied = merry.Sentinel("stand-in stopped by the fault Die")

// LeavingHandler is a stand-in that can refuse new work before it shuts down.
type LeavingHandler interface {
	EndpointHandler
	// Leave makes the stand-in refuse new work.
	Leave(ctx context.Context) error
}

// EndpointProcess runs an endpoint from its registration with the platform to
// its removal from the instance list.
type EndpointProcess struct {
	Clock   clockwork.Clock
	Handler LeavingHandler
	// Listen is the address to listen on.
	Listen string
	// Platform is the platform's address "IP:port"; empty means that the
	// endpoint is not registered.
	Platform string
	// Instance is the endpoint's entry in the instance list. Run sets its address
	// and phase.
	Instance tracker.Instance
	// Linger is how long a leaving endpoint keeps refusing new requests, so that
	// nodes receive its phase before it stops listening.
	Linger time.Duration
	// Drain is the longest wait for requests in progress.
	Drain time.Duration
}

const (
	maxRegisterAttempts = 10
	registerTimeout     = 2 * time.Second
	registerRetryDelay  = 500 * time.Millisecond
)

// Run serves until ctx ends and then shuts down gracefully. The error wraps
// ErrEndpointDied if the fault Die stopped the endpoint.
func (p EndpointProcess) Run(ctx context.Context) error {
	server, closeServer, err := ServeEndpoint(p.Listen, p.Handler)
	if err != nil {
		return err
	}
	defer closeServer()
	p.Instance.Address = server.Address
	if err := p.register(ctx, tracker.Live); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-server.Ended():
		return merry.Wrap(ErrEndpointDied)
	}
	return p.leave(context.WithoutCancel(ctx), server)
}

func (p EndpointProcess) leave(ctx context.Context, server *EndpointServer) error {
	if err := p.Handler.Leave(ctx); err != nil {
		return err
	}
	if err := p.register(ctx, tracker.Leaving); err != nil {
		return err
	}
	<-p.Clock.After(p.Linger)
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, p.Drain)
	defer cancel()
	err := server.Shutdown(ctx)
	if err == nil && p.Platform != "" {
		err = p.callPlatform(context.WithoutCancel(ctx), http.MethodDelete, nil)
	}
	return err
}

// register writes the instance's entry with a phase. It retries failed calls up
// to maxRegisterAttempts.
func (p EndpointProcess) register(ctx context.Context, phase tracker.Phase) error {
	if p.Platform == "" {
		return nil
	}
	p.Instance.Phase = phase
	body := encoder.Encode(wireInstance(p.Instance))
	var err error
	for range maxRegisterAttempts {
		if err = p.callPlatform(ctx, http.MethodPut, body); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Wrap(context.Cause(ctx))
		case <-p.Clock.After(registerRetryDelay):
		}
	}
	return err
}

func (p EndpointProcess) callPlatform(ctx context.Context, method string, body []byte) error {
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, registerTimeout)
	defer cancel()
	url := "http://" + p.Platform + "/instances/" + p.Instance.Name
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return merry.Wrap(err, merry.PrependMessagef("%s %s", method, url))
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return merry.Errorf("%s %s: %s: %s", method, url, response.Status, detail)
	}
	return nil
}
