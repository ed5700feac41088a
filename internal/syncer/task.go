package syncer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// inbox is far above the messages that come between two steps.
	inbox = 256
	// exchangeTimeout ends an exchange on a connection that has gone silent.
	exchangeTimeout = 400 * time.Millisecond
)

// Settings describes a node's syncer.
type Settings struct {
	Node  string
	Lease string
	Clock clockwork.Clock
	// Collect makes the node's report.
	Collect func(ctx context.Context) (planner.Report, error)
	// Local answers a report at this node, and Send at another one.
	Local func(ctx context.Context, report planner.Report) (planner.Answer, error)
	Send  func(ctx context.Context, address string, report planner.Report) (planner.Answer, error)
	// Publish receives Heard and Note in order. It must not block.
	Publish func(Effect)
}

// Task exchanges a node's reports.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task. It does nothing until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "syncer",
		Clock:      settings.Clock,
		Controller: NewController(settings.Node, settings.Lease),
		Tick:       Tick{},
		Perform:    t.perform,
		InboxSize:  inbox,
	})
	return t
}

// Run works until ctx ends.
func (t *Task) Run(ctx context.Context) error { return t.task.Run(ctx) }

// Post delivers a message.
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
	result := Exchanged{With: effect.With, StartedAt: startedAt}
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, exchangeTimeout)
	defer cancel()
	report, err := t.settings.Collect(ctx)
	if err != nil {
		result.Failed = true
		return result
	}
	report.Epoch, report.Version, report.NodesVersion = effect.Epoch, effect.Version, effect.NodesVersion
	if effect.Address == "" {
		result.Answer, err = t.settings.Local(ctx, report)
	} else {
		result.Answer, err = t.settings.Send(ctx, effect.Address, report)
	}
	result.Failed = err != nil
	if err != nil {
		result.Cause = err.Error()
	}
	return result
}
