package syncer

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is far above the number of messages that arrive between two steps.
const inboxSize = 256

// Settings configures a node's syncer.
type Settings struct {
	Node  string
	Lease string
	Clock clockwork.Clock
	// Collect builds the node's report.
	Collect func(ctx context.Context) (planner.Report, error)
	// AnswerLocally answers a report at this node. Send sends it to another
	// node and returns that node's answer.
	AnswerLocally func(ctx context.Context, report planner.Report) (planner.Answer, error)
	Send          func(ctx context.Context, address string, report planner.Report) (planner.Answer, error)
	// Publish receives the other effects than Exchange in order. It must not
	// block.
	Publish func(Effect)
}

// Task exchanges a node's reports with the holder of the placement lease.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "syncer",
		Clock:      settings.Clock,
		Controller: NewController(settings.Node, settings.Lease),
		Tick:       Tick{},
		Perform:    t.perform,
		InboxSize:  inboxSize,
	})
	return t
}

// Run runs the task until ctx is done.
func (t *Task) Run(ctx context.Context) error { return t.task.Run(ctx) }

// Post delivers a message to the controller.
func (t *Task) Post(message Message) error { return t.task.Post(message) }

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Exchange:
		handle.Start(func(ctx context.Context) Message { return t.exchange(ctx, effect) })
	default:
		t.settings.Publish(effect)
	}
}

func (t *Task) exchange(ctx context.Context, effect Exchange) Message {
	startedAt := t.settings.Clock.Now()
	result := ExchangeEnded{Peer: effect.Peer, StartedAt: startedAt}
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, effect.Timeout)
	defer cancel()
	report, err := t.settings.Collect(ctx)
	if err != nil {
		result.Failed, result.Cause = true, err.Error()
		return result
	}
	report.Sequence, report.Epoch, report.Version, report.NeedsView = effect.Sequence, effect.Epoch, effect.Version, effect.NeedsView
	result.Report = report
	if effect.Address == "" {
		result.Answer, err = t.settings.AnswerLocally(ctx, report)
	} else {
		result.Answer, err = t.settings.Send(ctx, effect.Address, report)
	}
	result.Failed = err != nil
	if err != nil {
		result.Cause = err.Error()
	}
	return result
}
