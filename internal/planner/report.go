package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Report is the state that a node sends to the lease holder.
type Report struct {
	Node surveyor.Node
	// Leaving is set if the node accepts no new callers.
	Leaving bool
	// Epoch and Version identify the node's copy of the table of replicas, and
	// NodesVersion its copy of the list of nodes.
	Epoch, Version uint64
	NodesVersion   uint64
	// Running counts the node's running requests.
	Running []Running `json:",omitempty"`
	// Suspects are the replicas that recently failed the node's requests.
	Suspects []string `json:",omitempty"`
	// Demands are the models and adapters that requests wait for.
	Demands []Demand `json:",omitempty"`
	// Uses counts the requests that were sent since the last report.
	Uses []Use `json:",omitempty"`
	// Spent counts the units of each workspace's limit since the process
	// started.
	Spent []Spent `json:",omitempty"`
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
	Units     float64
	// Acknowledged is the part that a holder has acknowledged. A new holder counts
	// from there, so that no units are lost between two holders.
	Acknowledged float64 `json:"Told,omitempty"`
}

// Answer is the lease holder's reply to a Report.
type Answer struct {
	// Holding reports whether the answering node holds the lease. If not, Holder
	// names the node that it considers to be the holder.
	Holding bool
	Holder  string `json:"Leader,omitempty"`
	// Epoch and Version identify the table of replicas. Replicas are those that
	// have changed since the node's version, and Removed the IDs of those that have
	// left the table. If Full is set, Replicas is the whole table.
	Epoch, Version uint64
	Full           bool               `json:",omitempty"`
	Replicas       []surveyor.Replica `json:",omitempty"`
	Removed        []string           `json:"Gone,omitempty"`
	// Active counts the running requests of the other nodes, by replica.
	Active map[string]int `json:",omitempty"`
	// Suspects are the replicas that other live nodes suspect.
	Suspects []string `json:",omitempty"`
	// Nodes is nil if the node already has the version NodesVersion.
	NodesVersion uint64
	Nodes        []surveyor.Node `json:",omitempty"`
	// CallerAddresses are the addresses of the nodes that callers may use.
	CallerAddresses       []string `json:"Callers"`
	ConfigurationRevision uint64
	ConfigurationAge      time.Duration
	ReplicasAge           time.Duration
	NodesAge              time.Duration
	// SpentByOthers counts the units that the other nodes have consumed since
	// their first reports to this holder.
	SpentByOthers []Spent `json:",omitempty"`
	// Peers is the number of live nodes, and Registered the number of registered
	// ones.
	Peers, Registered int
	// OrdersAllowedIn is the time until the holder may send orders, or 0 if it may
	// do so already.
	OrdersAllowedIn time.Duration `json:"OrdersIn"`
}
