package cacher

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// inboxSize is far above the number of messages that arrive between two steps.
const inboxSize = 256

// answerMargin is the time beyond Wait after which a call has failed.
const answerMargin = 2 * time.Second

// Settings configures a node's reader.
type Settings struct {
	Self  string
	Clock clockwork.Clock
	Seed  uint64
	// ReadEvents reads the changes of a replica's cache. It returns whether the replica has
	// refused the call.
	ReadEvents func(ctx context.Context, effect ReadEvents) (events Events, refused bool, err error)
	// Publish receives the other effects than ReadEvents in order. It must not block.
	Publish func(Effect)
}

// Task reads the changes of the caches of some replicas.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "cacher",
		Clock:      settings.Clock,
		Controller: NewReader(settings.Self, settings.Seed),
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
	case ReadEvents:
		handle.Start(func(ctx context.Context) Message { return t.read(ctx, effect) })
	default:
		t.settings.Publish(effect)
	}
}

func (t *Task) read(ctx context.Context, effect ReadEvents) Message {
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, effect.Wait+answerMargin)
	defer cancel()
	events, refused, err := t.settings.ReadEvents(ctx, effect)
	return EventsRead{Target: effect.Target, Failed: err != nil, Refused: refused, Answer: events}
}
