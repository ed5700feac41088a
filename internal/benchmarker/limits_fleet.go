package benchmarker

import (
	"container/heap"
	"time"

	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// LimitsFleet runs the limits' controllers of several nodes in virtual time,
// with a lease and a network that can fail. It is not safe for concurrent use.
type LimitsFleet struct {
	Nodes []*LimitsNode
	// Delay returns the time that one direction of an exchange takes.
	Delay func() time.Duration
	// Lost says whether a message is lost.
	Lost func() bool
	// Duplicated says whether an exchange arrives twice.
	Duplicated func() bool
	// APIDown stops lease renewals and takeovers.
	APIDown bool
	// Exchanges counts the exchanges that were sent.
	Exchanges int

	now       time.Duration
	events    limitsEvents
	sequence  int
	lease     limitsLease
	workspace []limiter.Limit
}

// LimitsNode is one node of a LimitsFleet.
type LimitsNode struct {
	Holder *limiter.Holder
	Owner  *limiter.Owner
	// Offset is how far the node's clock is ahead.
	Offset time.Duration
	// PausedUntil is when a paused node goes on.
	PausedUntil time.Duration
	Dead        bool

	name     string
	nextCall runner.Call
	waiting  map[runner.Call]func(limiter.HolderEffect)
	tickAt   time.Duration
}

// limitsStart is the time of a fleet's beginning on a clock without offset.
var limitsStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type limitsEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type limitsEvents []limitsEvent

func (e limitsEvents) Len() int { return len(e) }

func (e limitsEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
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

// NewLimitsFleet returns a fleet in which a node takes the lease within a
// second.
func NewLimitsFleet(nodes, slots int, limits []limiter.Limit) *LimitsFleet {
	f := newLimitsFleet(nodes, slots, limits)
	f.lease.renewed = -limitsLeaseTakeover
	f.lease.holder = nodes - 1
	f.lease.run = f.Nodes[nodes-1]
	for _, node := range f.Nodes {
		f.configure(node)
	}
	f.renew()
	return f
}

// newLimitsFleet returns nodes that have no limits and no lease yet.
func newLimitsFleet(nodes, slots int, limits []limiter.Limit) *LimitsFleet {
	f := &LimitsFleet{
		Delay:      func() time.Duration { return time.Millisecond },
		Lost:       func() bool { return false },
		Duplicated: func() bool { return false },
		workspace:  limits,
	}
	for i := range nodes {
		f.Nodes = append(f.Nodes, newLimitsNode(i, 1, slots))
	}
	return f
}

func newLimitsNode(index int, session uint64, slots int) *LimitsNode {
	name := string(rune('a' + index))
	return &LimitsNode{
		Holder:  limiter.NewHolder(name, session, slots),
		Owner:   limiter.NewOwner(slots),
		name:    name,
		waiting: map[runner.Call]func(limiter.HolderEffect){},
	}
}

// Now returns the virtual time.
func (f *LimitsFleet) Now() time.Duration { return f.now }

// After runs a function at a later virtual time.
func (f *LimitsFleet) After(delay time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, limitsEvent{at: f.now + max(0, delay), sequence: f.sequence, do: do})
}

// Run advances the virtual time.
func (f *LimitsFleet) Run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		event := heap.Pop(&f.events).(limitsEvent)
		f.now = event.at
		event.do()
	}
	f.now = max(f.now, until)
}

// Configure changes the limits at all nodes at once.
func (f *LimitsFleet) Configure(limits []limiter.Limit) {
	f.workspace = limits
	for _, node := range f.Nodes {
		f.configure(node)
	}
}

func (f *LimitsFleet) configure(node *LimitsNode) {
	f.holder(node, limiter.WorkspacesChanged{Limits: f.workspace})
	f.owner(node, limiter.WorkspacesChanged{Limits: f.workspace})
}

// Kill ends a node without notice and drops what waits there.
func (f *LimitsFleet) Kill(index int) {
	f.Nodes[index].Dead = true
}

// Revive replaces a dead node by a new run of it.
func (f *LimitsFleet) Revive(index int) {
	old := f.Nodes[index]
	if !old.Dead {
		return
	}
	node := newLimitsNode(index, old.Holder.Session+1, old.Holder.SlotCount)
	node.Offset = old.Offset
	f.Nodes[index] = node
	if f.lease.run == nil {
		node.Holder.Standing = true
		f.configure(node)
		return
	}
	f.configure(node)
	f.announce(node)
}

// OwnerIndex returns the node that took the lease last.
func (f *LimitsFleet) OwnerIndex() int { return f.lease.holder }

// HandOver lets the owner give up the lease gracefully.
func (f *LimitsFleet) HandOver() {
	if node := f.lease.run; node != nil && !node.Dead && f.now >= node.PausedUntil && !f.APIDown {
		f.owner(node, limiter.HandoverRequested{})
	}
}

