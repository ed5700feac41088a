package balancer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick says that the controller's wake time has come.
type Tick struct{}

// SetReplicas replaces the replicas to send to.
type SetReplicas struct{ Replicas []surveyor.Replica }

// SetOthers tells what the other nodes see.
type SetPeerState struct {
	// Active counts the requests that they run, by replica.
	Active map[string]int
	// Suspects are the replicas that fail their requests.
	Suspects []string
	// OrdersIn is the time until the holder may order loads, 0 if it may now.
	OrdersAllowedIn time.Duration
}

// Place asks for a replica.
type Place struct {
	Call runner.Call
	Need Need
}

// Withdraw says that the asker has gone. A replica that was granted to it is
// given back.
type Cancel struct{ Call runner.Call }

// Ended says how an attempt at a replica ended.
type AttemptEnded struct {
	// Ticket is that of the placement.
	PlacementID runner.Call
	Result      Result
	// FirstByte is the time to the first byte of the answer, 0 without one.
	FirstByte time.Duration
}

// Leave says that the node leaves: no request waits longer than until a time.
type Leave struct{ Until time.Time }

// Collect asks for the node's part of a report to the holder.
type Collect struct{ Call runner.Call }

func (Tick) isMessage()         {}
func (SetReplicas) isMessage()  {}
func (SetPeerState) isMessage() {}
func (Place) isMessage()        {}
func (Cancel) isMessage()       {}
func (AttemptEnded) isMessage() {}
func (Leave) isMessage()        {}
func (Collect) isMessage()      {}

// Need is what a request needs of a replica.
type Need struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// Tokens is the size of the request, 0 for plain services.
	Tokens int
	// Affinity is equal for requests that share a long prompt prefix.
	Affinity string
	// InTimeUntil is when the request becomes late.
	LateAt time.Time
	// GiveUpAt is when the request is refused if it has no replica.
	GiveUpAt time.Time
	// Excluded are the replicas that have failed the request.
	Excluded []string
}

// Result says what an attempt showed of its replica.
type Result string

// The results of attempts.
const (
	// Answered attempts had a whole answer, whatever its status.
	Answered Result = "answered"
	// Refused attempts were not run by a replica that was full or leaving.
	Refused Result = "refused"
	// Missing attempts were not run because the model was not there.
	ModelMissing Result = "missing"
	// Failed attempts ended without a whole answer.
	Failed Result = "failed"
	// Silent attempts had no answer, or none that went on, for too long.
	TimedOut Result = "silent"
	// Erred attempts were answered with a server error.
	ServerError Result = "erred"
	// Abandoned attempts were ended by the caller.
	Abandoned Result = "abandoned"
)

// Effect is an output of Controller: Grant, Demanded, AnswerCollect or Note.
type Effect interface{ isEffect() }

// Grant answers a Place.
type Grant struct {
	Call      runner.Call
	Placement Placement
}

// Placement is a place at a replica.
type Placement struct {
	// Ticket identifies the placement when it ends.
	ID      runner.Call
	Replica string
	Address string
	// Refused is set if there is none.
	Refused *Refusal
	// Expected is the usual time to the first byte, 0 if unknown.
	Expected time.Duration
	// Candidates is the number of replicas that could have been chosen.
	Candidates int
	// Waited is how long the request waited for the replica.
	Waited time.Duration
}

// Refusal says why a request got no replica.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Demanded says that requests wait for something that the holder does not
// know of yet.
type NewDemand struct{}

// AnswerCollect answers a Collect.
type AnswerCollect struct {
	Call    runner.Call
	Running []planner.Running
	Demands []planner.Demand
	Uses    []planner.Use
	// Suspects are the replicas that failed requests lately.
	Suspects []string
}

// Note is a change of a belief, for the log.
type Note struct {
	Text     string
	Replica  string
	Result   Result
	Failures float64
}

func (Note) isEffect()          {}
func (Grant) isEffect()         {}
func (NewDemand) isEffect()     {}
func (AnswerCollect) isEffect() {}
