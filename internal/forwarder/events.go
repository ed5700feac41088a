package forwarder

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Events takes a stream of events apart. Events go on whole, so that a stream
// can be taken up at another replica.
type EventStream struct {
	// Last is the ID of the last event that was passed on, -1 before the first.
	LastID  int64
	partial []byte
}

// next reads one event with the empty line that ends it. The event is valid
// until the next call.
func (e *EventStream) next(reader *bufio.Reader) ([]byte, error) {
	e.partial = e.partial[:0]
	for {
		line, err := reader.ReadSlice('\n')
		e.partial = append(e.partial, line...)
		switch {
		case err == bufio.ErrBufferFull && len(e.partial) < maxEventBytes:
			continue
		case err != nil:
			return e.partial, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return e.partial, nil
		case len(e.partial) > maxEventBytes:
			return e.partial, merry.Wrap(ErrInvalidResponse, merry.AppendMessage("event is too long"))
		}
	}
}

// follows checks an event against the last one. An event that the caller has
// already is not passed on; one that leaves a gap is ErrEventOrder.
func (e *EventStream) checkNext(event []byte) (bool, error) {
	id, ok := eventID(event)
	switch {
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

// eventID returns the number in the id line of an event.
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
