package acceptor

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Reason is why a connection was refused or closed. It is a label of metrics.
type Reason string

const (
	// HeadTooLong and HeadTooSlow are heads that exceed the limits of the configuration.
	HeadTooLong Reason = "head too long"
	HeadTooSlow Reason = "head too slow"
	// ReadsTooSlowly is a client that does not take the bytes of an answer.
	ReadsTooSlowly Reason = "reads too slowly"
	// Idle is a connection without a request for longer than the configuration allows.
	Idle Reason = "idle"
	// NoMemory is a head for which the budget has no room.
	NoMemory Reason = "no memory for the head"
	// MemoryScarce and ConnectionsScarce are connections that made room for others.
	MemoryScarce      Reason = "memory scarce"
	ConnectionsScarce Reason = "connections scarce"
	// Full is a new connection for which no other could be closed.
	Full Reason = "no connection could be closed"
	// AcceptFailed is a connection that the system could not open.
	AcceptFailed Reason = "accept failed"
)

// Connection is what is known of a connection at one moment.
type Connection struct {
	ID uint64
	// Address is the IP address of the client.
	Address string
	// Delivered is the number of bytes of its whole requests.
	Delivered int64
	// Waiting is the time since its last request ended, or since it was opened.
	Waiting time.Duration
	// Held is the memory in bytes that its head takes, and Received the number of bytes of
	// the request that has not ended.
	Held, Received int64
	// Whole reports whether a whole request is in progress.
	Whole bool
}

// Message is a message to the controller: Crowded, Short, Refused or Tick.
type Message interface{ isMessage() }

// Crowded asks for room for a new connection, and is answered with whether it is accepted.
type Crowded struct {
	Call runner.Call
	// Address is that of the new connection.
	Address     string
	Connections []Connection
}

// Short reports that heads, or bodies, hold most of the memory that they may take.
type Short struct {
	Bodies bool
	// Excess is the memory in bytes that is to be freed.
	Excess      int64
	Connections []Connection
}

// Refused reports that a connection was refused or closed.
type Refused struct {
	Reason  Reason
	Address string
}

// Tick is delivered at the wake time.
type Tick struct{}

func (Crowded) isMessage() {}
func (Short) isMessage()   {}
func (Refused) isMessage() {}
func (Tick) isMessage()    {}

// Effect is what the task carries out: Close, Admit, SetFull or Note.
type Effect interface{ isEffect() }

// Close closes a connection, unless it has a whole request in progress by then.
type Close struct {
	ID     uint64
	Reason Reason
}

// Admit answers Crowded.
type Admit struct {
	Call runner.Call
	// Accepted is false if there is no room.
	Accepted bool
}

// SetFull sets the time until which the node counts as full.
type SetFull struct{ Until time.Time }

// Note is a line for the log: how many connections were refused or closed for a reason
// since the last line, and the address of one of them.
type Note struct {
	Reason  Reason
	Count   int
	Example string
}

func (Close) isEffect()   {}
func (Admit) isEffect()   {}
func (SetFull) isEffect() {}
func (Note) isEffect()    {}
