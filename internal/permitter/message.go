package permitter

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// Permit identifies a permit for one request at one start of a replica.
type Permit struct {
	ID        string
	Replica   string
	StartedMS int64
}

// Request describes a request that needs a permit.
type Request struct {
	Permit Permit
	Node   string
	// Capacity is the number of requests that the replica may run, and Active the number
	// of those that the node knows of.
	Capacity, Active int
	// CountActive is set if other nodes send requests to the replica without a permit of the
	// same granter, so that Active must be counted as well. It is not sent to other nodes.
	CountActive bool `json:",omitempty"`
	// MaxRefusals is the number of requests that the replica can turn away in a second.
	MaxRefusals int `json:",omitempty"`
	// TTL is the time after which the permit expires if it is not released.
	TTL time.Duration
}

// Acquire requests a permit.
type Acquire struct {
	Call    runner.Call
	Request Request
}

// Release returns a permit.
type Release struct {
	Permit Permit
	// Linger is the time for which the replica may still run the request.
	Linger time.Duration `json:",omitempty"`
	// Refused is set if the replica turned the request away although it had a permit.
	Refused bool `json:",omitempty"`
}

// ForwardRelease returns a permit to the node at an address.
type ForwardRelease struct {
	Address string
	Release Release
}

// ReleaseForwarded is the outcome of a SendRelease.
type ReleaseForwarded struct {
	Sent   SendRelease
	Failed bool `json:",omitempty"`
}

func (Tick) isMessage()             {}
func (Acquire) isMessage()          {}
func (Release) isMessage()          {}
func (ForwardRelease) isMessage()   {}
func (ReleaseForwarded) isMessage() {}

// Effect is an output of Controller: AnswerAcquire, SendRelease or Note.
type Effect interface{ isEffect() }

// AnswerAcquire answers an Acquire.
type AnswerAcquire struct {
	Call     runner.Call
	Decision Decision
}

// Decision is the answer to a request for a permit.
type Decision struct {
	Granted bool
	// RetryAfter is the time after which the node may ask again.
	RetryAfter time.Duration `json:",omitempty"`
}

// SendRelease sends a release to the node at an address. Attempts counts the earlier ones.
type SendRelease struct {
	Address  string
	Release  Release
	Attempts int `json:",omitempty"`
}

// Note is a log entry: a replica turned away a request that had a permit.
type Note struct {
	Text    string
	Replica string
	// Limit is the number of requests that the replica is believed to take.
	Limit int
}

func (AnswerAcquire) isEffect() {}
func (SendRelease) isEffect()   {}
func (Note) isEffect()          {}
