package syncer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

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
	// HolderAddress and HintAddress are the addresses of the nodes named by Holder
	// and Hint, for the case that these are not among Nodes.
	HolderAddress, HintAddress string
	// HolderActing is set if Holder only acts for the holder of the lease. Acting is
	// set if this node does. Then ProbeAt is when the next exchange goes to another
	// node, Probing whether one is in progress, AfterProbe whether one was the last
	// exchange, and Probes their number.
	HolderActing, Acting, Probing, AfterProbe bool
	ProbeAt                                   time.Time
	Probes                                    int
	// LostHolder is the last holder that did not answer, at LostAt.
	LostHolder string
	LostAt     time.Time
	// FailedAttempts counts the exchanges that found no holder since the last
	// answer of one, and Unanswered the consecutive ones that got no answer.
	FailedAttempts, Unanswered int
	// Fleet is the state of the fleet that this node has.
	Fleet Fleet
	// Registered is the number of registered nodes. Partitioned are those that must not take the
	// lease, according to the last holder.
	Registered  int
	Partitioned []string
	// Sequence is the number of the last report. Reports are those that the
	// holder's state may yet contain.
	Sequence uint64
	Reports  []planner.Report
	// Random is seeded differently at each node, so that their retries differ.
	Random *rand.Rand
	Busy   bool
	DueAt  time.Time
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
	seed := xxhash.Sum64String(node)
	return &Controller{Node: node, Lease: lease, Random: rand.New(rand.NewPCG(seed, seed))}
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
		if earliest := now.Add(c.urgentDelay()); !c.Busy && c.FailedAttempts == 0 && earliest.Before(c.DueAt) {
			c.DueAt = earliest
		}
	case SetNodes:
		c.Nodes, c.Registered = message.Nodes, len(message.Nodes)
		if c.NodesKnownAt.IsZero() {
			c.NodesKnownAt = now
		}
		if c.DueAt.IsZero() {
			c.DueAt = now
		}
	case SetHolding:
		c.Holding = message.Holding
		c.DueAt = now
		if !c.Holding && slices.Contains(c.Partitioned, c.Node) {
			// The lease was handed over. This node must not act for the next holder.
			c.Holder = ""
		}
		if c.Holding && c.Acting {
			c.Acting = false
			effects = append(effects, SetActing{})
		}
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

// applyHint directs the next exchange to the node that the lease object names,
// unless that is this node or the current holder. An answer of the named node
// then confirms the hint.
func (c *Controller) applyHint(now time.Time, message HolderHint) {
	if message.Holder == c.Node || message.Holder == c.Holder && c.Holder != "" {
		return
	}
	if !c.HolderActing {
		c.Holder = ""
	}
	c.Hint, c.HintAddress = message.Holder, ""
	if !c.Busy && !c.DueAt.IsZero() {
		c.DueAt = now
	}
}

// startExchange starts an exchange with the node that most likely holds the
// lease. If that is this node, which does not hold it, this node acts for the holder
// from now on.
func (c *Controller) startExchange(now time.Time) []Effect {
	peer := c.nextPeer(now)
	var effects []Effect
	if peer == c.Node && !c.Holding && !c.Acting {
		c.Acting = true
		effects = append(effects, SetActing{Acting: true, Registered: c.Registered})
	}
	effect := Exchange{
		Peer: peer, Epoch: c.Fleet.Epoch, Version: c.Fleet.Version,
		NeedsView: now.Sub(c.HolderExchangeAt) > viewAge, Timeout: c.timeout(),
	}
	if peer != c.Node {
		effect.Address = c.address(peer)
		if effect.Address == "" {
			c.Probing, c.Hint = false, ""
			if peer == c.Holder {
				c.Holder = ""
			}
			c.FailedAttempts++
			c.DueAt = now.Add(c.retryDelay())
			return effects
		}
	}
	c.Sequence++
	effect.Sequence = c.Sequence
	c.Busy, c.ExchangeRequested = true, false
	return append(effects, effect)
}

