package permitter

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is large enough for the requests of all nodes in a burst.
const inboxSize = 8192

// Settings configures a node's Task.
type Settings struct {
	Clock clockwork.Clock
	// Seed differs between nodes.
	Seed uint64
	// Send sends a release to the node at an address.
	Send func(ctx context.Context, address string, release Release) error
	// Log receives the Note effects. It must not block.
	Log func(Note)
}

// Task hands out permits and returns those of other nodes.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "permitter",
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

// Acquire decides on a request for a permit.
func (t *Task) Acquire(ctx context.Context, request Request) (Decision, error) {
	return runner.Ask[Decision](ctx, t.task,
		func(call runner.Call) Message { return Acquire{Call: call, Request: request} },
		func(runner.Call) Message { return Release{Permit: request.Permit} })
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case AnswerAcquire:
		handle.Reply(effect.Call, effect.Decision)
	case SendRelease:
		handle.Start(func(ctx context.Context) Message {
			return ReleaseForwarded{Sent: effect, Failed: t.settings.Send(ctx, effect.Address, effect.Release) != nil}
		})
	case Note:
		t.settings.Log(effect)
	}
}
