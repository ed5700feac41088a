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
	// ErrNotSent reports an attempt of which no byte reached the replica.
	ErrNotSent = merry.Sentinel("attempt was not sent")
	// ErrTruncated reports a response that ended before it was complete.
	ErrTruncated = merry.Sentinel("response ended before it was complete")
	// ErrReadTimeout reports a replica that sent no data within the time
	// allowed.
	ErrReadTimeout = merry.Sentinel("replica sent no data within the time allowed")
	// ErrInvalidResponse reports data that is not a valid response to the
	// attempt.
	ErrInvalidResponse = merry.Sentinel("response is not valid")
	// ErrCallerGone reports that the caller has closed its connection.
	ErrCallerGone = merry.Sentinel("caller closed its connection")
	// ErrShutdown is the cause with which a node that shuts down ends the contexts of its
	// remaining requests.
	ErrShutdown = merry.Sentinel("node shuts down")
	// ErrRanDespiteStatus reports a replica that has run the request, as far as is known, and
	// answers with a status that guarantees the contrary to the caller.
	ErrRanDespiteStatus = merry.Sentinel("replica may have run the request despite its status")
	// ErrEventOrder reports a stream whose event IDs leave a gap.
	ErrEventOrder = merry.Sentinel("events are out of order")
)

// Attempt is one request to one replica.
type Attempt struct {
	Replica string
	Address string
	Forward *filter.Forward
	// LastEvent is the ID of the last event that the caller has received.
	LastEvent string
	// Priority is passed to the replica; lower runs first.
	Priority int
	// TimeLeft is the time after which the replica may stop.
	TimeLeft time.Duration
}

// ResponseHead is the status and the header of a replica's response, with a
// reader of its body.
type ResponseHead struct {
	// Attempt is the attempt ID that the replica echoed, if it did.
	Attempt string
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// ContentLength is the length of the body in bytes, -1 if it is not known.
	ContentLength int64
	// NotRun reports that the replica guarantees that it did not run the
	// request.
	NotRun bool
	// PromisesNotRun reports a status that callers take for a guarantee that the request has
	// not run and never will. A replica that does not set NotRun may still answer with it
	// after it has run the request.
	PromisesNotRun bool
	// Misdirected reports that the request reached another replica than
	// intended, or one without the model.
	Misdirected bool
	// Authentic reports that the response carries a replica's MAC.
	Authentic bool
	// Encoded reports a content encoding, so that the body is not the replica's
	// own.
	Encoded bool
	// Stream reports that the body is an event stream.
	Stream bool
	// CloseConnection reports that the connection ends with the response.
	// Otherwise KeepAlive is how long it may be idle, 0 if the replica did not
	// specify it.
	CloseConnection bool
	KeepAlive       time.Duration
	// Notice is what the replica announces about itself.
	Notice Notice
}

// Notice is what a replica announces about itself in a response.
type Notice struct {
	// RateLimit is the number of requests a second that the replica takes from all
	// nodes together, 0 if it names no limit.
	RateLimit float64
	// Brittle reports that the replica ends if it has to turn more than MaxRefusals
	// requests away in a second for want of room.
	Brittle     bool
	MaxRefusals int
	// Leaving reports that the replica is about to end. It takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the replica wants no requests of this node, 0
	// if it names none.
	RetryAfter time.Duration
	// Malformed holds the headers that could not be understood.
	Malformed []string
}

// Codec encodes attempts and decodes responses.
type Codec interface {
	// EncodeHead returns the bytes of a request before its body.
	EncodeHead(attempt Attempt) []byte
	// Decode reads the head of a response to a request with the given method.
	Decode(reader *bufio.Reader, method string) (ResponseHead, error)
}
