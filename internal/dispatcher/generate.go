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

// ErrCut reports an answer that ended before it was complete.
var ErrCut = merry.Sentinel("the answer broke off")

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
	drainTime = 50 * time.Millisecond
)

// lineReaders holds buffers between answers.
var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}

// Generate implements filter.Dispatcher.
func (d *Dispatcher) Generate(ctx context.Context, work filter.Attempt, emit func(filter.Event) error) (filter.Finish, error) {
	attempt, err := d.begin(ctx, work)
	if err != nil {
		return filter.Finish{}, err
	}
	ctx, dog, stop := watch(ctx, d.settings.Clock, d.settings.firstByte(work.Slot.Estimate))
	defer stop()
	response, err := attempt.roundTrip(ctx, attempt.endpoint.transport, generateRequest(work))
	if err != nil {
		failure := attempt.failure(ctx, err)
		if failure.Run != filter.NotRun {
			d.abandon(work.Slot.Address, work.ID)
		}
		return filter.Finish{}, failure
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return filter.Finish{}, notGenerated(response)
	}
	finish, err := attempt.follow(dog, response.Body, emit)
	if err != nil {
		d.abandon(work.Slot.Address, work.ID)
		return filter.Finish{}, attempt.failure(ctx, err)
	}
	return finish, nil
}

// begin finds the connections for an attempt.
func (d *Dispatcher) begin(ctx context.Context, work filter.Attempt) (*attempt, error) {
	if d.settings.Budget != nil {
		d.settings.Budget.Attempt()
	}
	endpoint, err := d.endpoint(ctx, work.Slot.Address)
	if err != nil {
		return nil, filter.Failure{Run: filter.NotRun, CallerGone: ctx.Err() != nil, Err: err}
	}
	return &attempt{Attempt: work, dispatcher: d, endpoint: endpoint, caller: ctx}, nil
}

func generateRequest(work filter.Attempt) *http.Request {
	body := encoder.Encode(generateWire{
		Attempt: work.ID, Model: work.Model, Version: work.Version,
		Adapter: work.Adapter, AdapterVersion: work.AdapterVersion,
		Prompt: work.Prompt, MaxTokens: work.MaxTokens, Priority: work.Slot.Priority, From: work.StartIndex,
	})
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: work.Slot.Address, Path: "/v1/generate"},
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
func notGenerated(response *http.Response) filter.Failure {
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable:
		return refused(response)
	default:
		return filter.Failure{Run: filter.Unknown, Err: answeredWith(response)}
	}
}

// follow emits the events of an answer until it is complete.
func (a *attempt) follow(dog *watchdog, body io.Reader, emit func(filter.Event) error) (filter.Finish, error) {
	reader := lineReaders.Get().(*bufio.Reader)
	reader.Reset(body)
	defer func() {
		reader.Reset(nil)
		lineReaders.Put(reader)
	}()
	decoder := newLineDecoder(a.ID)
	follower := Follower{Attempt: a.ID, Next: a.StartIndex}
	for {
		data, err := reader.ReadSlice('\n')
		dog.stop()
		if err != nil {
			return filter.Finish{}, brokenOff(err)
		}
		line, err := decoder.decode(data[:len(data)-1], moreFollows(decoder, reader))
		if err != nil {
			return filter.Finish{}, err
		}
		event, err := follower.Step(line)
		if err != nil {
			return filter.Finish{}, err
		}
		if finish, ok := event.(filter.Finish); ok {
			a.drain(dog, reader)
			return finish, nil
		}
		if err := emit(event); err != nil {
			return filter.Finish{}, merry.Wrap(errGone, merry.AppendMessage(err.Error()))
		}
		dog.start(a.dispatcher.settings.Silence)
	}
}

// moreFollows says whether the whole line of another token has arrived. It is
// asked before a line is decoded, since an event that is changed afterwards is
// allocated twice.
func moreFollows(decoder lineDecoder, reader *bufio.Reader) bool {
	next, _ := reader.Peek(reader.Buffered()) // never reads
	return bytes.HasPrefix(next, decoder.prefix) && bytes.IndexByte(next, '\n') >= 0
}

func brokenOff(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return merry.Wrap(ErrMalformedLine, merry.AppendMessagef("a line is longer than %d bytes", maxLineBytes))
	}
	return merry.Wrap(ErrCut, merry.AppendMessage(err.Error()))
}

// drain reads the end of the body behind a complete answer. Whatever comes
// there is not part of the answer.
func (a *attempt) drain(dog *watchdog, reader *bufio.Reader) {
	dog.start(drainTime)
	_, _ = reader.ReadByte()
	dog.stop()
}
