package screener

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// AttemptBroke reports an attempt that its replica broke off before the first event
// of the answer. See Break.
type AttemptBroke struct {
	Request     string
	Fingerprint string `json:",omitempty"`
	Service     string `json:",omitempty"`
	Replica     Process
	Parts       []string
	// HeadReceived is set if the replica had sent the head of its answer.
	HeadReceived bool
	SentAt       time.Time
}

// AnswerBegun reports that a replica has begun to answer a request with the given traits.
type AnswerBegun struct {
	Traits  []Trait
	Replica Process   `json:",omitzero"`
	SentAt  time.Time `json:",omitzero"`
}

// StateReceived is what a holder has published. Tenure identifies the holder and the
// time for which it has collected evidence.
type StateReceived struct {
	Tenure    uint64 `json:",omitempty"`
	Published Published
}

// RecordsRead is what the platform's store lists at the start of the node. It is empty if the
// store has not answered in time, and comes again when it has.
type RecordsRead struct{ Records []Record }

// Collect requests the node's report.
type Collect struct{ Call runner.Call }

func (Tick) isMessage()          {}
func (AttemptBroke) isMessage()  {}
func (AnswerBegun) isMessage()   {}
func (StateReceived) isMessage() {}
func (RecordsRead) isMessage()   {}
func (Collect) isMessage()       {}

// Effect is an output of Controller: Publish, Restored, AnswerCollect or Note.
type Effect interface{ isEffect() }

// Publish replaces the view that requests read.
type Publish struct{ View *View }

// Restored reports that requests need not wait for the records of the store any more.
type Restored struct{}

// AnswerCollect answers a Collect.
type AnswerCollect struct {
	Call   runner.Call
	Report Report
}

// Note is a log entry: a quarantine began or ended at this node.
type Note struct {
	Text      string
	Trait     Trait `json:"Part"`
	Remaining time.Duration
}

func (Publish) isEffect()       {}
func (Restored) isEffect()      {}
func (AnswerCollect) isEffect() {}
func (Note) isEffect()          {}

// View is what requests read of a node's state. It is never modified.
type View struct {
	Suspects map[Trait]bool
	// Quarantines holds the end of each quarantine by trait.
	Quarantines map[Trait]time.Time
	// Held holds the traits that are refused until HeldUntil. The value is set if this node
	// may send one request at a time.
	HeldUntil time.Time      `json:",omitzero"`
	Held      map[Trait]bool `json:",omitempty"`
	// Restored holds the requests that the platform's store lists as suspect and that are
	// refused until the given times.
	Restored map[Trait]time.Time `json:",omitempty"`
	// Broken holds the replicas that broke off attempts of this node a short time ago.
	Broken map[Process]bool `json:"-"`
	// ScreensRequests is set if a whole request is suspect or quarantined.
	ScreensRequests bool `json:",omitempty"`
}

// quarantined returns the first trait of the request that is quarantined or held and the
// remaining time, or "". If mayProbe is set, the request may be sent all the same to find
// out whether replicas crash on it.
func (v *View) quarantined(now time.Time, subject Subject) (trait Trait, remaining time.Duration, mayProbe bool) {
	if len(v.Quarantines) == 0 && len(v.Held) == 0 && len(v.Restored) == 0 {
		return "", 0, false
	}
	for _, trait := range v.traits(subject) {
		if remaining := v.Quarantines[trait].Sub(now); remaining > 0 {
			return trait, remaining, false
		}
		if mayProbe, held := v.Held[trait]; held && now.Before(v.HeldUntil) {
			return trait, v.HeldUntil.Sub(now), mayProbe
		}
		if remaining := v.Restored[trait].Sub(now); remaining > 0 {
			// The holder decides soon.
			return trait, min(remaining, holdTime), false
		}
	}
	return "", 0, false
}

// isSuspect reports whether the whole request is suspect.
func (v *View) isSuspect(subject Subject) bool {
	return v.ScreensRequests && v.Suspects[RequestTrait(subject.Fingerprint())]
}

// traits returns the traits of a request that can be suspect or quarantined.
func (v *View) traits(subject Subject) []Trait {
	if !v.ScreensRequests {
		return subject.Parts
	}
	return appendTrait(subject.Parts, subject.Fingerprint())
}

// hasSuspect reports whether one of the traits is suspect.
func (v *View) hasSuspect(traits []Trait) bool {
	for _, trait := range traits {
		if v.Suspects[trait] {
			return true
		}
	}
	return false
}