// Reserve asks a node for tokens and calls done with the answer, which is
// Reserved or Refused. A dead node gives no answer.
func (f *LimitsFleet) Reserve(index int, workspace string, tokens float64, patience time.Duration, done func(limiter.HolderEffect)) {
	node := f.Nodes[index]
	call := node.call(done)
	f.deliver(node, func() {
		deadline := f.Clock(node).Add(patience)
		f.holder(node, limiter.ReserveRequested{Call: call, Workspace: workspace, Tokens: tokens, Deadline: deadline})
	})
}

// Confirm confirms a reservation of a node.
func (f *LimitsFleet) Confirm(index int, id uint64, patience time.Duration, done func(limiter.HolderEffect)) {
	node := f.Nodes[index]
	call := node.call(done)
	f.deliver(node, func() {
		f.holder(node, limiter.ConfirmRequested{Call: call, ID: id, Deadline: f.Clock(node).Add(patience)})
	})
}

// Settle ends a reservation of a node.
func (f *LimitsFleet) Settle(index int, id uint64, used float64) {
	node := f.Nodes[index]
	f.deliver(node, func() { f.holder(node, limiter.Settled{ID: id, Used: used}) })
}

func (n *LimitsNode) call(done func(limiter.HolderEffect)) runner.Call {
	n.nextCall++
	n.waiting[n.nextCall] = done
	return n.nextCall
}

// deliver runs something on a node as soon as it is not paused.
func (f *LimitsFleet) deliver(node *LimitsNode, do func()) {
	switch {
	case node.Dead:
	case f.now < node.PausedUntil:
		f.After(node.PausedUntil-f.now, func() { f.deliver(node, do) })
	default:
		do()
	}
}

// Clock returns the time on a node's clock.
func (f *LimitsFleet) Clock(node *LimitsNode) time.Time {
	return limitsStart.Add(f.now + node.Offset)
}

// holder steps a node's holder and carries out its effects.
func (f *LimitsFleet) holder(node *LimitsNode, message limiter.HolderMessage) {
	for _, effect := range node.Holder.Step(f.Clock(node), message) {
		switch effect := effect.(type) {
		case limiter.Reserved:
			node.answer(effect.Call, effect)
		case limiter.Refused:
			node.answer(effect.Call, effect)
		case limiter.SendExchange:
			f.exchange(node, effect.Exchange)
		}
	}
	f.tick(node)
}

func (n *LimitsNode) answer(call runner.Call, effect limiter.HolderEffect) {
	if done := n.waiting[call]; done != nil {
		delete(n.waiting, call)
		done(effect)
	}
}

// tick plans the holder's next tick unless an earlier one is planned.
func (f *LimitsFleet) tick(node *LimitsNode) {
	wake := node.Holder.Wake()
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(limitsStart)-node.Offset, f.now)
	if node.tickAt > f.now && node.tickAt <= at {
		return
	}
	node.tickAt = at
	f.After(at-f.now, func() {
		f.deliver(node, func() {
			wake := node.Holder.Wake()
			if !wake.IsZero() && !wake.After(f.Clock(node)) {
				f.holder(node, limiter.HolderTick{})
				return
			}
			f.tick(node)
		})
	})
}

// exchange carries an exchange to the owner and its answer back. The holder
// learns of a failure after the exchange timeout, and late answers still
// arrive.
func (f *LimitsFleet) exchange(node *LimitsNode, exchange limiter.Exchange) {
	f.Exchanges++
	to := f.ownerOf(exchange.Epoch)
	f.After(limitsExchangeLimit, func() {
		f.deliver(node, func() { f.holder(node, limiter.ExchangeFailed{Sequence: exchange.Sequence}) })
	})
	copies := 1
	if f.Duplicated() {
		copies = 2
	}
	for range copies {
		if to == nil || f.Lost() {
			continue
		}
		f.After(f.Delay(), func() {
			f.deliver(to, func() { f.answer(node, to, exchange) })
		})
	}
}

func (f *LimitsFleet) ownerOf(epoch uint64) *LimitsNode {
	if epoch != f.lease.epoch {
		return nil
	}
	return f.lease.run
}

func (f *LimitsFleet) answer(from, to *LimitsNode, exchange limiter.Exchange) {
	for _, effect := range f.owner(to, limiter.ExchangeReceived{Exchange: exchange}) {
		answered, ok := effect.(limiter.ExchangeAnswered)
		if !ok || f.Lost() {
			continue
		}
		f.After(f.Delay(), func() {
			f.deliver(from, func() {
				f.holder(from, limiter.ExchangeCompleted{Sequence: exchange.Sequence, Answer: answered.Answer})
			})
		})
	}
}
