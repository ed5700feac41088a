package balancer

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// inbox takes a burst of requests and their ends.
const inbox = 8192

// Settings describes a node's balancer.
type Settings struct {
	Clock clockwork.Clock
	// Seed makes the choices of this node differ from those of the others.
	Seed uint64
	// Demanded tells that the holder should hear of a demand at once. It must
	// not block.
	Demanded func()
	// Log receives the Notes. It must not block.
	Log func(Note)
}

// Task chooses replicas for the requests of a node.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task. It does nothing until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "balancer",
		Clock:      settings.Clock,
		Controller: NewController(settings.Seed),
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

// Place returns a replica for a request, after waiting if need be. Every
// Placement without a refusal must be given back by an Ended.
func (t *Task) Place(ctx context.Context, need Need) (Placement, error) {
	return runner.Ask[Placement](ctx, t.task,
		func(call runner.Call) Message { return Place{Call: call, Need: need} },
		func(call runner.Call) Message { return Withdraw{Call: call} })
}

// Collect returns the node's part of a report to the holder.
func (t *Task) Collect(ctx context.Context) (AnswerCollect, error) {
	return runner.Ask[AnswerCollect](ctx, t.task,
		func(call runner.Call) Message { return Collect{Call: call} }, nil)
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Grant:
		handle.Reply(effect.Call, effect.Placement)
	case Demanded:
		t.settings.Demanded()
	case Note:
		t.settings.Log(effect)
	case AnswerCollect:
		handle.Reply(effect.Call, effect)
	}
}
