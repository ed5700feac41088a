package balancer

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is large enough for a burst of requests and the results of their
// attempts.
const inboxSize = 8192

// Settings configures a node's balancer.
type Settings struct {
	Clock clockwork.Clock
	// Seed differs between nodes, so that their random choices differ.
	Seed uint64
	// OnNewDemand is called when the holder should be informed of a new demand
	// immediately. It must not block.
	OnNewDemand func()
	// Log receives the Note effects. It must not block.
	Log func(Note)
}

// Task chooses replicas for the requests of a node.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "balancer",
		Clock:      settings.Clock,
		Controller: NewController(settings.Seed),
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

// Place assigns a replica to a request and waits for one if necessary. Every
// Placement without a refusal must be released by an AttemptEnded message.
func (t *Task) Place(ctx context.Context, need Need) (Placement, error) {
	return runner.Ask[Placement](ctx, t.task,
		func(call runner.Call) Message { return Place{Call: call, Need: need} },
		func(call runner.Call) Message { return Cancel{Call: call} })
}

// Collect returns the node's part of a report to the holder.
func (t *Task) Collect(ctx context.Context) (AnswerCollect, error) {
	return runner.Ask[AnswerCollect](ctx, t.task,
		func(call runner.Call) Message { return Collect{Call: call} }, nil)
}

// Explain returns where a request would go now and why. Nothing changes.
func (t *Task) Explain(ctx context.Context, need Need) (Explanation, error) {
	return runner.Ask[Explanation](ctx, t.task,
		func(call runner.Call) Message { return Explain{Call: call, Need: need} }, nil)
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case AnswerPlace:
		handle.Reply(effect.Call, effect.Placement)
	case NewDemand:
		t.settings.OnNewDemand()
	case Note:
		t.settings.Log(effect)
	case AnswerCollect:
		handle.Reply(effect.Call, effect)
	case AnswerAdmitRelay:
		handle.Reply(effect.Call, effect.Reason)
	case AnswerExplain:
		handle.Reply(effect.Call, effect.Explanation)
	}
}
