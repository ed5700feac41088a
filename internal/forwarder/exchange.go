package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// maxInlineWriteBytes is the size of a request up to which it is written
	// before the response is read, because it fits in the connection's buffers.
	maxInlineWriteBytes = 8 << 10
	// maxStaleResponses bounds the responses that are read until one belongs to
	// the attempt.
	maxStaleResponses = 3
	// maxReplyBytes bounds a response that is buffered until it is complete.
	maxReplyBytes = 8 << 20
	// readSpace is the space in a buffer beyond the length of a body, so that reading to
	// its end does not enlarge it.
	readSpace = 512
)

// exchange is one attempt on one connection. The connection is closed if the
// exchange ends early, so that no later request can receive its data.
type exchange struct {
	pool    *Pool
	attempt Attempt
	conn    *connection
	head    ResponseHead
	// timedOut is set when the replica was given up because it was silent.
	timedOut atomic.Bool
	watchdog clockwork.Timer
	silence  silence
	// stopCallerWatch stops closing the connection when the caller's context
	// ends.
	stopCallerWatch func() bool
	// writeResult receives the result of a write that runs while the response
	// is read. It is nil if the request was written before.
	writeResult chan error
	// partition watches for silence that shows that the node is partitioned.
	partition partitionWatch
}

// open sends an attempt. It returns ErrNotSent if nothing reached the replica. After any other
// error the request may run. The replica counts as silent after the timeout.
func (p *Pool) open(ctx context.Context, codec Codec, attempt Attempt, timeout time.Duration) (*exchange, error) {
	conn, err := p.get(ctx, attempt.Replica, attempt.Address, attempt.Forward.Attempt)
	if err != nil {
		return nil, err
	}
	e := &exchange{pool: p, attempt: attempt, conn: conn}
	e.stopCallerWatch = context.AfterFunc(ctx, func() { conn.Close() })
	e.silence.until = p.clock.Now().Add(timeout)
	e.watchdog = p.clock.AfterFunc(timeout, e.expire)
	e.watchPartition()
	if err := e.send(codec.EncodeHead(attempt), attempt.Forward.Body); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// awaitHead reads the head of the response. givesUp is called when the replica is silent, then
// and while its answer is read, and the exchange goes on unless it returns true.
func (e *exchange) awaitHead(ctx context.Context, codec Codec, givesUp func() bool) error {
	e.watchSilence(givesUp)
	if err := e.readHead(codec); err != nil {
		return e.classifyError(ctx, err)
	}
	return nil
}

// send writes a request. The body is not copied, since requests hold theirs until they end.
func (e *exchange) send(head, body []byte) error {
	request := net.Buffers{head, body}
	if len(head)+len(body) > maxInlineWriteBytes {
		e.writeResult = make(chan error, 1)
		go func() {
			_, err := e.conn.writeBuffers(&request)
			e.writeResult <- err
		}()
		return nil
	}
	n, err := e.conn.writeBuffers(&request)
	switch {
	case err != nil && n == 0 && !e.conn.reused:
		return merry.Wrap(ErrNotSent, merry.AppendMessagef("%v", err))
	case err != nil && e.failedWhilePartitioned():
		return merry.Wrap(ErrPartitioned, merry.AppendMessagef("write: %v", err))
	case err != nil:
		return merry.Wrap(ErrTruncated, merry.AppendMessagef("write: %v", err))
	}
	return nil
}

// readHead reads response heads until one belongs to the attempt, because a
// replica may send a second response to an earlier request on the connection.
func (e *exchange) readHead(codec Codec) error {
	for range maxStaleResponses {
		e.conn.limited.limitHead()
		head, err := codec.Decode(e.conn.reader, e.attempt.Forward.Method)
		if err != nil {
			return err
		}
		e.head = head
		if head.Status < 200 {
			continue
		}
		if e.isOwnResponse(head) {
			e.conn.limited.unlimit()
			return nil
		}
		e.conn.limited.limitBody(maxStaleBodyBytes)
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return err
		}
	}
	return merry.Wrap(ErrInvalidResponse, merry.AppendMessagef("none of %d responses belongs to the request", maxStaleResponses))
}

// isOwnResponse reports whether a response belongs to the attempt. One that names no
// attempt can only be attributed on a new connection: on a reused one it may be the
// repetition of an earlier response.
func (e *exchange) isOwnResponse(head ResponseHead) bool {
	if head.Attempt == "" && !e.conn.reused {
		return true
	}
	return head.Attempt == e.attempt.Forward.Attempt
}

// classifyError returns the error of a failed read: ErrShutdown, ErrCallerGone,
// ErrPartitioned, ErrReadTimeout, ErrInvalidResponse, ErrEventOrder, ErrNoBuffer or ErrTruncated.
func (e *exchange) classifyError(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), ErrShutdown):
		return merry.Wrap(ErrShutdown, merry.AppendMessagef("%v", err))
	case ctx.Err() != nil:
		return merry.Wrap(ErrCallerGone, merry.AppendMessagef("%v", context.Cause(ctx)))
	case e.failedWhilePartitioned() && e.timedOut.Load():
		return merry.Wrap(ErrPartitioned, merry.WithCause(ErrReadTimeout), merry.AppendMessagef("%v", err))
	case e.failedWhilePartitioned():
		return merry.Wrap(ErrPartitioned, merry.AppendMessagef("%v", err))
	case e.timedOut.Load():
		return merry.Wrap(ErrReadTimeout, merry.AppendMessagef("%v", err))
	case errors.Is(err, ErrInvalidResponse), errors.Is(err, ErrEventOrder), errors.Is(err, ErrNoBuffer):
		return err
	}
	return merry.Wrap(ErrTruncated, merry.AppendMessagef("%v", err))
}

