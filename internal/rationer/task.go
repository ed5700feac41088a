package rationer

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is large enough for a burst of requests.
const inboxSize = 4096

// Task enforces the workspace limits at a node.
type Task struct{ task *runner.Task[Message, Effect] }

// New returns a task that is idle until Run is called. Slack is the number of
// units by which all nodes together may exceed a limit in one window. The
// node's random choices are derived from seed.
func New(clock clockwork.Clock, slack float64, seed uint64) *Task {
	return &Task{task: runner.New(runner.Settings[Message, Effect]{
		Name:       "rationer",
		Clock:      clock,
		Controller: NewController(slack, seed),
		Tick:       Tick{},
		Perform:    perform,
		InboxSize:  inboxSize,
	})}
}

// Run runs the task until ctx is done.
func (t *Task) Run(ctx context.Context) error { return t.task.Run(ctx) }

// Post delivers a message to the controller.
func (t *Task) Post(message Message) error { return t.task.Post(message) }

// Take requests units of a workspace's limit and waits for them as long as the request
// allows. Unless they are taken, the decision contains the time after which to retry.
func (t *Task) Take(ctx context.Context, request Take) (Decision, error) {
	return runner.Ask[Decision](ctx, t.task,
		func(call runner.Call) Message {
			request.Call = call
			return request
		},
		func(call runner.Call) Message { return CancelTake{Call: call} })
}

// Collect returns this node's usage since its start, by workspace.
func (t *Task) Collect(ctx context.Context) (AnswerCollect, error) {
	return runner.Ask[AnswerCollect](ctx, t.task,
		func(call runner.Call) Message { return Collect{Call: call} }, nil)
}

// Inspect returns what a request would find of a workspace's limit. It takes nothing.
func (t *Task) Inspect(ctx context.Context, workspace resolver.Workspace, units float64) (Inspection, error) {
	return runner.Ask[Inspection](ctx, t.task,
		func(call runner.Call) Message { return Inspect{Call: call, Workspace: workspace, Units: units} }, nil)
}

func perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case AnswerTake:
		handle.Reply(effect.Call, effect.Decision)
	case AnswerCollect:
		handle.Reply(effect.Call, effect)
	case AnswerInspect:
		handle.Reply(effect.Call, effect.Inspection)
	}
}
