package syncer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/ranker"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// minInterval and maxInterval bound the time between two exchanges when no
	// exchange is requested. On average, half of the interval passes before a
	// change of the fleet is known. The older the usage counts are, the less
	// accurately the workspace limits are enforced.
	minInterval = 250 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// intervalPerNode lengthens the interval in proportion to the number of
	// nodes, so that the holder answers about 100 exchanges per second.
	intervalPerNode = 10 * time.Millisecond
	// retryDelay is the delay after a failed exchange.
	retryDelay = 60 * time.Millisecond
	// urgentDelay is the delay before a requested exchange, and thereby the
	// minimum time between two requested exchanges.
	urgentDelay = 2 * time.Millisecond
	// maxCandidates is the number of highest-ranked nodes that may hold the
	// lease. The holder is searched for among them.
	maxCandidates = 3
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick is delivered at the controller's wake time.
type Tick struct{}

// ExchangeNow requests an exchange as soon as possible.
type ExchangeNow struct{}

// SetNodes replaces the registered nodes.
type SetNodes struct{ Nodes []surveyor.Node }

// SetHolding sets whether this node holds the lease.
type SetHolding struct{ Holding bool }

// HolderHint names the node that the lease object shows as the holder.
type HolderHint struct{ Holder string }

// ExchangeEnded is the result of an Exchange.
type ExchangeEnded struct {
	Peer      string
	StartedAt time.Time
	Failed    bool
	// Cause is the error text of a failed exchange.
	Cause  string
	Answer planner.Answer
}

func (Tick) isMessage()          {}
func (ExchangeNow) isMessage()   {}
func (SetNodes) isMessage()      {}
func (SetHolding) isMessage()    {}
func (HolderHint) isMessage()    {}
func (ExchangeEnded) isMessage() {}

// SetCandidates replaces the nodes that may hold the lease.
type SetCandidates struct{ Names []string }

// Effect is an output of Controller: Exchange, HolderAnswered, SetCandidates or
// Note.
type Effect interface{ isEffect() }

// Exchange sends a report to a node and results in an ExchangeEnded message. An
// empty Address stands for this node itself.
type Exchange struct {
	Peer    string
	Address string
	// Epoch and Version identify the table of replicas that this node has, and
	// NodesVersion its list of nodes.
	Epoch, Version, NodesVersion uint64
}

// HolderAnswered publishes the answer of the holder.
type HolderAnswered struct {
	StartedAt time.Time
	Answer    planner.Answer
}

// Note is a log entry: the holder was found or lost.
type Note struct {
	Text   string
	Holder string
	Age    time.Duration
	Cause  string
	// Lost is set when the node no longer answers as the holder.
	Lost bool
}

func (Exchange) isEffect()       {}
func (HolderAnswered) isEffect() {}
func (SetCandidates) isEffect()  {}
func (Note) isEffect()           {}

// Controller schedules the exchanges of one node.
type Controller struct {
	Node    string
	Lease   string
	Nodes   []surveyor.Node
	Holding bool
	// Holder is the last node that answered as the holder. Hint is the node
	// that the lease object or another node named as the holder.
	Holder string
	Hint   string
	// FailedAttempts counts the exchanges that found no holder since the last
	// answer of one.
	FailedAttempts int
	// Epoch and Version identify the table of replicas that this node has, and
	// NodesVersion its list of nodes.
	Epoch, Version, NodesVersion uint64
	Busy                         bool
	DueAt                        time.Time
	// HolderExchangeAt is the start of the last exchange that a holder answered.
	// NodesKnownAt is when the first list of nodes arrived.
	HolderExchangeAt, NodesKnownAt time.Time
	ExchangeRequested              bool
	// Candidates are the nodes that may hold the lease, as last published.
	Candidates []string
}

// NewController returns a controller that finds the holder of the given lease
// for the given node.
func NewController(node, lease string) *Controller {
	return &Controller{Node: node, Lease: lease}
}

