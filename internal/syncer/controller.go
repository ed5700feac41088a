package syncer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/ranker"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// leastInterval and mostInterval bound the time between two exchanges
	// without a demand. Half of it passes on average before a change of the
	// fleet is known, and the limits of workspaces hold as well as their
	// counts are fresh.
	minInterval = 250 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// intervalPerNode makes the exchanges of many nodes rarer, so that the
	// holder answers about 100 in a second.
	intervalPerNode = 10 * time.Millisecond
	// retryPause is the pause after an exchange that failed.
	retryDelay = 60 * time.Millisecond
	// urgentPause is the least time between two exchanges.
	urgentDelay = 2 * time.Millisecond
	// candidates is the number of nodes that may hold the lease.
	maxCandidates = 3
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick says that the controller's wake time has come.
type Tick struct{}

// Urgent asks for an exchange at once.
type ExchangeNow struct{}

// SetNodes replaces the registered nodes.
type SetNodes struct{ Nodes []surveyor.Node }

// SetHolding says whether this node holds the lease.
type SetHolding struct{ Holding bool }

// Hinted names the node that the lease object shows as the holder.
type HolderHint struct{ Holder string }

// Exchanged is the result of an Exchange.
type ExchangeEnded struct {
	Peer      string
	StartedAt time.Time
	Failed    bool
	// Cause says why an exchange failed.
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

// Effect is an output of Controller: Exchange, Heard, SetCandidates or Note.
type Effect interface{ isEffect() }

// Exchange reports to a node and brings an Exchanged. An empty Address means
// this node itself.
type Exchange struct {
	Peer    string
	Address string
	// Epoch, Version and NodesVersion are those that this node has.
	Epoch, Version, NodesVersion uint64
}

// Heard publishes the answer of the holder.
type HolderAnswered struct {
	StartedAt time.Time
	Answer    planner.Answer
}

// Note is a change of a belief, for the log.
type Note struct {
	Text   string
	Holder string
	Age    time.Duration
	Cause  string
	// Lost says that the holder does not answer as such any more.
	Lost bool
}

func (Exchange) isEffect()       {}
func (HolderAnswered) isEffect() {}
func (SetCandidates) isEffect()  {}
func (Note) isEffect()           {}

// Controller decides for one node about its exchanges.
type Controller struct {
	Node    string
	Lease   string
	Nodes   []surveyor.Node
	Holding bool
	// Holder is the node that answered last as the holder, and Hint the one
	// that another node named.
	Holder string
	Hint   string
	// Turn counts the candidates that were asked in vain.
	FailedAttempts int
	// Epoch and Version are those of the table that this node has.
	Epoch, Version, NodesVersion uint64
	Busy                         bool
	DueAt                        time.Time
	// HeardAt is when a holder was last asked that answered, and Since when
	// the first nodes were known.
	HolderAskedAt, NodesKnownAt time.Time
	ExchangeRequested           bool
	// Candidates are the nodes that may hold the lease, as published.
	Candidates []string
}

// NewController returns the controller of a node for a lease.
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

// Step handles one message.
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

// interval returns the time between two exchanges.
func (c *Controller) interval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(len(c.Nodes))*intervalPerNode))
}

// hinted goes to the node that the lease names, unless another one answers as
// the holder already.
func (c *Controller) applyHint(now time.Time, message HolderHint) {
	if message.Holder == c.Node || message.Holder == c.Holder && c.Holder != "" {
		return
	}
	c.Holder, c.Hint = "", message.Holder
	if !c.Busy && !c.DueAt.IsZero() {
		c.DueAt = now
	}
}

// exchange starts an exchange with the node that most likely holds the lease.
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
		effects = append(effects, Note{Text: "found the holder of the placement lease", Holder: message.Peer, Age: now.Sub(c.HolderAskedAt)})
	}
	c.Holder, c.Hint, c.FailedAttempts = message.Peer, "", 0
	c.HolderAskedAt = message.StartedAt
	c.Epoch, c.Version, c.NodesVersion = answer.Epoch, answer.Version, answer.NodesVersion
	c.DueAt = message.StartedAt.Add(c.interval())
	if c.ExchangeRequested {
		c.DueAt = now.Add(urgentDelay)
	}
	return append(effects, HolderAnswered{StartedAt: message.StartedAt, Answer: answer})
}

// missed goes on to another node after one that did not answer as the holder.
func (c *Controller) tryNextPeer(now time.Time, message ExchangeEnded) []Effect {
	var effects []Effect
	if c.Holder == message.Peer {
		effects = append(effects, Note{Text: "lost the holder of the placement lease", Holder: message.Peer, Age: now.Sub(c.HolderAskedAt), Cause: message.Cause, Lost: true})
	}
	c.Holder, c.Hint = "", ""
	if hint := message.Answer.Leader; !message.Failed && hint != message.Peer {
		c.Hint = hint
	}
	c.FailedAttempts++
	c.DueAt = now.Add(retryDelay)
	return effects
}
