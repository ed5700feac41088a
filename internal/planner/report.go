package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Report is the state that a node sends to the lease holder.
type Report struct {
	Node surveyor.Node
	// Sequence counts the reports of the node's run, from 1.
	Sequence uint64
	// Leaving is set if the node accepts no new callers.
	Leaving bool
	// Partitioned is set if the node sends its requests through other nodes, because it does
	// not reach the replicas itself.
	Partitioned bool `json:",omitempty"`
	// Assigning is set if the node begins streams at the versions that are assigned to them.
	// Builds before the assignments lack it.
	Assigning bool `json:",omitempty"`
	// ConfigurationVersion is the version of the configuration that the node has in force, 0
	// if it has none or its build does not report it.
	ConfigurationVersion uint64 `json:",omitempty"`
	// Epoch and Version identify the state of the fleet that the node has.
	Epoch, Version uint64
	// NeedsView is set if the node has had no answer of a holder for some time.
	// A node that does not hold the lease then answers with its own view of the
	// store.
	NeedsView bool `json:",omitempty"`
	// Running counts the node's running requests.
	Running []Running `json:",omitempty"`
	// Suspects are the replicas that recently failed the node's requests.
	Suspects []string `json:",omitempty"`
	// Demands are the models and adapters that requests wait for.
	Demands []Demand `json:",omitempty"`
	// Uses counts the requests that were sent since the last report.
	Uses []Use `json:",omitempty"`
	// Spent counts the units of each workspace's limit. UsageEpoch is the epoch
	// of the baselines in it.
	Spent      []Spent `json:",omitempty"`
	UsageEpoch uint64  `json:",omitempty"`
	// RateLimits are the limits of replicas that differ from the published ones.
	RateLimits []RateLimit `json:",omitempty"`
	// Notices are the replicas whose answers to the node announced that they leave or want
	// no requests for a time.
	Notices []Notice `json:",omitempty"`
	// Prompts is what the node knows about prompts that crash replicas.
	Prompts screener.Report `json:",omitzero"`
	// Speeds and Paces are what the node has measured of replicas and models since the last
	// report.
	Speeds []estimator.SpeedSum `json:",omitempty"`
	Paces  []estimator.PaceSum  `json:",omitempty"`
	// Cached are changes of the parts of prompts that replicas keep.
	Cached []cacher.Change `json:",omitempty"`
}

// Notice is what a replica has announced in an answer to a node.
type Notice struct {
	Replica   string
	StartedMS int64
	// Leaving is set if the replica leaves. ClosedFor is the time for which it wants no
	// more requests of the node.
	Leaving   bool          `json:",omitempty"`
	ClosedFor time.Duration `json:",omitempty"`
}

// RateLimit is the number of requests a second that a replica takes from all nodes
// together, as an answer named it. Rate is 0 if the replica names no limit any more.
type RateLimit struct {
	Replica   string
	StartedMS int64
	Rate      float64
	// Age is the time since the answer.
	Age time.Duration
	// Brittle is set if the replica ends if it has to turn more than MaxRefusals requests
	// away in a second.
	Brittle     bool `json:",omitempty"`
	MaxRefusals int  `json:",omitempty"`
	// BrittleUnknown is set if the report is of a node that does not recognize brittle replicas.
	// Reports between nodes do not contain it.
	BrittleUnknown bool `json:",omitempty"`
}

// Running counts the running requests of a model on a replica. Model is empty for
// a service without an engine.
type Running struct {
	Replica string
	Model   string `json:",omitempty"`
	Count   int
}

// Demand is a model or adapter that Waiting requests wait for.
type Demand struct {
	Service string
	Model   string
	Adapter string `json:",omitempty"`
	Waiting int
	// DataCentres are the sorted data centres whose replicas may run the requests, empty
	// for all.
	DataCentres []string `json:",omitempty"`
	// Version is the software version of the replicas that may run the requests, which are
	// the rest of streams, empty for all.
	Version string `json:",omitempty"`
	// ReplicasFull is set if replicas hold the model or adapter and all of them
	// are full.
	ReplicasFull bool `json:"Full,omitempty"`
	// TimeToDeadline is the time until the last of the requests is abandoned.
	// TimeToLate is the time until none of them can meet its latency objective any
	// more. It is negative after that.
	TimeToDeadline time.Duration `json:"Left"`
	TimeToLate     time.Duration `json:"InTime"`
}

