package planner

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// inboxSize has room for one report from every node and for the results of
	// orders.
	inboxSize = 1024
	// callTimeout limits an order or a state read on a connection that no longer
	// responds.
	callTimeout = 500 * time.Millisecond
)

// Replicas sends calls to the replicas of engines.
type Replicas interface {
	// Order sends an order and returns its outcome. leaving is set if the answer announced
	// that the replica leaves.
	Order(ctx context.Context, order SendOrder) (outcome Outcome, leaving bool)
	// State reads a replica's own report, and whether the replica is executing an
	// order.
	State(ctx context.Context, id, address string) (state surveyor.Replica, busy bool, err error)
}

// TaskSettings configures a Task.
type TaskSettings struct {
	Settings
	Clock    clockwork.Clock
	Replicas Replicas
	// RemoveNode removes the store entry of a node if it still has the revision.
	RemoveNode func(ctx context.Context, name string, revision uint64)
	// StoreLeaseData stores what its next holder has to know in the lease. Log receives the Notes. They must
	// not block.
	StoreLeaseData func(StoreLeaseData)
	// StoreRecords receives the records about requests that crash replicas. It must not block.
	StoreRecords func(StoreRecords)
	Log          func(Note)
	// HandOver releases the lease, and RegainCandidacy makes this node a candidate again.
	// They must not block.
	HandOver, RegainCandidacy func()
}

// Task runs a Controller and performs its effects.
type Task struct {
	settings TaskSettings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings TaskSettings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "planner",
		Clock:      settings.Clock,
		Controller: NewController(settings.Settings),
		Tick:       Tick{},
		Perform:    t.perform,
		InboxSize:  inboxSize,
	})
	return t
}

// Run processes messages until ctx ends.
func (t *Task) Run(ctx context.Context) error { return t.task.Run(ctx) }

// Post delivers a message.
func (t *Task) Post(message Message) error { return t.task.Post(message) }

// Report delivers a node's report and returns the answer to it.
func (t *Task) Report(ctx context.Context, report Report) (Answer, error) {
	return runner.Ask[Answer](ctx, t.task,
		func(call runner.Call) Message { return ReportReceived{Call: call, Report: report} }, nil)
}

// Explain returns where this node would have a model or adapter loaded now. Nothing changes.
func (t *Task) Explain(ctx context.Context, demand Demand) (Explanation, error) {
	return runner.Ask[Explanation](ctx, t.task,
		func(call runner.Call) Message { return Explain{Call: call, Demand: demand} }, nil)
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case SendOrder:
		handle.Start(func(ctx context.Context) Message {
			outcome, leaving := t.sendOrder(ctx, effect)
			return OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: outcome, Leaving: leaving}
		})
	case ReadState:
		handle.Start(func(ctx context.Context) Message { return t.readState(ctx, effect) })
	case AnswerReport:
		handle.Reply(effect.Call, effect.Answer)
	case AnswerExplain:
		handle.Reply(effect.Call, effect.Explanation)
	case RemoveNode:
		handle.Start(func(ctx context.Context) Message {
			t.settings.RemoveNode(ctx, effect.Name, effect.Revision)
			return Tick{}
		})
	case StoreLeaseData:
		t.settings.StoreLeaseData(effect)
	case StoreRecords:
		t.settings.StoreRecords(effect)
	case HandOver:
		t.settings.HandOver()
	case RegainCandidacy:
		t.settings.RegainCandidacy()
	case Note:
		t.settings.Log(effect)
	}
}

// sendOrder sends an order unless the lease has ended. The clock includes the time
// for which the machine was suspended, so a holder that resumes after the end of
// its lease sends nothing.
func (t *Task) sendOrder(ctx context.Context, effect SendOrder) (outcome Outcome, leaving bool) {
	if !t.settings.Clock.Now().Before(effect.NotAfter) {
		return Unsent, false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, callTimeout)
	defer cancel()
	return t.settings.Replicas.Order(ctx, effect)
}

func (t *Task) readState(ctx context.Context, effect ReadState) Message {
	requestedAt := t.settings.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, callTimeout)
	defer cancel()
	state, busy, err := t.settings.Replicas.State(ctx, effect.Replica, effect.Address)
	return StateRead{Replica: effect.Replica, RequestedAt: requestedAt, Failed: err != nil, Busy: busy, State: state}
}
