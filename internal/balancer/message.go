package balancer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// SetReplicas replaces the replicas that requests may be sent to.
type SetReplicas struct{ Replicas []surveyor.Replica }

// SetPeerState sets the state reported by the other nodes, as collected by the
// holder.
type SetPeerState struct {
	// Active counts the running requests of the other nodes, by replica.
	Active map[string]int
	// Suspects are the replicas that fail requests of the other nodes.
	Suspects []string
	// RateLimits holds the limits of replicas, or planner.NoLimit, as far as the holder
	// knows them.
	RateLimits map[string]float64 `json:",omitempty"`
	// Brittle holds the brittle replicas, as far as RateLimits knows the replicas.
	Brittle map[string]Brittleness `json:",omitempty"`
	// BrittleUnknown is set if the holder does not recognize brittle replicas.
	BrittleUnknown bool `json:",omitempty"`
	// Closed holds the replicas that want no requests of a node, with the longest of the
	// remaining times.
	Closed map[string]time.Duration `json:",omitempty"`
	// OrdersAllowedIn is the time until the holder may order loads, 0 if it may
	// now.
	OrdersAllowedIn time.Duration
	// Speeds and Paces are what all nodes have measured of replicas and models, as far as
	// it has changed.
	Speeds []estimator.PublishedSpeed `json:",omitempty"`
	Paces  []estimator.PublishedPace  `json:",omitempty"`
	// Cached are the parts of prompts that replicas keep, as far as it has changed, the
	// newest changes first.
	Cached []cacher.Change `json:",omitempty"`
}

// CacheEvents reports what a replica has announced of its cache. Gap is set if changes before
// Events are not known.
type CacheEvents struct {
	Replica   string
	StartedMS int64
	Gap       bool           `json:",omitempty"`
	Events    []cacher.Event `json:",omitempty"`
}

// SetModels sets the sizes of the models in MB, by service.
type SetModels struct {
	Sizes map[string]map[string]float64
	// CacheTokens is how many tokens a replica keeps, by service. Services whose replicas
	// do not report what they keep are left out.
	CacheTokens map[string]int `json:",omitempty"`
}

// Place requests a replica.
type Place struct {
	Call runner.Call
	Need Need
}

// Cancel cancels a Place whose caller has gone. If a replica was already
// assigned, the placement is released.
type Cancel struct{ Call runner.Call }

// AnswerBegun reports the first event of a stream.
type AnswerBegun struct {
	// PlacementID identifies the placement.
	PlacementID runner.Call
	// FirstEvent is the time from sending the request to the first event.
	FirstEvent time.Duration
}

// AnswerProgressed reports some events after the first one, because streams go on long after
// their intervals show the replica's speed.
type AnswerProgressed struct {
	// PlacementID identifies the placement.
	PlacementID runner.Call
	// Elapsed is the time from sending the request to the last of Events.
	Elapsed time.Duration
	Events  int
}

// AttemptEnded reports the result of an attempt at a replica.
type AttemptEnded struct {
	// PlacementID identifies the placement.
	PlacementID runner.Call
	Result      Result
	// FirstByte is the time to the first event of a stream or to the first byte of another
	// answer. It is 0 if it shows nothing about the replica's speed.
	FirstByte time.Duration
	// RetryAfter is the time after which a permit may be requested again if the result is
	// NotPermitted.
	RetryAfter time.Duration `json:",omitempty"`
	// Duration is the time to the end of the answer, and Events the number of events, 0 if
	// they are not known.
	Duration time.Duration `json:",omitempty"`
	Events   int           `json:",omitempty"`
}

// NoticeReceived reports what an answer to this node has announced about its replica, also that
// it has announced nothing.
type NoticeReceived struct {
	// PlacementID is that of the attempt. Accepted is set unless the answer refuses it.
	PlacementID runner.Call `json:",omitempty"`
	Accepted    bool        `json:",omitempty"`
	Replica     string
	StartedMS   int64
	// RateLimit is the requests a second that the replica takes from all nodes together,
	// 0 if it has named none.
	RateLimit float64 `json:"Rate"`
	Brittleness
	// Leaving is set if the replica leaves, and RetryAfter is the time for which it wants
	// no requests of this node.
	Leaving    bool          `json:",omitempty"`
	RetryAfter time.Duration `json:",omitempty"`
}

