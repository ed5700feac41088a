package filter

import (
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Class says how a request is treated under load.
type Class string

// The classes of requests.
const (
	// Interactive requests are in time or refused early.
	Interactive Class = "interactive"
	// Assured requests must arrive, even if slower.
	Assured Class = "assured"
	// Deferred requests wait for spare capacity.
	Deferred Class = "deferred"
)

// Request is one request of a caller on its way through the chain. The
// caller's key is not part of it: the server replaces it by its digest.
type Request struct {
	// Arrived is when the request's header was read.
	Arrived time.Time
	// Identity is the caller's idempotency key, or a new UUID.
	Identity string
	// IdentityGiven says that the caller chose the identity.
	IdentityGiven bool
	Class         Class
	// Deadline is when the request must have been served or refused. For a
	// generation it is the latest time of the first token.
	Deadline time.Time
	// Timeout is the deadline that the caller asked for, from Arrived; 0
	// means the class's default.
	Timeout time.Duration
	// KeyDigest is the SHA-256 digest of the key in hexadecimal, empty
	// without a key.
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
	// Workspace is empty on open routes without a key.
	Workspace string
	// GrantID identifies the grant that the key belongs to.
	GrantID string
	// Reservation holds the tokens of the request.
	Reservation Reservation
	// Operation is a UUID of a non-idempotent call's intent.
	Operation string
	// Slot is the place at an endpoint.
	Slot Slot
}

// Work is what the caller asks for: Generation, Call or *Forward.
type Work interface{ isWork() }

// Generation asks a model for text.
type Generation struct {
	// Model is the caller's name for a model or an adapter.
	Model string
	// Prompt is the conversation as one text.
	Prompt string
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens int
	// Emit passes an event to the caller. It runs on the request's
	// goroutine, and an error means that the caller is gone.
	Emit func(Event) error
}

// Call is a call of a plain service.
type Call struct {
	Service     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// Forward is a request of any method that goes to a replica byte for byte.
type Forward struct {
	// Attempt is the caller's identity of this request, which the replica
	// echoes.
	Attempt string
	Method  string
	// Target is the request target as it was received, and Path its path.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Model and Adapter are empty for requests that run no model.
	Model, Adapter string
	// PromptTokens and OutputTokens are the caller's count of prompt tokens
	// and bound of output tokens, 0 without one.
	PromptTokens, OutputTokens int
	// Affinity names the last shared part of a long prompt prefix.
	Affinity string
	// LastEventID is the ID of the last event that the caller has, empty at the
	// start of a stream.
	LastEventID string
	// Writer receives the answer.
	Writer Writer

	// Route, Service and Workspace are set by filters.
	Route     resolver.Route
	Service   string
	Workspace resolver.Workspace
}

// Writer writes an answer to the caller. An error means that the caller is
// gone.
type Writer interface {
	// Begin sends the status and the header of an answer whose body follows.
	Begin(status int, header http.Header) error
	// Write sends a part of the body without delay.
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
	// MoreReady says that the next token has arrived too, so that this one need
	// not be sent to the caller alone.
	MoreReady bool
}

// Finish ends an answer.
type Finish struct {
	PromptTokens     int
	CompletionTokens int
	// Reason is "stop" or "length".
	Reason string
	// HedgeEndpoint names the endpoint that answered if it is not the attempt's own.
	HedgeEndpoint string
}

// KeepAlive shows the caller that the connection is alive.
type KeepAlive struct{}

func (Token) isEvent()     {}
func (Finish) isEvent()    {}
func (KeepAlive) isEvent() {}

// Slot is a place at an endpoint that the scheduler gave to a request.
type Slot struct {
	// ID identifies the slot at the scheduler; 0 means no slot.
	ID uint64
	// Endpoint is the name of the endpoint's instance.
	Endpoint string
	// Address is "IP:port" of the endpoint.
	Address string
	// Priority is passed to the endpoint; lower runs first.
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
	// Replayed says that the answer is the recorded outcome of an earlier
	// request with the same identity.
	Replayed bool
}