// resetTimeout restarts the read timeout from now.
func (e *exchange) resetTimeout(timeout time.Duration) {
	e.silence.until = e.pool.clock.Now().Add(timeout)
	e.watchdog.Reset(timeout)
}

// close ends the exchange and closes its connection.
func (e *exchange) close() {
	e.endSilence()
	e.watchdog.Stop()
	e.partition.stop()
	e.stopCallerWatch()
	e.conn.Close()
}

// finish returns the connection to the pool after a complete response if it can
// be reused, and closes it otherwise.
func (e *exchange) finish() {
	e.endSilence()
	stopped := e.watchdog.Stop()
	e.partition.stop()
	if !e.stopCallerWatch() || !stopped || e.head.CloseConnection || !e.isRequestWritten() {
		e.conn.Close()
		return
	}
	if e.head.NotRun || e.head.Status >= http.StatusBadRequest {
		e.conn.unserved = append(e.conn.unserved, e.attempt.Forward.Attempt)
	}
	e.pool.put(e.attempt.Address, e.conn, e.head.KeepAlive)
}

// isRequestWritten reports whether the whole request was written. A replica that
// responds early may still be reading the rest of the body from the connection.
func (e *exchange) isRequestWritten() bool {
	if e.writeResult == nil {
		return true
	}
	select {
	case err := <-e.writeResult:
		return err == nil
	default:
		return false
	}
}

// readAll reads the body of a response to its end. It waits for memory, and with it the
// replica, for at most maxBufferWait.
func (e *exchange) readAll(ctx context.Context, hold *BufferHold) ([]byte, error) {
	// The length is what the replica claims: memory for it is taken as the body
	// arrives.
	size := max(0, min(e.head.ContentLength, freeBufferBytes)) + readSpace
	if err := hold.growInTime(ctx, e.pool.clock, size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size = 2 * int64(cap(body))
			if e.head.ContentLength >= int64(cap(body)) {
				size = min(size, e.head.ContentLength+readSpace)
			}
			if err := hold.growInTime(ctx, e.pool.clock, size); err != nil {
				return nil, err
			}
			body = slices.Grow(body, int(size)-len(body))
		}
		n, err := e.head.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, e.classifyError(ctx, err)
		case len(body) > maxReplyBytes:
			return nil, merry.Wrap(ErrInvalidResponse, merry.AppendMessagef("response is longer than %d bytes", maxReplyBytes))
		}
	}
}

// discardBody reads the body of a refusal to its end. A refusal that breaks off does not guarantee
// that the request has not run. Errors are those of classifyError.
func (e *exchange) discardBody(ctx context.Context) error {
	n, err := io.CopyN(io.Discard, e.head.Body, maxReplyBytes+1)
	switch {
	case err == nil:
		return merry.Wrap(ErrInvalidResponse, merry.AppendMessagef("refusal is longer than %d bytes", n-1))
	case errors.Is(err, io.EOF):
		return nil
	}
	return e.classifyError(ctx, err)
}

// forwardEvents passes the events of a stream to write as they arrive. It returns
// nil when the stream has ended as complete. A stream without events is complete only
// if the caller has resumed it. An error of write is returned as
// ErrCallerGone. Only numbered events restart the timeout, so that comments without
// end do not keep a stream open.
func (e *exchange) forwardEvents(ctx context.Context, events *EventStream, timeout time.Duration, write func([]byte) error) error {
	reader := bufio.NewReaderSize(e.head.Body, streamBufferBytes)
	hold := BufferHold{Budget: e.pool.buffers}
	defer hold.Release()
	e.resetTimeout(timeout)
	begun := false
	for {
		event, err := events.next(reader, hold.Grow)
		switch {
		case errors.Is(err, io.EOF) && len(event) == 0 && !begun && e.attempt.Forward.LastEventID == "":
			return merry.Wrap(ErrTruncated, merry.AppendMessage("stream ends before its first event"))
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return merry.Wrap(ErrTruncated, merry.AppendMessage("stream ends within an event"))
		case err != nil:
			return e.classifyError(ctx, err)
		}
		isNew, err := events.checkNext(event)
		if err != nil {
			return err
		}
		_, numbered := eventID(event)
		if numbered {
			begun = true
			// A caller that reads slowly is not a time-out of the replica.
			e.watchdog.Stop()
		}
		if isNew {
			e.partition.pause()
			if err := write(event); err != nil {
				return merry.Wrap(ErrCallerGone, merry.AppendMessagef("%v", err))
			}
			e.partition.resume()
			events.Passed++
		}
		if numbered {
			e.resetTimeout(timeout)
		}
	}
}

// streamBufferBytes is the size of a read buffer that fits a few events.
const streamBufferBytes = 2 << 10
