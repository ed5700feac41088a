package benchmarker

import (
	"container/heap"
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// LimitsFleet runs the limiter's controllers of several nodes in virtual time,
// with a lease and a network that can fail. It is not safe for concurrent use.
type LimitsFleet struct {
	Nodes []*LimitsNode
	// Delay returns the network delay in one direction of an exchange.
	Delay func() time.Duration
	// LoseMessage reports whether a message is lost.
	LoseMessage func() bool
	// DuplicateExchange reports whether an exchange is delivered twice.
	DuplicateExchange func() bool
	// APIDown disables lease renewals and takeovers.
	APIDown bool
	// Exchanges counts the exchanges that were sent.
	Exchanges int

	now      time.Duration
	events   limitsEvents
	sequence int
	lease    limitsLease
	limits   []limiter.Limit
}

// LimitsNode is one node of a LimitsFleet.
type LimitsNode struct {
	Holder *limiter.Holder
	Owner  *limiter.Owner
	// Offset is the time by which the node's clock is ahead.
	Offset time.Duration
	// PausedUntil is the time at which a paused node resumes.
	PausedUntil time.Duration
	Dead        bool

	name         string
	lastCall     runner.Call
	pendingCalls map[runner.Call]func(limiter.HolderEffect)
	nextTick     time.Duration
}

// limitsStart is the start time of a fleet on a clock without offset.
var limitsStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type limitsEvent struct {
	due      time.Duration
	sequence int
	run      func()
}

type limitsEvents []limitsEvent

func (e limitsEvents) Len() int { return len(e) }

func (e limitsEvents) Less(i, j int) bool {
	if e[i].due != e[j].due {
		return e[i].due < e[j].due
	}
	return e[i].sequence < e[j].sequence
}

func (e limitsEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *limitsEvents) Push(event any) { *e = append(*e, event.(limitsEvent)) }

func (e *limitsEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// NewLimitsFleet returns a fleet in which a node acquires the lease within a
// second.
func NewLimitsFleet(nodes, slots int, limits []limiter.Limit) *LimitsFleet {
	f := newLimitsFleet(nodes, slots, limits)
	f.lease.renewedAt = -limitsLeaseTakeover
	f.lease.holderIndex = nodes - 1
	f.lease.holder = f.Nodes[nodes-1]
	for _, node := range f.Nodes {
		f.configure(node)
	}
	f.renewLease()
	return f
}

// newLimitsFleet returns a fleet whose nodes have no limits and no lease yet.
func newLimitsFleet(nodes, slots int, limits []limiter.Limit) *LimitsFleet {
	f := &LimitsFleet{
		Delay:             func() time.Duration { return time.Millisecond },
		LoseMessage:       func() bool { return false },
		DuplicateExchange: func() bool { return false },
		limits:            limits,
	}
	for i := range nodes {
		f.Nodes = append(f.Nodes, newLimitsNode(i, 1, slots))
	}
	return f
}

func newLimitsNode(index int, session uint64, slots int) *LimitsNode {
	name := string(rune('a' + index))
	return &LimitsNode{
		Holder:       limiter.NewHolder(name, session, slots),
		Owner:        limiter.NewOwner(slots),
		name:         name,
		pendingCalls: map[runner.Call]func(limiter.HolderEffect){},
	}
}

// Now returns the virtual time.
func (f *LimitsFleet) Now() time.Duration { return f.now }

// After runs a function at a later virtual time.
func (f *LimitsFleet) After(delay time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, limitsEvent{due: f.now + max(0, delay), sequence: f.sequence, run: run})
}

// Run advances the virtual time to until and runs all events that are due.
func (f *LimitsFleet) Run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].due <= until {
		event := heap.Pop(&f.events).(limitsEvent)
		f.now = event.due
		event.run()
	}
	f.now = max(f.now, until)
}

// Configure changes the limits on all nodes at once.
func (f *LimitsFleet) Configure(limits []limiter.Limit) {
	f.limits = limits
	for _, node := range f.Nodes {
		f.configure(node)
	}
}

func (f *LimitsFleet) configure(node *LimitsNode) {
	f.stepHolder(node, limiter.WorkspacesChanged{Limits: f.limits})
	f.stepOwner(node, limiter.WorkspacesChanged{Limits: f.limits})
}

// Kill stops a node without notice. Requests that wait on it are dropped.
func (f *LimitsFleet) Kill(index int) {
	f.Nodes[index].Dead = true
}

// Restart replaces a dead node by a new run of the same node.
func (f *LimitsFleet) Restart(index int) {
	old := f.Nodes[index]
	if !old.Dead {
		return
	}
	node := newLimitsNode(index, old.Holder.Session+1, old.Holder.SlotCount)
	node.Offset = old.Offset
	f.Nodes[index] = node
	if f.lease.holder == nil {
		node.Holder.Standing = true
		f.configure(node)
		return
	}
	f.configure(node)
	f.announceOwner(node)
}

// OwnerIndex returns the index of the node that acquired the lease last.
func (f *LimitsFleet) OwnerIndex() int { return f.lease.holderIndex }

// HandOver makes the owner hand over the lease gracefully.
func (f *LimitsFleet) HandOver() {
	if node := f.lease.holder; node != nil && !node.Dead && f.now >= node.PausedUntil && !f.APIDown {
		f.stepOwner(node, limiter.HandoverRequested{})
	}
}