// Wake returns when the next exchange is due.
func (c *Controller) Wake() time.Time {
	if c.Busy || len(c.Nodes) == 0 && !c.Holding {
		return time.Time{}
	}
	return c.DueAt
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case Tick:
	case ExchangeNow:
		c.ExchangeRequested = true
		if earliest := now.Add(urgentDelay); !c.Busy && earliest.Before(c.DueAt) {
			c.DueAt = earliest
		}
	case SetNodes:
		c.Nodes = message.Nodes
		if c.NodesKnownAt.IsZero() {
			c.NodesKnownAt = now
		}
		if c.DueAt.IsZero() {
			c.DueAt = now
		}
	case SetHolding:
		c.Holding = message.Holding
		c.DueAt = now
	case HolderHint:
		c.applyHint(now, message)
	case ExchangeEnded:
		effects = c.endExchange(now, message)
	}
	effects = append(effects, c.updateCandidates(now)...)
	if wake := c.Wake(); wake.IsZero() || now.Before(wake) {
		return effects
	}
	return append(effects, c.startExchange(now)...)
}

// interval returns the time between the starts of two regular exchanges.
func (c *Controller) interval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(len(c.Nodes))*intervalPerNode))
}

// applyHint directs the next exchange to the node that the lease object names,
// unless that is this node or the current holder. An answer of the named node
// then confirms the hint.
func (c *Controller) applyHint(now time.Time, message HolderHint) {
	if message.Holder == c.Node || message.Holder == c.Holder && c.Holder != "" {
		return
	}
	c.Holder, c.Hint = "", message.Holder
	if !c.Busy && !c.DueAt.IsZero() {
		c.DueAt = now
	}
}

// startExchange starts an exchange with the node that most likely holds the
// lease.
func (c *Controller) startExchange(now time.Time) []Effect {
	peer := c.nextPeer()
	effect := Exchange{Peer: peer, Epoch: c.Epoch, Version: c.Version, NodesVersion: c.NodesVersion}
	if peer != c.Node {
		index := slices.IndexFunc(c.Nodes, func(node surveyor.Node) bool { return node.Name == peer })
		if index < 0 {
			c.Holder, c.Hint = "", ""
			c.FailedAttempts++
			c.DueAt = now.Add(retryDelay)
			return nil
		}
		effect.Address = c.Nodes[index].PeerAddress
	}
	c.Busy, c.ExchangeRequested = true, false
	return []Effect{effect}
}

func (c *Controller) nextPeer() string {
	switch {
	case c.Holding:
		return c.Node
	case c.Holder != "":
		return c.Holder
	case c.Hint != "":
		return c.Hint
	}
	ranked := ranker.Rank(c.Lease, capableNodes(c.Nodes, c.Node))
	ranked = ranked[:min(maxCandidates, len(ranked))]
	return ranked[c.FailedAttempts%len(ranked)]
}

func (c *Controller) endExchange(now time.Time, message ExchangeEnded) []Effect {
	c.Busy = false
	switch {
	case message.Failed, !message.Answer.Holding:
		return c.tryNextPeer(now, message)
	}
	var effects []Effect
	answer := message.Answer
	if c.Holder != message.Peer {
		effects = append(effects, Note{Text: "found the holder of the placement lease", Holder: message.Peer, Age: now.Sub(c.HolderExchangeAt)})
	}
	c.Holder, c.Hint, c.FailedAttempts = message.Peer, "", 0
	c.HolderExchangeAt = message.StartedAt
	c.Epoch, c.Version, c.NodesVersion = answer.Epoch, answer.Version, answer.NodesVersion
	c.DueAt = message.StartedAt.Add(c.interval())
	if c.ExchangeRequested {
		c.DueAt = now.Add(urgentDelay)
	}
	return append(effects, HolderAnswered{StartedAt: message.StartedAt, Answer: answer})
}

// tryNextPeer selects another node after one that did not answer as the holder.
func (c *Controller) tryNextPeer(now time.Time, message ExchangeEnded) []Effect {
	var effects []Effect
	if c.Holder == message.Peer {
		effects = append(effects, Note{Text: "lost the holder of the placement lease", Holder: message.Peer, Age: now.Sub(c.HolderExchangeAt), Cause: message.Cause, Lost: true})
	}
	c.Holder, c.Hint = "", ""
	if hint := message.Answer.Holder; !message.Failed && hint != message.Peer {
		c.Hint = hint
	}
	c.FailedAttempts++
	c.DueAt = now.Add(retryDelay)
	return effects
}
