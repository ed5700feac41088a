package leaser

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick reports that the controller's wake time has come.
type Tick struct{}

// SetNodes replaces the set of nodes that may be candidates: those that are
// live and not suspected.
type SetNodes struct{ Names []string }

// Release ends this node's tenure and candidacy for a lease and leaves data for
// the next holder. The sender must have stopped acting on the lease.
type Release struct {
	Call runner.Call
	Name string
	Data []byte
}

// Resume makes this node a candidate again after a Release.
type Resume struct{ Name string }

// SetData requests that data be stored in a lease that this node holds. The
// next renewal, which becomes due immediately, writes the data, and Stored
// reports when the lease contains it. Data that is replaced before it is
// written is never stored.
type SetData struct {
	Name string
	Data []byte
}

// ReadDone is the result of a Read.
type ReadDone struct {
	Name string
	// Outcome is Done, Missing or Unavailable.
	Outcome Outcome
	// Era is the era of the object API, 0 if it is not known.
	Era     uint64 `json:",omitempty"`
	Version uint64
	Lease   Lease
}

// WriteDone is the result of a Write.
type WriteDone struct {
	Name string
	// Outcome is Done, Conflict, Unavailable or Uncertain.
	Outcome Outcome
	// Era is that in which a write with the outcome Done took effect.
	Era     uint64 `json:",omitempty"`
	Version uint64
}

func (Tick) isMessage()      {}
func (SetNodes) isMessage()  {}
func (Release) isMessage()   {}
func (Resume) isMessage()    {}
func (SetData) isMessage()   {}
func (ReadDone) isMessage()  {}
func (WriteDone) isMessage() {}

// Outcome is the outcome of a call of the object API.
type Outcome string

// The outcomes of calls.
const (
	// Done means that the call took effect.
	Done Outcome = "Done"
	// Missing means that the object does not exist.
	Missing Outcome = "Missing"
	// Conflict means that the object has another version, so the write had no
	// effect.
	Conflict Outcome = "Conflict"
	// Unavailable means that the call had no effect.
	Unavailable Outcome = "Unavailable"
	// Uncertain means that the write may have taken effect or may still do so.
	Uncertain Outcome = "Uncertain"
)

// Effect is an output of Controller: Read, Write, Held, Lost, Stored, Observed
// or AnswerRelease.
type Effect interface{ isEffect() }

// Read reads the lease object and results in a ReadDone.
type Read struct{ Name string }

// Write writes the lease object if its version is IfVersion and results in a
// WriteDone.
type Write struct {
	Name      string
	Purpose   Purpose
	IfVersion uint64
	Lease     Lease
}

// AnswerRelease answers a Release. Released reports that the next holder need
// not wait for the lease to expire.
type AnswerRelease struct {
	Call     runner.Call
	Released bool
}

func (Read) isEffect()          {}
func (Write) isEffect()         {}
func (Held) isEffect()          {}
func (Lost) isEffect()          {}
func (Stored) isEffect()        {}
func (Observed) isEffect()      {}
func (AnswerRelease) isEffect() {}

// Purpose is the reason for a write.
type Purpose string

// The purposes of writes.
const (
	Renewal  Purpose = "Renewal"
	Takeover Purpose = "Takeover"
	Handover Purpose = "Handover"
)

// earlier returns the earlier of two times, where the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
