package rationer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// Take requests units of a workspace's limit.
type Take struct {
	Call      runner.Call
	Workspace resolver.Workspace
	Units     float64
	// WaitUntil is how long the request may wait for units. If it is zero, the request is
	// answered at once.
	WaitUntil time.Time `json:",omitzero"`
	// Rank and Deadline order the waiting requests of a workspace: the lowest rank first,
	// then the earliest deadline.
	Rank     int       `json:",omitempty"`
	Deadline time.Time `json:",omitzero"`
}

// CancelTake cancels a Take whose caller has gone.
type CancelTake struct{ Call runner.Call }

// UsageUpdate reports the other nodes' usage since the holder received their
// first reports.
type UsageUpdate struct {
	// Epoch identifies the tenure of the holder or of the acting node. The counts
	// start again from zero with each epoch.
	Epoch uint64
	Spent []planner.Spent
	// LiveNodes is the number of nodes that report to the holder.
	LiveNodes int
	// Registered is the number of all nodes, including those that do not reach
	// the holder. Each of these continues with an equal share.
	Registered int
}

// SetNodes sets the number of registered nodes according to the store. It is
// ignored while a holder's reports are fresh.
type SetNodes struct{ Registered int }

// Collect requests this node's usage since its start.
type Collect struct{ Call runner.Call }

func (Tick) isMessage()        {}
func (Take) isMessage()        {}
func (CancelTake) isMessage()  {}
func (UsageUpdate) isMessage() {}
func (SetNodes) isMessage()    {}
func (Collect) isMessage()     {}

// Effect is an output of Controller: AnswerTake, AnswerCollect or AnswerInspect.
type Effect interface{ isEffect() }

// AnswerTake answers a Take.
type AnswerTake struct {
	Call     runner.Call
	Decision Decision
}

// Decision is the result of a Take.
type Decision struct {
	Taken bool
	// RetryAfter is the time until units are available again, at least minRetryAfter.
	RetryAfter time.Duration
	// Waited is the time for which the request waited for units.
	Waited time.Duration `json:",omitempty"`
	// Level is the number of units that were left before the request, and Age
	// the time since the last report of the other nodes' usage.
	Level float64
	Age   time.Duration
}

// AnswerCollect answers a Collect.
type AnswerCollect struct {
	Call  runner.Call
	Spent []planner.Spent
	// Epoch is that of the baselines.
	Epoch uint64
}

func (AnswerTake) isEffect()    {}
func (AnswerCollect) isEffect() {}