// SetBeginning replaces the software versions that may begin streams, by service, and the
// assignments of models. Streams of other services begin at any version, and those of other
// models at any that may begin streams.
type SetBeginning struct {
	Versions    map[string][]string
	Assignments []resumer.Assignment `json:",omitempty"`
}

// UsageUpdate reports the requests that the other nodes have sent to replicas with
// limits.
type UsageUpdate struct{ Usage rationer.UsageUpdate }

// Leave reports that the node shuts down: no request waits beyond Until.
type Leave struct{ Until time.Time }

// Collect requests the node's part of a report to the holder.
type Collect struct{ Call runner.Call }

func (Tick) isMessage()             {}
func (SetReplicas) isMessage()      {}
func (SetPeerState) isMessage()     {}
func (Place) isMessage()            {}
func (Cancel) isMessage()           {}
func (AnswerBegun) isMessage()      {}
func (AnswerProgressed) isMessage() {}
func (AttemptEnded) isMessage()     {}
func (SetModels) isMessage()        {}
func (NoticeReceived) isMessage()   {}
func (SetBeginning) isMessage()     {}
func (UsageUpdate) isMessage()      {}
func (Leave) isMessage()            {}
func (Collect) isMessage()          {}
func (CacheEvents) isMessage()      {}

// Need describes a request and its requirements for a replica.
type Need struct {
	Service string
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// Stream is set for a stream that may be resumed, and Continued for the rest of one,
	// which must come from a replica with the software version Version.
	Stream    bool   `json:",omitempty"`
	Continued bool   `json:",omitempty"`
	Version   string `json:",omitempty"`
	// StreamKey determines the software version at which a stream begins that is assigned to
	// one. AssignedTo is set by the controller: the version of a stream that begins, nil if it
	// may begin at any.
	StreamKey  string  `json:",omitempty"`
	AssignedTo *string `json:",omitempty"`
	// DataCentres are the sorted data centres whose replicas may run the request, empty for
	// all.
	DataCentres []string `json:",omitempty"`
	// Tokens is the size of the request, 0 for plain services.
	Tokens int
	// PromptTokens is the length of the prompt, and OutputTokens the expected length of
	// the answer. Whole is set if the answer is not a stream.
	PromptTokens, OutputTokens int  `json:",omitempty"`
	Whole                      bool `json:",omitempty"`
	// Rank is the urgency of the request; 0 is the most urgent. Workspace is empty for
	// public routes, whose requests share the place of one workspace.
	Rank      int    `json:",omitempty"`
	Workspace string `json:",omitempty"`
	// Cost is what the request is charged in the order of the waiting ones, in tokens. If
	// it is 0, the size is charged.
	Cost int `json:",omitempty"`
	// Parts is the beginning of the prompt, in order. The last Parts beyond SharedParts
	// belong to the request or to its session.
	Parts       []cacher.Part `json:",omitempty"`
	SharedParts int           `json:",omitempty"`
	// LateAt is when the request becomes late.
	LateAt time.Time
	// GiveUpAt is when the request is refused if no replica has been assigned
	// to it.
	GiveUpAt time.Time
	// Deadline is when the caller stops waiting for the answer, zero if that is not known.
	Deadline time.Time `json:",omitzero"`
	// Excluded are the replicas that have failed the request. They are avoided for
	// avoidanceTimeout.
	Excluded []string
	// Replaced is the replica that has the request and is silent, "" for none. It is never
	// chosen, because it may still go on.
	Replaced string `json:",omitempty"`
}

// Result classifies an attempt by what it shows about the replica.
type Result string

// The results of attempts.
const (
	// Answered attempts received a complete answer, whatever its status.
	Answered Result = "answered"
	// Refused attempts were not run because the replica was full or leaving.
	Refused Result = "refused"
	// ModelMissing attempts were not run because the replica did not have the
	// model.
	ModelMissing Result = "missing"
	// Failed attempts ended without a complete answer.
	Failed Result = "failed"
	// TimedOut attempts received no answer, or no further part of it, for too
	// long.
	TimedOut Result = "silent"
	// ServerError attempts were answered with a server error.
	ServerError Result = "erred"
	// NotPermitted attempts were not sent because there was no permit.
	NotPermitted Result = "not permitted"
	// Abandoned attempts were ended by the caller.
	Abandoned Result = "abandoned"
)