// Reserve requests tokens from a node and calls done with the result, which is
// Reserved or Refused. A dead node never calls done.
func (f *LimitsFleet) Reserve(index int, workspace string, tokens float64, timeout time.Duration, done func(limiter.HolderEffect)) {
	node := f.Nodes[index]
	call := node.newCall(done)
	f.runWhenAvailable(node, func() {
		deadline := f.NodeTime(node).Add(timeout)
		f.stepHolder(node, limiter.ReserveRequested{Call: call, Workspace: workspace, Tokens: tokens, Deadline: deadline})
	})
}

// Confirm confirms a reservation on a node and calls done with the result.
func (f *LimitsFleet) Confirm(index int, id uint64, timeout time.Duration, done func(limiter.HolderEffect)) {
	node := f.Nodes[index]
	call := node.newCall(done)
	f.runWhenAvailable(node, func() {
		f.stepHolder(node, limiter.ConfirmRequested{Call: call, ID: id, Deadline: f.NodeTime(node).Add(timeout)})
	})
}

// Settle ends a reservation on a node with the number of tokens used.
func (f *LimitsFleet) Settle(index int, id uint64, used float64) {
	node := f.Nodes[index]
	f.runWhenAvailable(node, func() { f.stepHolder(node, limiter.Settled{ID: id, Used: used}) })
}

func (n *LimitsNode) newCall(done func(limiter.HolderEffect)) runner.Call {
	n.lastCall++
	n.pendingCalls[n.lastCall] = done
	return n.lastCall
}

// runWhenAvailable runs a function on a node as soon as the node is not paused.
// On a dead node the function is dropped.
func (f *LimitsFleet) runWhenAvailable(node *LimitsNode, run func()) {
	switch {
	case node.Dead:
	case f.now < node.PausedUntil:
		f.After(node.PausedUntil-f.now, func() { f.runWhenAvailable(node, run) })
	default:
		run()
	}
}

// NodeTime returns the time on a node's clock.
func (f *LimitsFleet) NodeTime(node *LimitsNode) time.Time {
	return limitsStart.Add(f.now + node.Offset)
}

// stepHolder passes a message to a node's holder and executes the effects.
func (f *LimitsFleet) stepHolder(node *LimitsNode, message limiter.HolderMessage) {
	for _, effect := range node.Holder.Step(f.NodeTime(node), message) {
		switch effect := effect.(type) {
		case limiter.Reserved:
			node.completeCall(effect.Call, effect)
		case limiter.Refused:
			node.completeCall(effect.Call, effect)
		case limiter.SendExchange:
			f.sendExchange(node, effect.Exchange)
		}
	}
	f.scheduleTick(node)
}

func (n *LimitsNode) completeCall(call runner.Call, effect limiter.HolderEffect) {
	if done := n.pendingCalls[call]; done != nil {
		delete(n.pendingCalls, call)
		done(effect)
	}
}

// scheduleTick schedules the holder's next tick unless an earlier one is
// scheduled.
func (f *LimitsFleet) scheduleTick(node *LimitsNode) {
	wakeTime := node.Holder.Wake()
	if wakeTime.IsZero() {
		return
	}
	at := max(wakeTime.Sub(limitsStart)-node.Offset, f.now)
	if node.nextTick > f.now && node.nextTick <= at {
		return
	}
	node.nextTick = at
	f.After(at-f.now, func() {
		f.runWhenAvailable(node, func() {
			wakeTime := node.Holder.Wake()
			if !wakeTime.IsZero() && !wakeTime.After(f.NodeTime(node)) {
				f.stepHolder(node, limiter.HolderTick{})
				return
			}
			f.scheduleTick(node)
		})
	})
}

// sendExchange delivers an exchange to the owner and the answer to the holder.
// The holder gets a failure after the exchange timeout, and late answers are
// still delivered.
func (f *LimitsFleet) sendExchange(node *LimitsNode, exchange limiter.Exchange) {
	f.Exchanges++
	owner := f.ownerForEpoch(exchange.Epoch)
	f.After(limitsExchangeTimeout, func() {
		f.runWhenAvailable(node, func() { f.stepHolder(node, limiter.ExchangeFailed{Sequence: exchange.Sequence}) })
	})
	copies := 1
	if f.DuplicateExchange() {
		copies = 2
	}
	for range copies {
		if owner == nil || f.LoseMessage() {
			continue
		}
		f.After(f.Delay(), func() {
			f.runWhenAvailable(owner, func() { f.answerExchange(node, owner, exchange) })
		})
	}
}

func (f *LimitsFleet) ownerForEpoch(epoch uint64) *LimitsNode {
	if epoch != f.lease.epoch {
		return nil
	}
	return f.lease.holder
}

func (f *LimitsFleet) answerExchange(sender, owner *LimitsNode, exchange limiter.Exchange) {
	for _, effect := range f.stepOwner(owner, limiter.ExchangeReceived{Exchange: exchange}) {
		answer, ok := effect.(limiter.ExchangeAnswered)
		if !ok || f.LoseMessage() {
			continue
		}
		f.After(f.Delay(), func() {
			f.runWhenAvailable(sender, func() {
				f.stepHolder(sender, limiter.ExchangeCompleted{Sequence: exchange.Sequence, Answer: answer.Answer})
			})
		})
	}
}
