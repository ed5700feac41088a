package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

const (
	userAgent = "toucanhitch"
	// maxReplyBytes bounds the body of a service's response.
	maxReplyBytes = 8 << 20
	// runHeader is the response header by which a service states that it did
	// not execute the call.
	runHeader = "Toucanhitch-Run"
)

// Call implements filter.Dispatcher. A call that is not idempotent gets a
// connection of its own, because net/http may repeat a request on a reused one.
func (d *Dispatcher) Call(ctx context.Context, spec filter.Attempt) (filter.Reply, error) {
	attempt, err := d.newAttempt(ctx, spec)
	if err != nil {
		return filter.Reply{}, err
	}
	transport, timeout := d.unpooled, d.settings.nonIdempotentFirstByteTimeout(spec.Slot.Estimate)
	if spec.Idempotent {
		transport, timeout = attempt.connectionSet.transport, d.settings.firstByteTimeout(spec.Slot.Estimate)
	}
	ctx, readTimer, stop := startWatchdog(ctx, d.settings.Clock, timeout)
	defer stop()
	response, err := attempt.roundTrip(ctx, transport, callRequest(spec))
	if err != nil {
		return filter.Reply{}, attempt.failure(ctx, err)
	}
	defer response.Body.Close()
	readTimer.reset(d.settings.ReadTimeout)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(runHeader) == string(filter.NotRun) {
		return filter.Reply{}, attempt.refusedFailure(response)
	}
	body, err := encoder.Read(watchedReader{response.Body, readTimer, d.settings}, maxReplyBytes)
	if err != nil {
		return filter.Reply{}, attempt.failure(ctx, err)
	}
	return filter.Reply{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body,
	}, nil
}

// watchedReader restarts the watchdog before each read of a body.
type watchedReader struct {
	io.Reader
	readTimer *watchdog
	settings  Settings
}

// Read implements io.Reader.
func (r watchedReader) Read(buffer []byte) (int, error) {
	r.readTimer.reset(r.settings.ReadTimeout)
	return r.Reader.Read(buffer)
}

// callRequest builds the request from the fields of the call only, so that no
// other header of the caller can reach a service.
func callRequest(spec filter.Attempt) *http.Request {
	header := http.Header{
		"User-Agent":            {userAgent},
		"Toucanhitch-Workspace": {spec.Workspace},
		attemptHeader:           {spec.ID},
	}
	if spec.Call.ContentType != "" {
		header.Set("Content-Type", spec.Call.ContentType)
	}
	if spec.Identity != "" {
		header.Set("Idempotency-Key", spec.Identity)
	}
	request := &http.Request{
		Method: spec.Call.Method,
		URL: &url.URL{
			Scheme: "http", Host: spec.Slot.Address,
			Path: "/" + strings.TrimPrefix(spec.Call.Path, "/"), RawQuery: stripKeys(spec.Call.Query),
		},
		Header: header,
		Body:   http.NoBody,
	}
	if len(spec.Call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(spec.Call.Body))
		request.ContentLength = int64(len(spec.Call.Body))
	}
	return request
}

// keyPattern matches a workspace key of 32 bytes in base64url.
var keyPattern = regexp.MustCompile(releaser.KeyPrefix + `[A-Za-z0-9_-]{43}`)

// stripKeys removes the query parameters that contain a workspace key. The
// others stay exactly as the caller sent them.
func stripKeys(query string) string {
	if query == "" {
		return ""
	}
	parameters := strings.Split(query, "&")
	kept := parameters[:0]
	for _, parameter := range parameters {
		unescaped, err := url.QueryUnescape(parameter)
		if err != nil {
			// A service may still read a parameter with an invalid escape, so
			// the raw text is checked.
			unescaped = parameter
		}
		if !keyPattern.MatchString(unescaped) {
			kept = append(kept, parameter)
		}
	}
	return strings.Join(kept, "&")
}

// cancel cancels an attempt on a new connection, since those in the pool may
// have stopped responding.
func (d *Dispatcher) cancel(ctx context.Context, effect Cancel) {
	ctx, _, stop := startWatchdog(ctx, d.settings.Clock, d.settings.CancelTimeout)
	defer stop()
	request := (&http.Request{
		Method: http.MethodDelete,
		URL:    &url.URL{Scheme: "http", Host: effect.Address, Path: "/v1/generate/" + effect.Attempt},
		Header: http.Header{"User-Agent": {userAgent}},
	}).WithContext(ctx)
	response, err := d.unpooled.RoundTrip(request)
	if err != nil {
		return // the endpoint is down or will detect the closed connection
	}
	_ = response.Body.Close()
}
