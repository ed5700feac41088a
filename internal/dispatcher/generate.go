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

// ErrTruncated reports an answer that ended before it was complete.
var ErrTruncated = merry.Sentinel("the answer broke off")

type generateWire struct {
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
	// maxLineBytes bounds a line of an answer; a token is a few bytes long.
	maxLineBytes = 8 << 10
	// drainTime is how long the end of a complete answer's body may take. A
	// connection whose body has not ended cannot be used again.
	drainTimeout = 50 * time.Millisecond
)

// lineReaders holds buffers between answers.
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
		return filter.Finish{}, generateFailure(response)
	}
	finish, err := attempt.readStream(readTimer, response.Body, emit)
	if err != nil {
		d.abandon(spec.Slot.Address, spec.ID)
		return filter.Finish{}, attempt.failure(ctx, err)
	}
	return finish, nil
}

// begin finds the connections for an attempt.
func (d *Dispatcher) newAttempt(ctx context.Context, spec filter.Attempt) (*attempt, error) {
	if d.settings.Budget != nil {
		d.settings.Budget.RecordAttempt()
	}
	endpoint, err := d.connectionSet(ctx, spec.Slot.Address)
	if err != nil {
		return nil, filter.Failure{Run: filter.NotRun, Gone: ctx.Err() != nil, Err: err}
	}
	return &attempt{Attempt: spec, dispatcher: d, connectionSet: endpoint, callerCtx: ctx}, nil
}

func generateRequest(spec filter.Attempt) *http.Request {
	body := encoder.Encode(generateWire{
		Attempt: spec.ID, Model: spec.Model, Version: spec.Version,
		Adapter: spec.Adapter, AdapterVersion: spec.AdapterVersion,
		Prompt: spec.Prompt, MaxTokens: spec.MaxTokens, Priority: spec.Slot.Priority, From: spec.From,
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

// notGenerated is the failure of an attempt that was not answered with 200.
// The protocol says for some statuses that the attempt did not run.
func generateFailure(response *http.Response) filter.Failure {
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable:
		return refusedFailure(response)
	default:
		return filter.Failure{Run: filter.Unknown, Err: statusError(response)}
	}
}

// follow emits the events of an answer until it is complete.
func (a *attempt) readStream(readTimer *watchdog, body io.Reader, emit func(filter.Event) error) (filter.Finish, error) {
	reader := lineReaderPool.Get().(*bufio.Reader)
	reader.Reset(body)
	defer func() {
		reader.Reset(nil)
		lineReaderPool.Put(reader)
	}()
	decoder := newLineDecoder(a.ID)
	checker := SequenceChecker{Attempt: a.ID, NextIndex: a.From}
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

// moreFollows says whether the whole line of another token has arrived. It is
// asked before a line is decoded, since an event that is changed afterwards is
// allocated twice.
func nextTokenBuffered(decoder lineDecoder, reader *bufio.Reader) bool {
	next, _ := reader.Peek(reader.Buffered()) // never reads
	return bytes.HasPrefix(next, decoder.prefix) && bytes.IndexByte(next, '\n') >= 0
}

func readFailure(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return merry.Wrap(ErrMalformedLine, merry.AppendMessagef("a line is longer than %d bytes", maxLineBytes))
	}
	return merry.Wrap(ErrTruncated, merry.AppendMessage(err.Error()))
}

// drain reads the end of the body behind a complete answer. Whatever comes
// there is not part of the answer.
func (a *attempt) drain(readTimer *watchdog, reader *bufio.Reader) {
	readTimer.reset(drainTimeout)
	_, _ = reader.ReadByte()
	readTimer.stop()
}
