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
	Request string
	Replica Process
	Parts   []string
	// HeadReceived is set if the replica had sent the head of its answer.
	HeadReceived bool
	SentAt       time.Time
}

// AnswerBegun reports that the answer to a request with the given parts has begun.
type AnswerBegun struct{ Parts []string }

// StateReceived is what the holder has published.
type StateReceived struct{ Published Published }

// Collect requests the node's report.
type Collect struct{ Call runner.Call }

func (Tick) isMessage()          {}
func (AttemptBroke) isMessage()  {}
func (AnswerBegun) isMessage()   {}
func (StateReceived) isMessage() {}
func (Collect) isMessage()       {}

// Effect is an output of Controller: Publish, AnswerCollect or Note.
type Effect interface{ isEffect() }

// Publish replaces the view that requests read.
type Publish struct{ View *View }

// AnswerCollect answers a Collect.
type AnswerCollect struct {
	Call   runner.Call
	Report Report
}

// Note is a log entry: a quarantine began or ended at this node.
type Note struct {
	Text      string
	Part      string
	Remaining time.Duration
}

func (Publish) isEffect()       {}
func (AnswerCollect) isEffect() {}
func (Note) isEffect()          {}

// View is what requests read of a node's state. It is never modified.
type View struct {
	Suspects map[string]bool
	// Quarantines holds the end of each quarantine by part.
	Quarantines map[string]time.Time
}

// Quarantined returns the first of the parts that is quarantined and the remaining
// time, or "".
func (v *View) Quarantined(now time.Time, parts []string) (string, time.Duration) {
	for _, part := range parts {
		if remaining := v.Quarantines[part].Sub(now); remaining > 0 {
			return part, remaining
		}
	}
	return "", 0
}

// hasSuspect reports whether one of the parts is suspect.
func (v *View) hasSuspect(parts []string) bool {
	for _, part := range parts {
		if v.Suspects[part] {
			return true
		}
	}
	return false
}