// Use counts requests that were sent for a model, and their tokens.
type Use struct {
	Service string
	Model   string
	Adapter string `json:",omitempty"`
	Count   int
	Tokens  int
}

// Spent is a number of units of a workspace's limit.
type Spent struct {
	Workspace string
	// Units is the number of units since the process started.
	Units float64
	// Acknowledged is the part that a holder has acknowledged. A new holder counts
	// from there, so that no units are lost between two holders. Baseline is the
	// part from which the holder of the report's UsageEpoch counts.
	Acknowledged float64 `json:"Told,omitempty"`
	Baseline     float64 `json:",omitempty"`
}

// Consumed returns the units that the holder of an epoch counts for a report with
// the given UsageEpoch.
func (s Spent) Consumed(usageEpoch, epoch uint64) float64 {
	if usageEpoch == epoch {
		return s.Units - s.Baseline
	}
	return s.Units - s.Acknowledged
}

// Answer is the reply to a Report.
type Answer struct {
	// Holding reports whether the answering node holds the lease. If not, Holder
	// names the node that it considers to be the holder, and HolderAddress is the
	// address of that node for other nodes. Both may be empty.
	// Acting is set if the answering node does not hold the lease but publishes the
	// state in place of a holder that is lost. Holding is set as well then.
	Holding       bool
	Acting        bool   `json:",omitempty"`
	Holder        string `json:"Leader,omitempty"`
	HolderAddress string `json:",omitempty"`
	// Registered reports whether the holder knows the node's entry in the store.
	Registered bool `json:",omitempty"`
	// Included is the sequence number of the node's report that State contains, 0
	// if it contains none. StateAge is the age of State.
	Included uint64 `json:",omitempty"`
	StateAge time.Duration
	// State is nil if the answering node does not hold the lease. All nodes with
	// the same version get the same State, which must not be modified.
	State *State `json:",omitempty"`
	// View is the view of a node that does not hold the lease, if the report
	// requested it. It is shared as well.
	View *StoreView `json:",omitempty"`
}

