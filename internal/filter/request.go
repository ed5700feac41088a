package filter

import (
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Class determines how a request is handled under load.
type Class string

// The classes of requests.
const (
	// Interactive requests are answered in time or refused early.
	Interactive Class = "interactive"
	// Assured requests must be answered, even if slowly.
	Assured Class = "assured"
	// Deferred requests wait for spare capacity.
	Deferred Class = "deferred"
)

// Request is the state of one request of a caller in the chain. It does not
// contain the caller's key: the server replaces the key with its digest.
type Request struct {
	// Arrived is the time at which the header of the request was read.
	Arrived time.Time
	// Identity is the caller's idempotency key, or a new UUID.
	Identity string
	// IdentityGiven reports that the caller provided the identity.
	IdentityGiven bool
	Class         Class
	// Deadline is the time by which the request must be answered or refused.
	// For a generation it is the latest time of the first token.
	Deadline time.Time
	// Timeout is the duration from Arrived to the deadline that the caller
	// requested; 0 means the default of the class.
	Timeout time.Duration
	// KeyDigest is the SHA-256 digest of the key in hexadecimal, empty if the
	// request has no key.
	KeyDigest string
	Work      Work

	// The fields below are set by filters.

	// Configuration is the configuration in force when the request was
	// resolved.
	Configuration *releaser.Configuration
	// Target is set for generations.
	Target releaser.Target
	// Route is set for service calls.
	Route releaser.Route
	// Workspace is empty for requests without a key, which only public routes
	// and models allow.
	Workspace string
	// GrantID identifies the grant that the key belongs to.
	GrantID string
	// Reservation is the reservation of the tokens of the request.
	Reservation Reservation
	// Operation is the UUID of the intent of a non-idempotent call.
	Operation string
	// Slot is the slot at an endpoint.
	Slot Slot
}

// Work is the work that the caller requests: Generation, Call or *Forward.
type Work interface{ isWork() }

// Generation is the generation of text by a model.
type Generation struct {
	// Model is the name of a model or an adapter as the caller sent it.
	Model string
	// Prompt is the conversation as a single text.
	Prompt string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens int
	// Emit sends an event to the caller. It runs on the request's goroutine.
	// An error means that the caller has disconnected.
	Emit func(Event) error
}

// Call is a call of a service that runs no model.
type Call struct {
	Service     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// Forward is a request of any method that is sent to a replica unchanged, byte
// for byte.
type Forward struct {
	// Attempt is the caller's identifier of this request, which the replica
	// echoes.
	Attempt string
	Method  string
	// Target is the request target as received, and Path is its path.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Model and Adapter are empty for requests that run no model.
	Model, Adapter string
	// PromptTokens is the caller's count of prompt tokens and OutputTokens its
	// limit of output tokens; 0 means that the caller sent none.
	PromptTokens, OutputTokens int
	// ExpectedOutputTokens is the expected number of output tokens, 0 if nothing is known
	// of it.
	ExpectedOutputTokens int
	// PromptParts are the parts of the beginning of the prompt, in order.
	PromptParts []cacher.Part
	// SharedParts are the IDs of the parts of the prompt that other requests may
	// have as well, in the order of the prompt.
	SharedParts []string
	// LastEventID is the ID of the last event that the caller received, empty
	// at the start of a stream.
	LastEventID string
	// Resumes is the Attempt of the request that brought the first event of the stream
	// that this request continues, empty if the caller names none.
	Resumes string
	// Writer sends the answer to the caller.
	Writer Writer
	// Releases return what the answer holds of the node's memory. They are called when
	// the answer has been written.
	Releases []func()

	// Route, Service and Workspace are set by filters. Fingerprint is what is the same for
	// all repetitions of the request, or "" before it is needed.
	Route       resolver.Route
	Service     string
	Workspace   resolver.Workspace
	Fingerprint string
	// DataCentres are the sorted data centres whose replicas may run the request, nil for
	// all. It is set by a filter.
	DataCentres []string
}

// Rank returns the urgency of the request, which the workspace's priority sets before the
// route's; 0 is the most urgent.
func (f *Forward) Rank() int {
	if f.Workspace.Priority != nil {
		return *f.Workspace.Priority
	}
	return f.Route.Priority
}

// Writer writes an answer to the caller. An error means that the caller has
// disconnected.
type Writer interface {
	// Begin sends the status and the header of an answer whose body follows.
	Begin(status int, header http.Header) error
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
}

func (Generation) isWork() {}
func (Call) isWork()       {}
func (*Forward) isWork()   {}

// Event is a part of a generation's answer: Token, Finish or KeepAlive.
type Event interface{ isEvent() }

// Token is a piece of generated text.
type Token struct {
	// Index counts the tokens of the answer from 0, without gaps.
	Index int
	Text  string
	// MoreReady reports that the next token has also arrived, so that both can
	// be sent to the caller in one write.
	MoreReady bool
}

// Finish ends an answer.
type Finish struct {
	PromptTokens     int
	CompletionTokens int
	// Reason is "stop" or "length".
	Reason string
	// HedgeEndpoint is the name of the endpoint that answered, if it is the one
	// of a hedge and not the attempt's own.
	HedgeEndpoint string
}

// KeepAlive relays a keep-alive of the endpoint, to show the caller that the
// connection is alive.
type KeepAlive struct{}

func (Token) isEvent()     {}
func (Finish) isEvent()    {}
func (KeepAlive) isEvent() {}

// Slot is the right to run one request at an endpoint, allocated by the
// scheduler.
type Slot struct {
	// ID identifies the slot in the scheduler; 0 means no slot.
	ID uint64
	// Endpoint is the name of the endpoint's instance.
	Endpoint string
	// Address is "IP:port" of the endpoint.
	Address string
	// Priority is passed to the endpoint, which runs lower values first.
	Priority int
	// Estimate is the expected time to the first token.
	Estimate time.Duration
}

// Reply is the answer to a service call.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	// Header holds the header of a forwarded answer.
	Header http.Header `json:",omitempty"`
	// Replayed reports that the answer is the recorded outcome of an earlier
	// request with the same identity.
	Replayed bool
}
