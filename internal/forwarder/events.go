package forwarder

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// EventStream splits a stream into events. Only complete events are passed on, so
// that the stream can be resumed at another replica.
type EventStream struct {
	// LastID is the ID of the last event that was passed on, -1 before the
	// first.
	LastID int64
	// Passed counts the events that were passed on.
	Passed  int
	partial []byte
}

// next reads one event including the empty line that ends it. The returned slice
// is valid until the next call. It calls hold with the size of the event so far and
// returns its error.
func (e *EventStream) next(reader *bufio.Reader, hold func(int64) error) ([]byte, error) {
	e.partial = e.partial[:0]
	for {
		line, err := reader.ReadSlice('\n')
		e.partial = append(e.partial, line...)
		if err := hold(int64(cap(e.partial))); err != nil {
			return e.partial, err
		}
		switch {
		case err == bufio.ErrBufferFull && len(e.partial) < maxEventBytes:
			continue
		case err != nil:
			return e.partial, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return e.partial, nil
		case len(e.partial) > maxEventBytes:
			return e.partial, merry.Wrap(ErrInvalidResponse, merry.AppendMessagef("event is longer than %d bytes", maxEventBytes))
		}
	}
}

// checkNext compares the ID of an event with the last one. It returns false for
// an event that the caller already has, ErrEventOrder for one that leaves a gap, and
// ErrInvalidResponse for bytes that are no event, such as an error that a replica
// writes into its stream.
func (e *EventStream) checkNext(event []byte) (bool, error) {
	id, ok := eventID(event)
	switch {
	case !isWellFormed(event):
		return false, merry.Wrap(ErrInvalidResponse, merry.AppendMessagef("%.80q is not a field of an event", event))
	case !ok && !isComment(event):
		return false, merry.Wrap(ErrInvalidResponse, merry.AppendMessagef("event without an ID: %.80q", event))
	case !ok:
		return true, nil
	case e.LastID >= 0 && id <= e.LastID:
		return false, nil
	case e.LastID >= 0 && id > e.LastID+1:
		return false, merry.Wrap(ErrEventOrder, merry.AppendMessagef("event %d follows event %d", id, e.LastID))
	}
	e.LastID = id
	return true, nil
}

// eventID returns the number in the id line of an event, and false if there is
// none.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// isWellFormed reports whether each line of an event is a field or a comment. The names
// of fields are in lower case.
func isWellFormed(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		for _, c := range name {
			if c != '-' && (c < 'a' || c > 'z') {
				return false
			}
		}
	}
	return true
}

// isComment reports whether an event consists of comments and empty lines.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
