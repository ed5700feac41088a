package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of a response, and maxStaleBodyBytes
	// the body of a response to an earlier request. A replica in trouble may send bytes
	// without end. A header takes over 100 bytes of memory, however short its line is.
	maxHeadBytes      = 64 << 10
	maxHeadLines      = 256
	maxStaleBodyBytes = 1 << 20
	// freeBufferBytes is the size up to which a body counts against the budget of small
	// parts, so that large bodies leave room for ordinary ones.
	freeBufferBytes = 64 << 10
	// maxBufferWait is how long a replica waits while there is no memory for its answer.
	// Replicas cut off an answer that stays unread for some seconds.
	maxBufferWait = 2 * time.Second
	// bufferPollInterval is the time between two attempts to get memory.
	bufferPollInterval = 20 * time.Millisecond
)

// ErrNoBuffer reports a body for which there is no memory.
var ErrNoBuffer = merry.Sentinel("no memory for the body")

// limitedReader reads at most a number of bytes, and of lines of a head, between two calls
// of limit, and then returns ErrInvalidResponse.
type limitedReader struct {
	source io.Reader
	// remaining is negative if the reader is not limited.
	remaining int64
	// lines is the number of lines that may still be read.
	lines int
	// onTimeout, unless nil, is called when a read has reached its deadline. The reader
	// reads on if it returns true. Otherwise failed is set, and all later reads fail too: the
	// parser of heads ignores the first error within a line.
	onTimeout func() bool
	failed    error
}

// limitHead allows the bytes and lines of a head to be read. The lines of a body that
// arrive with the end of the head count, but nothing is read after them.
func (r *limitedReader) limitHead() { r.remaining, r.lines = maxHeadBytes, maxHeadLines }

// limitBody allows n more bytes to be read.
func (r *limitedReader) limitBody(n int64) { r.remaining, r.lines = n, math.MaxInt }

// unlimit removes the limits.
func (r *limitedReader) unlimit() { r.remaining = -1 }

// Read implements io.Reader.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	switch {
	case r.remaining < 0:
		return r.readOn(buffer)
	case r.remaining == 0, r.lines < 0:
		return 0, merry.Wrap(ErrInvalidResponse, merry.AppendMessage("the head of the response is too long"))
	}
	n, err := r.readOn(buffer[:min(int64(len(buffer)), r.remaining)])
	r.remaining -= int64(n)
	r.lines -= bytes.Count(buffer[:n], []byte("\n"))
	return n, err
}

// readOn reads from the source, after a time-out again if onTimeout allows it.
func (r *limitedReader) readOn(buffer []byte) (int, error) {
	for r.failed == nil {
		n, err := r.source.Read(buffer)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if r.onTimeout == nil || !r.onTimeout() {
			r.failed = err
		}
	}
	return 0, r.failed
}

// BufferBudget bounds the bytes that all requests of a node hold together, of their bodies
// or of their responses. The first freeBufferBytes of each are bounded apart from the rest.
type BufferBudget struct {
	limit       int64
	held, small atomic.Int64
	// OnScarce is called with the bytes that should be returned when more than three
	// quarters of the budget are held. It must not block. It may be nil.
	OnScarce func(excess int64)
}

// NewBufferBudget returns a budget of a number of bytes, and as many for small parts.
func NewBufferBudget(limit int64) *BufferBudget { return &BufferBudget{limit: limit} }

// BufferHold is what one request holds of a budget, which must be set.
type BufferHold struct {
	Budget      *BufferBudget
	held, small int64
}

// Grow sets the number of bytes that the request holds. It returns ErrNoBuffer if that
// exceeds the budget.
func (h *BufferHold) Grow(bytes int64) error {
	small, large := min(bytes, freeBufferBytes), max(0, bytes-freeBufferBytes)
	defer h.Budget.reportScarcity()
	if !take(&h.Budget.small, &h.small, small, h.Budget.limit) || !take(&h.Budget.held, &h.held, large, h.Budget.limit) {
		return merry.Wrap(ErrNoBuffer, merry.AppendMessagef("%d bytes exceed what is left of %d", bytes, h.Budget.limit))
	}
	return nil
}

// reportScarcity calls OnScarce if the budget is scarce.
func (b *BufferBudget) reportScarcity() {
	if b.OnScarce == nil {
		return
	}
	if most := max(b.held.Load(), b.small.Load()); most > b.limit/4*3 {
		b.OnScarce(most - b.limit/2)
	}
}

// take raises what a request holds of a total. It reports false if that exceeds the limit.
func take(total *atomic.Int64, held *int64, wanted, limit int64) bool {
	if wanted <= *held {
		return true
	}
	if total.Add(wanted-*held) > limit {
		total.Add(*held - wanted)
		return false
	}
	*held = wanted
	return true
}

// growInTime is Grow, but waits for at most maxBufferWait until others return memory.
func (h *BufferHold) growInTime(ctx context.Context, clock clockwork.Clock, bytes int64) error {
	err := h.Grow(bytes)
	if bytes-freeBufferBytes > h.Budget.limit {
		return err
	}
	for waited := time.Duration(0); err != nil && waited < maxBufferWait; waited += bufferPollInterval {
		select {
		case <-ctx.Done():
			return err
		case <-clock.After(bufferPollInterval):
		}
		err = h.Grow(bytes)
	}
	return err
}

// Release returns what the request holds.
func (h *BufferHold) Release() {
	h.Budget.held.Add(-h.held)
	h.Budget.small.Add(-h.small)
	h.held, h.small = 0, 0
}
