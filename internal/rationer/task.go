package rationer

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// inbox takes a burst of requests.
const inbox = 4096

// Task keeps the limits at a node.
type Task struct{ task *runner.Task[Message, Effect] }

// New returns a task. Slack is how many units all nodes together may go over a
// limit in one window, and the seed is that of the node's choices. The task
// does nothing until Run is called.
func New(clock clockwork.Clock, slack float64, seed uint64) *Task {
	return &Task{task: runner.New(runner.Settings[Message, Effect]{
		Name:       "rationer",
		Clock:      clock,
		Controller: NewController(slack, seed),
		Tick:       Tick{},
		Perform:    perform,
		InboxSize:  inbox,
	})}
}

// Run works until ctx ends.
func (t *Task) Run(ctx context.Context) error { return t.task.Run(ctx) }

// Post delivers a message.
func (t *Task) Post(message Message) error { return t.task.Post(message) }

// Take asks for units of a workspace's limit.
func (t *Task) Take(ctx context.Context, workspace resolver.Workspace, units float64) (Decision, error) {
	return runner.Ask[Decision](ctx, t.task,
		func(call runner.Call) Message { return Take{Call: call, Workspace: workspace, Units: units} }, nil)
}

// Collect returns what this node has taken since its start.
func (t *Task) Collect(ctx context.Context) ([]planner.Spent, error) {
	answer, err := runner.Ask[AnswerCollect](ctx, t.task,
		func(call runner.Call) Message { return Collect{Call: call} }, nil)
	return answer.Spent, err
}

func perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case AnswerTake:
		handle.Reply(effect.Call, effect.Decision)
	case AnswerCollect:
		handle.Reply(effect.Call, effect)
	}
}
