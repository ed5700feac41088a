package forwarder

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Errors of attempts.
var (
	// ErrNotSent reports an attempt of which nothing reached the replica.
	ErrNotSent = merry.Sentinel("attempt was not sent")
	// ErrTruncated reports an answer that ended before it was complete.
	ErrTruncated = merry.Sentinel("answer broke off")
	// ErrReadTimeout reports a replica that sent nothing for too long.
	ErrReadTimeout = merry.Sentinel("replica is silent")
	// ErrInvalidResponse reports bytes that are no answer to the attempt.
	ErrInvalidResponse = merry.Sentinel("answer is not valid")
	// ErrCallerGone reports that the caller has closed its connection.
	ErrCallerGone = merry.Sentinel("caller is gone")
	// ErrEventOrder reports a stream whose events do not follow each other.
	ErrEventOrder = merry.Sentinel("events are out of order")
)

// Attempt is one request to one replica.
type Attempt struct {
	Replica string
	Address string
	Forward *filter.Forward
	// LastEvent is the ID of the last event that the caller has.
	LastEvent string
	// Priority is passed to the replica; lower runs first.
	Priority int
	// Left is the time after which the replica may stop.
	TimeLeft time.Duration
}

// Head is the beginning of a replica's answer.
type ResponseHead struct {
	// Attempt is the identity that the replica echoed.
	Attempt string
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// Length is the length of the body, -1 if it is not known.
	ContentLength int64
	// NotRun says that the replica promises not to have run the request.
	NotRun bool
	// Misdirected says that the replica is another one, or lacks the model.
	Misdirected bool
	// Authentic says that the answer bears a replica's MAC.
	Authentic bool
	// Encoded answers are not the replica's body.
	Encoded bool
	// Stream says that the body is a series of events.
	Stream bool
	// Closes says that the connection ends with the answer, and KeepFor is how
	// long it may be idle otherwise, 0 if the replica did not say.
	CloseConnection bool
	KeepAlive       time.Duration
}

// Codec encodes attempts and decodes answers.
type Codec interface {
	// Encode returns the bytes of a request.
	Encode(attempt Attempt) []byte
	// Decode reads the beginning of an answer to a request with the method.
	Decode(reader *bufio.Reader, method string) (ResponseHead, error)
}