// State is what the lease holder publishes about the fleet. Ages and durations
// are as of its creation. It contains the changes since the version of the node's
// report or, if Full is set, everything.
type State struct {
	Epoch, Version uint64
	Full           bool `json:",omitempty"`
	// Replicas are the new entries of the table of replicas, Updates the changes of
	// other entries, and Removed the IDs of those that have left it.
	Replicas []surveyor.Replica       `json:",omitempty"`
	Updates  []surveyor.ReplicaUpdate `json:",omitempty"`
	Removed  []string                 `json:"Gone,omitempty"`
	// Callers are the nodes that callers may use, and RemovedCallers the addresses
	// of those that they may no longer use.
	Callers        []Caller `json:",omitempty"`
	RemovedCallers []string `json:",omitempty"`
	// Candidates are the nodes that may hold the lease.
	Candidates        []surveyor.Node `json:",omitempty"`
	RemovedCandidates []string        `json:",omitempty"`
	// Workspaces are the names to which the entries of Spent belong. It is nil if
	// they have not changed.
	Workspaces []string `json:",omitempty"`
	// Spent counts the units that all nodes have consumed since their first reports
	// to this holder, by workspace.
	Spent []float64 `json:",omitempty"`
	// Active counts the running requests of all nodes. Its entries belong to the
	// replicas of the table, sorted by ID.
	Active []int `json:",omitempty"`
	// RateLimits are the limits of replicas in requests a second, in the order of Active:
	// NoLimit, or 0 if the holder does not know. It is nil if it knows of none.
	RateLimits []float64 `json:",omitempty"`
	// Brittle holds the brittle replicas of which RateLimits knows something, with the
	// requests that each can turn away in a second.
	Brittle map[string]int `json:",omitempty"`
	// BrittleUnknown is set if the state is of a holder that does not recognize brittle
	// replicas. States between nodes do not contain it.
	BrittleUnknown bool `json:",omitempty"`
	// Closed holds the replicas that want no requests of at least one node, with the
	// longest of the remaining times. Replicas that have announced that they leave are marked
	// in the table.
	Closed map[string]time.Duration `json:",omitempty"`
	// Partitioned are the nodes that do not reach the replicas and must not take the lease,
	// sorted.
	Partitioned []string `json:",omitempty"`
	// Suspects counts the live nodes that suspect a replica.
	Suspects map[string]int `json:",omitempty"`
	// Prompts are the parts of prompts that crash replicas.
	Prompts screener.Published `json:",omitzero"`
	// Speeds and Paces are what all nodes have measured of replicas and models, as far as it
	// has changed.
	Speeds []estimator.PublishedSpeed `json:",omitempty"`
	Paces  []estimator.PublishedPace  `json:",omitempty"`
	// Cached are the parts of prompts that replicas keep, as far as it has changed, the
	// newest changes first.
	Cached []cacher.Change `json:",omitempty"`
	// Versions are the software versions of replicas, as of the list of replicas.
	Versions resumer.Published `json:",omitzero"`
	// Assignments are those of streams to software versions, as far as they have changed.
	Assignments        []resumer.Assignment `json:",omitempty"`
	RemovedAssignments []string             `json:",omitempty"`
	// Peers is the number of live nodes, and Registered the number of registered
	// ones.
	Peers, Registered int
	// StoreEra is the latest era of the store that the holder knows of.
	// ConfigurationEra and ConfigurationRevision are the position of its
	// configuration in the store.
	StoreEra              uint64 `json:",omitempty"`
	ConfigurationEra      uint64 `json:",omitempty"`
	ConfigurationRevision uint64
	ConfigurationAge      time.Duration
	// ConfigurationVersion is the latest version of the configuration that a node has had in
	// force, as far as the holder knows, 0 if the holder's build does not publish it.
	ConfigurationVersion uint64 `json:",omitempty"`
	ReplicasAge          time.Duration
	NodesAge             time.Duration
	// Evacuated are the evacuated data centres. EvacuationsKnown is not set if the holder
	// does not know them.
	Evacuated        []string      `json:",omitempty"`
	EvacuationsKnown bool          `json:",omitempty"`
	EvacuationsAge   time.Duration `json:",omitempty"`
	// OrdersAllowedIn is the time until the holder may send orders, or 0 if it may
	// do so already.
	OrdersAllowedIn time.Duration `json:"OrdersIn"`
}

// Caller is a node that callers may use, by its address for them.
type Caller struct {
	Address  string
	Capacity float64
	// PeerAddress is the address of the node for other nodes.
	PeerAddress string `json:"Peer,omitempty"`
	DataCentre  string `json:",omitempty"`
	// ConfirmedAge is 0 for a node that has reported to the holder within MaxCallerSilence.
	// Otherwise it is the age of the last sign of life that is known from an earlier
	// holder, as of the state in which the entry is sent.
	ConfirmedAge time.Duration `json:",omitempty"`
}

// StoreView is what a node that does not hold the lease has read from the store.
// Ages are as of the answer's StateAge.
type StoreView struct {
	// StoreEra, ConfigurationEra and ConfigurationRevision are as in State.
	StoreEra              uint64 `json:",omitempty"`
	ConfigurationEra      uint64 `json:",omitempty"`
	ConfigurationRevision uint64
	ConfigurationAge      time.Duration
	ReplicasAge           time.Duration
	Replicas              []surveyor.Replica `json:",omitempty"`
	// Evacuated, EvacuationsKnown and EvacuationsAge are as in State.
	Evacuated        []string      `json:",omitempty"`
	EvacuationsKnown bool          `json:",omitempty"`
	EvacuationsAge   time.Duration `json:",omitempty"`
}
