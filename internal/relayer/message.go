package relayer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Replica is a replica to which requests may be sent.
type Replica struct{ ID, Address, DataCentre string }

// Peer is another node, by its address for nodes.
type Peer struct{ Address, DataCentre string }

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// SetReplicas replaces the replicas to which requests may be sent.
type SetReplicas struct{ Replicas []Replica }

// SetPeers replaces the nodes that may relay. Self is not among them.
type SetPeers struct{ Peers []Peer }

// Reached reports a direct connection.
type Reached struct{ Address string }

// Relayed reports a connection through a peer. DirectFailed is set if a direct connect that
// was begun at StartedAt has failed or was still not done.
type Relayed struct {
	Address      string
	Peer         string
	DirectFailed bool      `json:",omitempty"`
	StartedAt    time.Time `json:",omitzero"`
}

// Unreachable reports that peers reach the replica no more than this node does.
type Unreachable struct{ Address string }

// PeerFailed reports a peer that did not relay, though the replica may be reachable.
type PeerFailed struct{ Peer string }

// Suspected reports that a replica is silent or could not be connected. QuietFor is the time
// since any replica sent something on a direct connection.
type Suspected struct {
	Address  string
	QuietFor time.Duration
	// Failed is set if a connect has failed.
	Failed bool `json:",omitempty"`
}

// ProbeDone reports the result of a Probe for one replica.
type ProbeDone struct {
	Address string
	Reached bool `json:",omitempty"`
}

// CheckDone reports that a Check has ended.
type CheckDone struct{}

// Choose asks for the peers through which to connect to a replica.
type Choose struct {
	Call    runner.Call
	Address string
}

func (Tick) isMessage()        {}
func (SetReplicas) isMessage() {}
func (SetPeers) isMessage()    {}
func (Reached) isMessage()     {}
func (Relayed) isMessage()     {}
func (Unreachable) isMessage() {}
func (PeerFailed) isMessage()  {}
func (Suspected) isMessage()   {}
func (ProbeDone) isMessage()   {}
func (CheckDone) isMessage()   {}
func (Choose) isMessage()      {}

// Effect is an output of Controller.
type Effect interface{ isEffect() }

// PublishRoutes replaces the routes by which connections are opened.
type PublishRoutes struct{ Routes Routes }

// Routes holds how replicas are reached. It is never modified once it is published.
type Routes struct {
	// Partitioned is set if no replica is reached directly.
	Partitioned bool `json:",omitempty"`
	// Relayed are the addresses of replicas that are not reached directly.
	Relayed map[string]bool `json:",omitempty"`
}

// CloseIdle closes the idle connections that are not of the current routes.
type CloseIdle struct{}

// Probe connects directly to a replica and results in a ProbeDone.
type Probe struct{ Address string }

// Check connects to a replica as requests do, which reports by itself how the replica is
// reached, and results in a CheckDone.
type Check struct{ Replica Replica }

// AnswerChoose answers a Choose. Peers are in the order in which to try them. There are none
// if the replica is known not to be reachable for peers either.
type AnswerChoose struct {
	Call  runner.Call
	Peers []string
}

// Note is a log entry.
type Note struct {
	Text string
	// Replicas are the addresses that are the evidence.
	Replicas []string `json:",omitempty"`
	// Lasted is how long the node was partitioned.
	Lasted time.Duration `json:",omitempty"`
}

func (PublishRoutes) isEffect() {}
func (CloseIdle) isEffect()     {}
func (Probe) isEffect()         {}
func (Check) isEffect()         {}
func (AnswerChoose) isEffect()  {}
func (Note) isEffect()          {}
