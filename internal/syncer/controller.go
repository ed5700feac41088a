package syncer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/planner"
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
	// largeIntervalPerNode lengthens the interval above maxInterval in a fleet for
	// which that is too short: a holder answers at most 1,000 exchanges per second.
	largeIntervalPerNode = time.Millisecond
	// minRetryDelay is the delay after an exchange that found no holder. In a large
	// fleet it grows with the number of nodes, which all query the same few
	// candidates: by retryDelayPerNode.
	minRetryDelay     = 60 * time.Millisecond
	retryDelayPerNode = 850 * time.Microsecond
	// maxRetryDelay bounds the delay, which doubles with each consecutive exchange
	// that is not answered: a holder that is overloaded must not get more reports
	// because its answers are late.
	maxRetryDelay = 500 * time.Millisecond
	// retryJitter is the maximum relative change of a retry delay.
	retryJitter = 0.3
	// minUrgentDelay is the delay before a requested exchange, and thereby the
	// minimum time between two requested exchanges. It grows with the number of
	// nodes by urgentDelayPerNode.
	minUrgentDelay     = 2 * time.Millisecond
	urgentDelayPerNode = 100 * time.Microsecond
	// minTimeout ends an exchange on a connection that no longer responds. It grows
	// with the number of nodes by timeoutPerNode.
	minTimeout     = 400 * time.Millisecond
	timeoutPerNode = 2 * time.Millisecond
	// lostHolderTimeout is the time for which a holder that did not answer is not
	// queried again, although other nodes name it: they may not have noticed yet.
	lostHolderTimeout = 700 * time.Millisecond
	// probeInterval is the interval at which a node whose state comes from an acting
	// node looks for the holder of the lease elsewhere.
	probeInterval = 2 * time.Second
	// viewAge is the time since the last answer of a holder after which the nodes
	// that are queried send their own view of the store.
	viewAge = 800 * time.Millisecond
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
	Report planner.Report
	Answer planner.Answer
}

func (Tick) isMessage()          {}
func (ExchangeNow) isMessage()   {}
func (SetNodes) isMessage()      {}
func (SetHolding) isMessage()    {}
func (HolderHint) isMessage()    {}
func (ExchangeEnded) isMessage() {}

// SetCandidates replaces the nodes that may hold the lease. Candidate is set if
// this node is one of them.
type SetCandidates struct {
	Names     []string
	Candidate bool
}

// SetActing sets whether this node publishes the state of the fleet in place of a
// holder that is lost.
type SetActing struct {
	Acting     bool
	Registered int
}

// Effect is an output of Controller: Exchange, HolderAnswered, ViewReceived,
// SetCandidates, SetActing or Note.
type Effect interface{ isEffect() }

// Exchange sends a report to a node and results in an ExchangeEnded message. An
// empty Address stands for this node itself.
type Exchange struct {
	Peer    string
	Address string
	// Sequence is the number of the report. Epoch and Version identify the state of
	// the fleet that this node has.
	Sequence, Epoch, Version uint64
	NeedsView                bool
	// Timeout ends the exchange on a connection that no longer responds.
	Timeout time.Duration
}

// HolderAnswered publishes the answer of the holder. Ages in the answer's state
// count from AsOf.
type HolderAnswered struct {
	StartedAt time.Time
	AsOf      time.Time
	Answer    planner.Answer
	// HolderAddress is the holder's address for other nodes. It is empty if the
	// holder is this node.
	HolderAddress string
	Callers       []planner.Caller
	Others        Usage
}

