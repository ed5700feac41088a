package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// Report is what a node tells the holder.
type Report struct {
	Node surveyor.Node
	// Leaving nodes take no new callers.
	Leaving bool
	// Epoch and Version say which table of replicas the node has, and
	// NodesVersion which list of nodes.
	Epoch, Version uint64
	NodesVersion   uint64
	// Running counts the node's running requests.
	Running []Running `json:",omitempty"`
	// Suspects are the replicas that failed the node's requests lately.
	Suspects []string `json:",omitempty"`
	// Demands are what requests wait for.
	Demands []Demand `json:",omitempty"`
	// Uses are the requests that were sent since the last report.
	Uses []Use `json:",omitempty"`
	// Spent counts the units of each workspace's limit since the process
	// started.
	Spent []Spent `json:",omitempty"`
}

// Running counts running requests of a model at a replica; Model is empty at
// a plain service.
type Running struct {
	Replica string
	Model   string `json:",omitempty"`
	Count   int
}

// Demand is a model or adapter that requests wait for.
type Demand struct {
	Service string
	Model   string
	Adapter string `json:",omitempty"`
	Waiting int
	// Full says that replicas have what is waited for and that all of them
	// are full.
	ReplicasFull bool `json:"Full,omitempty"`
	// Left is the time until the last of them is given up, and InTime the time
	// until none of them can be in time any more, negative after that.
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
	// Told is the part that a holder has heard of. A new holder counts from
	// there, so that nothing is lost between two holders.
	Acknowledged float64 `json:"Told,omitempty"`
}

// Answer is what the holder tells a node.
type Answer struct {
	// Holding is false at a node that does not hold the lease. Leader then
	// names the node that it takes for the holder.
	Holding bool
	Leader  string `json:",omitempty"`
	// Epoch and Version identify the table of replicas. Replicas are those
	// that changed since the version that the node has, and Gone those that
	// left the table; if Full is set, Replicas is the whole table.
	Epoch, Version uint64
	Full           bool               `json:",omitempty"`
	Replicas       []surveyor.Replica `json:",omitempty"`
	Removed        []string           `json:"Gone,omitempty"`
	// Active counts the requests that the other nodes run, by replica.
	Active map[string]int `json:",omitempty"`
	// Suspects are the replicas that fail the requests of other nodes.
	Suspects []string `json:",omitempty"`
	// Nodes is nil if the node has the version NodesVersion.
	NodesVersion uint64
	Nodes        []surveyor.Node `json:",omitempty"`
	// Callers are the addresses of the nodes that callers may use.
	CallerAddresses       []string `json:"Callers"`
	ConfigurationRevision uint64
	ConfigurationAge      time.Duration
	ReplicasAge           time.Duration
	NodesAge              time.Duration
	// SpentByOthers counts what the other nodes took of the limits since the
	// holder first heard of them.
	SpentByOthers []Spent `json:",omitempty"`
	// Peers is the number of live nodes, and Registered that of all.
	Peers, Registered int
	// OrdersIn is the time until the holder may give orders, 0 if it may now.
	OrdersAllowedIn time.Duration `json:"OrdersIn"`
}
