package archiver

import "toucanhitch.example/toucanhitch/internal/screener"

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// ConfigurationKnown reports that the node could forward requests.
type ConfigurationKnown struct{}

// SetRecords sets what the store is to contain. Tenure identifies the time in which this node
// decides about quarantines; 0 means that it does not. Only a record that was set before in the
// same tenure and is not set any more is removed from the store.
type SetRecords struct {
	Tenure  uint64            `json:",omitempty"`
	Records []screener.Record `json:",omitempty"`
}

// StoreRestored reports that the store has come back from an older copy.
type StoreRestored struct{}

// ReadEnded is the result of a Read.
type ReadEnded struct {
	Failed  bool              `json:",omitempty"`
	Records []screener.Record `json:",omitempty"`
}

// WriteEnded is the result of a Write or, if Removed is set, of a Remove. Tenure, Restorations
// and Quarantined are those of the effect, and Revision is that of the record in the store.
type WriteEnded struct {
	Trait        screener.Trait
	Tenure       uint64
	Restorations int    `json:",omitempty"`
	Failed       bool   `json:",omitempty"`
	Removed      bool   `json:",omitempty"`
	Quarantined  bool   `json:",omitempty"`
	Revision     uint64 `json:",omitempty"`
}

func (Tick) isMessage()               {}
func (ConfigurationKnown) isMessage() {}
func (SetRecords) isMessage()         {}
func (StoreRestored) isMessage()      {}
func (ReadEnded) isMessage()          {}
func (WriteEnded) isMessage()         {}

// Effect is an output of Controller: Read, Write, Remove, Publish or Note.
type Effect interface{ isEffect() }

// Read reads all records. Its result is a ReadEnded.
type Read struct{}

// Write creates or replaces a record. Its result is a WriteEnded.
type Write struct {
	Record       screener.Record
	Tenure       uint64
	Restorations int `json:",omitempty"`
}

// Remove removes the record of a trait if it has the revision, or any revision if that is 0.
// Its result is a WriteEnded.
type Remove struct {
	Trait        screener.Trait
	Revision     uint64 `json:",omitempty"`
	Tenure       uint64
	Restorations int `json:",omitempty"`
}

// Publish passes on the records at the start of the node, or none if the store has not answered
// in time. In that case another Publish follows as soon as it does.
type Publish struct {
	Records []screener.Record `json:",omitempty"`
}

// Note is a log entry.
type Note struct {
	Text  string
	Trait screener.Trait `json:",omitempty"`
}

func (Read) isEffect()    {}
func (Write) isEffect()   {}
func (Remove) isEffect()  {}
func (Publish) isEffect() {}
func (Note) isEffect()    {}
