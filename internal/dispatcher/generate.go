package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
)

// ErrTruncated reports a response that ended before it was complete.
var ErrTruncated = merry.Sentinel("the response ended before it was complete")

type generateBody struct {
	Attempt        string
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	Prompt         string
	MaxTokens      int
	Priority       int
	From           int
}

const (
	// maxLineBytes bounds a line of a response; a token is a few bytes long.
	maxLineBytes = 8 << 10
	// drainTimeout bounds the wait for the end of the body after a complete
	// response. A connection cannot be reused before the body has ended.
	drainTimeout = 50 * time.Millisecond
)

// lineReaderPool holds read buffers that are not in use.
var lineReaderPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}

// Generate implements filter.Dispatcher.
func (d *Dispatcher) Generate(ctx context.Context, spec filter.Attempt, emit func(filter.Event) error) (filter.Finish, error) {
	attempt, err := d.newAttempt(ctx, spec)
	if err != nil {
		return filter.Finish{}, err
	}
	ctx, readTimer, stop := startWatchdog(ctx, d.settings.Clock, d.settings.firstByteTimeout(spec.Slot.Estimate))
	defer stop()
	response, err := attempt.roundTrip(ctx, attempt.connectionSet.transport, generateRequest(spec))
	if err != nil {
		failure := attempt.failure(ctx, err)
		if failure.Run != filter.NotRun {
			d.abandon(spec.Slot.Address, spec.ID)
		}
		return filter.Finish{}, failure
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return filter.Finish{}, attempt.statusFailure(response)
	}
	finish, err := attempt.readStream(readTimer, response.Body, emit)
	if err != nil {
		d.abandon(spec.Slot.Address, spec.ID)
		return filter.Finish{}, attempt.failure(ctx, err)
	}
	return finish, nil
}

// newAttempt records an attempt in the budget and gets the connections for it.
func (d *Dispatcher) newAttempt(ctx context.Context, spec filter.Attempt) (*attempt, error) {
	if d.settings.Budget != nil {
		d.settings.Budget.RecordAttempt()
	}
	set, err := d.connectionSet(ctx, spec.Slot.Address)
	if err != nil {
		return nil, filter.Failure{Run: filter.NotRun, CallerGone: ctx.Err() != nil, Err: err}
	}
	return &attempt{Attempt: spec, dispatcher: d, connectionSet: set, callerCtx: ctx}, nil
}

func generateRequest(spec filter.Attempt) *http.Request {
	body := encoder.Encode(generateBody{
		Attempt: spec.ID, Model: spec.Model, Version: spec.Version,
		Adapter: spec.Adapter, AdapterVersion: spec.AdapterVersion,
		Prompt: spec.Prompt, MaxTokens: spec.MaxTokens, Priority: spec.Slot.Priority, From: spec.StartIndex,
	})
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: spec.Slot.Address, Path: "/v1/generate"},
		Header:        http.Header{"Content-Type": {"application/json"}, "User-Agent": {userAgent}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		// GetBody allows net/http to send the request again if an idle
		// connection turns out to be closed before a byte was written.
		GetBody: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil },
	}
}

// statusFailure returns the failure of an attempt whose response has a status
// other than 200. By the protocol, some statuses mean that the attempt did not
// run.
func (a *attempt) statusFailure(response *http.Response) filter.Failure {
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable:
		return a.refusedFailure(response)
	default:
		_, err := statusError(response)
		return filter.Failure{Run: filter.Unknown, Err: err}
	}
}

// readStream emits the events of a response until it is complete.
func (a *attempt) readStream(readTimer *watchdog, body io.Reader, emit func(filter.Event) error) (filter.Finish, error) {
	reader := lineReaderPool.Get().(*bufio.Reader)
	reader.Reset(body)
	defer func() {
		reader.Reset(nil)
		lineReaderPool.Put(reader)
	}()
	decoder := newLineDecoder(a.ID)
	checker := SequenceChecker{Attempt: a.ID, NextIndex: a.StartIndex}
	for {
		data, err := reader.ReadSlice('\n')
		readTimer.stop()
		if err != nil {
			return filter.Finish{}, readFailure(err)
		}
		line, err := decoder.decode(data[:len(data)-1], nextTokenBuffered(decoder, reader))
		if err != nil {
			return filter.Finish{}, err
		}
		event, err := checker.Check(line)
		if err != nil {
			return filter.Finish{}, err
		}
		if finish, ok := event.(filter.Finish); ok {
			a.drain(readTimer, reader)
			return finish, nil
		}
		if err := emit(event); err != nil {
			return filter.Finish{}, merry.Wrap(errCallerGone, merry.AppendMessage(err.Error()))
		}
		readTimer.reset(a.dispatcher.settings.ReadTimeout)
	}
}

// nextTokenBuffered reports whether the complete line of another token is
// buffered. It is called before a line is decoded, since setting the flag in
// the event afterwards would allocate the event twice.
func nextTokenBuffered(decoder lineDecoder, reader *bufio.Reader) bool {
	next, _ := reader.Peek(reader.Buffered()) // never reads from the connection
	return bytes.HasPrefix(next, decoder.prefix) && bytes.IndexByte(next, '\n') >= 0
}

func readFailure(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return merry.Wrap(ErrMalformedLine, merry.AppendMessagef("a line is longer than %d bytes", maxLineBytes))
	}
	return merry.Wrap(ErrTruncated, merry.AppendMessage(err.Error()))
}

// drain reads the end of the body after a complete response. Data found there
// is ignored, as it is not part of the response.
func (a *attempt) drain(readTimer *watchdog, reader *bufio.Reader) {
	readTimer.reset(drainTimeout)
	_, _ = reader.ReadByte()
	readTimer.stop()
}