// ViewReceived publishes what another node has read from the store. Its ages count
// from AsOf.
type ViewReceived struct {
	AsOf time.Time
	View *planner.StoreView
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
func (ViewReceived) isEffect()   {}
func (SetCandidates) isEffect()  {}
func (SetActing) isEffect()      {}
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
	// HolderAddress and HintAddress are the addresses of the nodes named by Holder
	// and Hint, for the case that these are not among Nodes.
	HolderAddress, HintAddress string
	// HolderActing is set if Holder only acts for the holder of the lease. Acting is
	// set if this node does. Then ProbeAt is when the next exchange goes to another
	// node, Probing whether one is in progress, and Probes their number.
	HolderActing, Acting, Probing bool
	ProbeAt                       time.Time
	Probes                        int
	// LostHolder is the last holder that did not answer, at LostAt.
	LostHolder string
	LostAt     time.Time
	// FailedAttempts counts the exchanges that found no holder since the last
	// answer of one, and Unanswered the consecutive ones that got no answer.
	FailedAttempts, Unanswered int
	// Fleet is the state of the fleet that this node has.
	Fleet Fleet
	// Registered is the number of registered nodes.
	Registered int
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

// interval returns the time between the starts of two regular exchanges.
func (c *Controller) interval() time.Duration {
	nodes := time.Duration(c.Registered)
	return max(min(maxInterval, max(minInterval, nodes*intervalPerNode)), nodes*largeIntervalPerNode)
}

func (c *Controller) urgentDelay() time.Duration {
	return max(minUrgentDelay, time.Duration(c.Registered)*urgentDelayPerNode)
}

// timeout returns the time limit of an exchange. In a large fleet, the answers of
// a new holder, which contain the whole state, queue up on its link.
func (c *Controller) timeout() time.Duration {
	return minTimeout + time.Duration(c.Registered)*timeoutPerNode
}

// retryDelay returns the delay after an exchange that found no holder.
func (c *Controller) retryDelay() time.Duration {
	delay := max(minRetryDelay, time.Duration(c.Registered)*retryDelayPerNode)
	for range max(0, c.Unanswered-maxCandidates) {
		if delay *= 2; delay > maxRetryDelay {
			break
		}
	}
	jitter := 1 + retryJitter*(2*c.Random.Float64()-1)
	return time.Duration(float64(min(delay, maxRetryDelay)) * jitter)
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

func (c *Controller) nextPeer(now time.Time) string {
	c.Probing = false
	switch {
	case c.Holding:
		return c.Node
	case c.Hint != "":
		c.Probing = c.Holder != ""
		return c.Hint
	case c.Holder == "":
		return c.nextCandidate(now, c.FailedAttempts)
	case c.HolderActing && !now.Before(c.ProbeAt):
		c.ProbeAt = now.Add(probeInterval)
		c.Probes++
		if peer := c.nextCandidate(now, c.Probes); peer != c.Node && peer != c.Holder {
			c.Probing = true
			return peer
		}
	}
	return c.Holder
}

// nextCandidate returns the candidate with a number, modulo their number. It leaves
// out a holder that did not answer a short time ago.
func (c *Controller) nextCandidate(now time.Time, number int) string {
	ranked := c.candidateNames(now)
	if len(ranked) > 1 && c.isLost(now, c.LostHolder) {
		ranked = slices.DeleteFunc(slices.Clone(ranked), func(name string) bool { return name == c.LostHolder })
	}
	return ranked[number%len(ranked)]
}

// isLost reports whether a node was found not to answer as the holder a short time
// ago.
func (c *Controller) isLost(now time.Time, name string) bool {
	return name != "" && name == c.LostHolder && now.Sub(c.LostAt) < lostHolderTimeout
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
	c.Holder, c.Hint, c.HintAddress, c.HolderActing = message.Peer, "", "", answer.Acting
	c.FailedAttempts, c.Unanswered = 0, 0
	c.HolderExchangeAt = message.StartedAt
	c.applyState(answer.State)
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
		Others:        c.Fleet.usageOfOthers(answer.State, c.reportIncluded(answer.Included)),
	})
}

func foundText(answer planner.Answer) string {
	if answer.Acting {
		return "found a node that acts for the holder of the placement lease"
	}
	return "found the holder of the placement lease"
}

// outranks reports whether a candidate precedes another one.
func (c *Controller) outranks(now time.Time, name, other string) bool {
	ranked := c.candidateNames(now)
	index := slices.Index(ranked, name)
	return index >= 0 && index < slices.Index(ranked, other)
}

// endProbe handles an exchange that was to find the holder of the lease while an
// acting node answers, and did not.
func (c *Controller) endProbe(now time.Time, message ExchangeEnded) []Effect {
	c.Hint, c.HintAddress, c.DueAt = "", "", now
	if message.Failed {
		c.LostHolder, c.LostAt = message.Peer, now
	}
	if answer := message.Answer; !message.Failed && !answer.Holding && answer.Holder != message.Peer {
		c.followHint(now, answer.Holder, answer.HolderAddress)
	}
	return nil
}

// followHint directs the next exchange to a node that another one names as the
// holder.
func (c *Controller) followHint(now time.Time, name, address string) {
	if name != c.Node && name != c.Holder && !c.isLost(now, name) {
		c.Hint, c.HintAddress = name, address
	}
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
