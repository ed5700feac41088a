package cacher

import "time"

// Message is an input of Reader.
type Message interface{ isMessage() }

// Tick is delivered at the reader's wake time.
type Tick struct{}

// SetReplicas replaces the replicas that report what they keep.
type SetReplicas struct{ Replicas []Target }

// Target is one start of a replica.
type Target struct {
	Replica   string
	StartedMS int64
	Address   string
}

// SetNodes replaces the nodes that share the replicas among them, by their addresses for
// callers.
type SetNodes struct{ Nodes []string }

// EventsRead is the result of a ReadEvents.
type EventsRead struct {
	Target Target
	// Failed is set if there is no answer, and Refused if the replica takes no such call
	// now.
	Failed, Refused bool `json:",omitempty"`
	Answer          Events
}

// Events is a replica's answer: what has changed in its cache.
type Events struct {
	// Epoch is another one after a restart of the replica.
	Epoch string
	// Next is the number from which the next call goes on.
	Next string
	// Lost is set if changes before Changes are no longer known.
	Lost    bool    `json:",omitempty"`
	Changes []Event `json:",omitempty"`
}

// Event reports that a replica keeps a part, or no longer does if Tokens is 0. Without an Adapter
// it may be about any adapter of the model.
type Event struct {
	Model   string
	Adapter string `json:",omitempty"`
	ID      string
	Tokens  int `json:",omitempty"`
}

func (Tick) isMessage()        {}
func (SetReplicas) isMessage() {}
func (SetNodes) isMessage()    {}
func (EventsRead) isMessage()  {}

// Effect is an output of Reader: ReadEvents, Observed or Note.
type Effect interface{ isEffect() }

// ReadEvents calls a replica and results in an EventsRead message. The replica answers at the
// next change or after Wait.
type ReadEvents struct {
	Target Target
	Since  string
	Wait   time.Duration
}

// Observed publishes what a replica has reported. Gap is set if changes before Events are not
// known.
type Observed struct {
	Target Target
	Gap    bool    `json:",omitempty"`
	Events []Event `json:",omitempty"`
}

// Note is a log entry.
type Note struct {
	Text    string
	Replica string
}

func (ReadEvents) isEffect() {}
func (Observed) isEffect()   {}
func (Note) isEffect()       {}
