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
	leastInterval = 250 * time.Millisecond
	mostInterval  = 500 * time.Millisecond
	// intervalPerNode makes the exchanges of many nodes rarer, so that the
	// holder answers about 100 in a second.
	intervalPerNode = 10 * time.Millisecond
	// retryPause is the pause after an exchange that failed.
	retryPause = 60 * time.Millisecond
	// urgentPause is the least time between two exchanges.
	urgentPause = 2 * time.Millisecond
	// candidates is the number of nodes that may hold the lease.
	candidates = 3
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick says that the controller's wake time has come.
type Tick struct{}

// Urgent asks for an exchange at once.
type Urgent struct{}

// SetNodes replaces the registered nodes.
type SetNodes struct{ Nodes []surveyor.Node }

// SetHolding says whether this node holds the lease.
type SetHolding struct{ Holding bool }

// Hinted names the node that the lease object shows as the holder.
type Hinted struct{ Holder string }

// Exchanged is the result of an Exchange.
type Exchanged struct {
	With      string
	StartedAt time.Time
	Failed    bool
	// Cause says why an exchange failed.
	Cause  string
	Answer planner.Answer
}

func (Tick) isMessage()       {}
func (Urgent) isMessage()     {}
func (SetNodes) isMessage()   {}
func (SetHolding) isMessage() {}
func (Hinted) isMessage()     {}
func (Exchanged) isMessage()  {}

// SetCandidates replaces the nodes that may hold the lease.
type SetCandidates struct{ Names []string }

// Effect is an output of Controller: Exchange, Heard, SetCandidates or Note.
type Effect interface{ isEffect() }

// Exchange reports to a node and brings an Exchanged. An empty Address means
// this node itself.
type Exchange struct {
	With    string
	Address string
	// Epoch, Version and NodesVersion are those that this node has.
	Epoch, Version, NodesVersion uint64
}

// Heard publishes the answer of the holder.
type Heard struct {
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

func (Exchange) isEffect()      {}
func (Heard) isEffect()         {}
func (SetCandidates) isEffect() {}
func (Note) isEffect()          {}

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
	Turn int
	// Epoch and Version are those of the table that this node has.
	Epoch, Version, NodesVersion uint64
	Busy                         bool
	DueAt                        time.Time
	// HeardAt is when a holder was last asked that answered, and Since when
	// the first nodes were known.
	HeardAt, Since time.Time
	Wanted         bool
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
	case Urgent:
		c.Wanted = true
		if soon := now.Add(urgentPause); !c.Busy && soon.Before(c.DueAt) {
			c.DueAt = soon
		}
	case SetNodes:
		c.Nodes = message.Nodes
		if c.Since.IsZero() {
			c.Since = now
		}
		if c.DueAt.IsZero() {
			c.DueAt = now
		}
	case SetHolding:
		c.Holding = message.Holding
		c.DueAt = now
	case Hinted:
		c.hinted(now, message)
	case Exchanged:
		effects = c.exchanged(now, message)
	}
	effects = append(effects, c.candidacy(now)...)
	if wake := c.Wake(); wake.IsZero() || now.Before(wake) {
		return effects
	}
	return append(effects, c.exchange(now)...)
}

// interval returns the time between two exchanges.
func (c *Controller) interval() time.Duration {
	return min(mostInterval, max(leastInterval, time.Duration(len(c.Nodes))*intervalPerNode))
}

// hinted goes to the node that the lease names, unless another one answers as
// the holder already.
func (c *Controller) hinted(now time.Time, message Hinted) {
	if message.Holder == c.Node || message.Holder == c.Holder && c.Holder != "" {
		return
	}
	c.Holder, c.Hint = "", message.Holder
	if !c.Busy && !c.DueAt.IsZero() {
		c.DueAt = now
	}
}

// exchange starts an exchange with the node that most likely holds the lease.
func (c *Controller) exchange(now time.Time) []Effect {
	with := c.target()
	effect := Exchange{With: with, Epoch: c.Epoch, Version: c.Version, NodesVersion: c.NodesVersion}
	if with != c.Node {
		at := slices.IndexFunc(c.Nodes, func(node surveyor.Node) bool { return node.Name == with })
		if at < 0 {
			c.Holder, c.Hint = "", ""
			c.Turn++
			c.DueAt = now.Add(retryPause)
			return nil
		}
		effect.Address = c.Nodes[at].Peers
	}
	c.Busy, c.Wanted = true, false
	return []Effect{effect}
}

func (c *Controller) target() string {
	switch {
	case c.Holding:
		return c.Node
	case c.Holder != "":
		return c.Holder
	case c.Hint != "":
		return c.Hint
	}
	ranked := ranker.Rank(c.Lease, capable(c.Nodes, c.Node))
	ranked = ranked[:min(candidates, len(ranked))]
	return ranked[c.Turn%len(ranked)]
}

func (c *Controller) exchanged(now time.Time, message Exchanged) []Effect {
	c.Busy = false
	switch {
	case message.Failed, !message.Answer.Holding:
		return c.missed(now, message)
	}
	var effects []Effect
	answer := message.Answer
	if c.Holder != message.With {
		effects = append(effects, Note{Text: "found the holder of the placement lease", Holder: message.With, Age: now.Sub(c.HeardAt)})
	}
	c.Holder, c.Hint, c.Turn = message.With, "", 0
	c.HeardAt = message.StartedAt
	c.Epoch, c.Version, c.NodesVersion = answer.Epoch, answer.Version, answer.NodesVersion
	c.DueAt = message.StartedAt.Add(c.interval())
	if c.Wanted {
		c.DueAt = now.Add(urgentPause)
	}
	return append(effects, Heard{StartedAt: message.StartedAt, Answer: answer})
}

// missed goes on to another node after one that did not answer as the holder.
func (c *Controller) missed(now time.Time, message Exchanged) []Effect {
	var effects []Effect
	if c.Holder == message.With {
		effects = append(effects, Note{Text: "lost the holder of the placement lease", Holder: message.With, Age: now.Sub(c.HeardAt), Cause: message.Cause, Lost: true})
	}
	c.Holder, c.Hint = "", ""
	if hint := message.Answer.Leader; !message.Failed && hint != message.With {
		c.Hint = hint
	}
	c.Turn++
	c.DueAt = now.Add(retryPause)
	return effects
}