// Effect is an output of Controller: AnswerPlace, NewDemand, AnswerCollect, AnswerExplain or
// Note.
type Effect interface{ isEffect() }

// AnswerPlace answers a Place.
type AnswerPlace struct {
	Call      runner.Call
	Placement Placement
}

// Placement is the assignment of a request to a replica, or its refusal.
type Placement struct {
	// ID identifies the placement in AttemptEnded.
	ID      runner.Call
	Replica string
	Address string
	// StartedMS is the start of the replica's process in Unix milliseconds.
	StartedMS int64 `json:",omitempty"`
	// Version is that of the replica's software.
	Version string `json:",omitempty"`
	// Limited is set if the replica has named a limit or is brittle. Its answer must be
	// reported also if it names nothing any more.
	Limited bool `json:",omitempty"`
	// Permit is the permit that the request needs before it is sent, nil for none.
	Permit *PermitNeed `json:",omitempty"`
	// Returning is set for one of the first requests after a time for which the replica
	// wanted none. The head of its answer must be reported.
	Returning bool `json:",omitempty"`
	// Refused is set if no replica was assigned.
	Refused *Refusal
	// Expected is the estimated time to the first event, 0 if no answer of the service was
	// observed yet, and ExpectedEnd that to the end.
	Expected    time.Duration
	ExpectedEnd time.Duration `json:",omitempty"`
	// Candidates is the number of replicas that were eligible.
	Candidates int
	// Cached is the number of tokens of the prompt that the replica is believed to keep.
	Cached int `json:",omitempty"`
	// Waited is how long the request waited for the replica.
	Waited time.Duration
	// SendBy is the time after which the placement must not be used and a new one is
	// needed: the replica may have become cold. It is zero if that does not matter.
	SendBy time.Time `json:",omitzero"`
}

// Refusal is the reason why no replica was assigned to a request.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// Evacuated is set if only replicas in evacuated data centres are left.
	Evacuated bool `json:",omitempty"`

	// spread is the longest random time that refusalFor adds to RetryAfter.
	spread time.Duration
}

// NewDemand signals that a request waits for a model or adapter that is not
// being loaded. The holder should be informed of it at once.
type NewDemand struct{}

// AnswerCollect answers a Collect.
type AnswerCollect struct {
	Call    runner.Call
	Running []planner.Running
	Demands []planner.Demand
	Uses    []planner.Use
	// Suspects are the replicas that failed this node's requests recently.
	Suspects []string
	// RateLimits are the limits that answers to this node named and that the holder
	// has not published, and Sent the requests sent to replicas with limits.
	RateLimits []planner.RateLimit `json:",omitempty"`
	Sent       []planner.Spent     `json:",omitempty"`
	// Notices are the replicas whose answers to this node announced that they leave or
	// want no requests for a time.
	Notices []planner.Notice `json:",omitempty"`
	// Speeds and Paces are what this node has measured since the last Collect.
	Speeds []estimator.SpeedSum `json:",omitempty"`
	Paces  []estimator.PaceSum  `json:",omitempty"`
	// Cached are the changes of what replicas keep.
	Cached []cacher.Change `json:",omitempty"`
}

// Note is a log entry: a replica became suspect or is trusted again.
type Note struct {
	Text     string
	Replica  string
	Result   Result
	Failures float64
	// MaxRefusals is the number of requests that a brittle replica can turn away in a second.
	MaxRefusals int `json:",omitempty"`
	// RateLimit is the limit that the replica named, and Remaining the time for which it
	// wants no requests.
	RateLimit float64       `json:",omitempty"`
	Remaining time.Duration `json:",omitempty"`
	// Factor is by how much times at the replica are longer than the mean of its service.
	Factor float64 `json:",omitempty"`
	// Late is the time from the expected return of requests to the first accepted one.
	Late time.Duration `json:",omitempty"`
	// Source is why a replica is taken to be cold, ColdReplicas is the number of cold
	// replicas, and HeldBack how often requests were held back from the replica.
	Source       string `json:",omitempty"`
	ColdReplicas int    `json:",omitempty"`
	HeldBack     int    `json:",omitempty"`
}

func (Note) isEffect()          {}
func (AnswerPlace) isEffect()   {}
func (NewDemand) isEffect()     {}
func (AnswerCollect) isEffect() {}