// address returns the address of a node, or "" if it is not known.
func (c *Controller) address(name string) string {
	if i := slices.IndexFunc(c.Nodes, func(node surveyor.Node) bool { return node.Name == name }); i >= 0 {
		return c.Nodes[i].PeerAddress
	}
	switch name {
	case c.Hint:
		return c.HintAddress
	case c.Holder:
		return c.HolderAddress
	}
	return ""
}

func (c *Controller) endExchange(now time.Time, message ExchangeEnded) []Effect {
	c.Busy = false
	c.keepReport(message.Report)
	answer := message.Answer
	found := !message.Failed && answer.Holding && answer.State != nil
	switch {
	case c.Probing && (!found || answer.Acting && !c.outranks(now, message.Peer, c.Holder)):
		return c.endProbe(now, message)
	case !found:
		return c.tryNextPeer(now, message)
	}
	var effects []Effect
	if c.Holder != message.Peer || c.HolderActing != answer.Acting {
		effects = append(effects, Note{Text: foundText(answer), Holder: message.Peer, Age: now.Sub(c.HolderExchangeAt)})
		c.ProbeAt = now.Add(probeInterval)
	}
	if c.Acting && message.Peer != c.Node {
		c.Acting = false
		effects = append(effects, SetActing{})
	}
	newState := answer.State.Epoch != c.Fleet.Epoch
	c.HolderAddress = c.address(message.Peer)
	c.Holder, c.HolderActing = message.Peer, answer.Acting
	if !answer.Acting || c.Hint == message.Peer {
		c.Hint, c.HintAddress = "", ""
	}
	c.FailedAttempts, c.Unanswered = 0, 0
	c.HolderExchangeAt = message.StartedAt
	c.applyState(answer.State)
	if !answer.Acting {
		c.Partitioned = answer.State.Partitioned
	}
	c.DueAt = message.StartedAt.Add(c.interval())
	switch {
	case c.ExchangeRequested:
		c.DueAt = now.Add(c.urgentDelay())
	case newState:
		// The first state of a tenure lacks the reports of most other nodes.
		c.DueAt = message.StartedAt.Add(c.interval() / 2)
	}
	return append(effects, HolderAnswered{
		StartedAt:     message.StartedAt,
		AsOf:          message.StartedAt.Add(-answer.StateAge),
		Answer:        answer,
		HolderAddress: c.HolderAddress,
		Callers:       c.Fleet.Callers,
		Assignments:   c.Fleet.Assignments,
		Others:        c.Fleet.usageOfOthers(answer.State, c.reportIncluded(answer.Included)),
	})
}

func foundText(answer planner.Answer) string {
	if answer.Acting {
		return "found a node that acts for the holder of the placement lease"
	}
	return "found the holder of the placement lease"
}

// applyState adopts the state of the holder.
func (c *Controller) applyState(state *planner.State) {
	c.Fleet.apply(state)
	c.Registered = state.Registered
	if state.Full && len(state.Candidates) > 0 {
		c.Nodes = nil
	}
	c.Nodes = merge(c.Nodes, state.Candidates, state.RemovedCandidates, func(node surveyor.Node) string { return node.Name })
}

// tryNextPeer selects another node after one that did not answer as the holder.
func (c *Controller) tryNextPeer(now time.Time, message ExchangeEnded) []Effect {
	var effects []Effect
	if c.Holder == message.Peer {
		effects = append(effects, Note{Text: "lost the holder of the placement lease", Holder: message.Peer, Age: now.Sub(c.HolderExchangeAt), Cause: message.Cause, Lost: true})
		// The candidates are queried in the order of their rank.
		c.FailedAttempts = -1
	}
	c.Holder, c.Hint, c.HintAddress = "", "", ""
	c.FailedAttempts++
	answer := message.Answer
	if message.Failed {
		c.Unanswered++
		c.LostHolder, c.LostAt = message.Peer, now
		c.DueAt = now.Add(c.retryDelay())
		return effects
	}
	c.Unanswered = 0
	if answer.Holder != message.Peer {
		c.followHint(now, answer.Holder, answer.HolderAddress)
	}
	if answer.View != nil {
		effects = append(effects, ViewReceived{AsOf: message.StartedAt.Add(-answer.StateAge), View: answer.View})
	}
	c.DueAt = now.Add(c.retryDelay())
	return effects
}
