package surveyor

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/sequencer"
)

// inboxSize is far above the number of messages that arrive between two steps.
const inboxSize = 256

// Store reads the platform's store.
type Store interface {
	// Configuration returns nil if the position in the store is the known one. Each
	// method returns the era of the store's answer as well.
	Configuration(ctx context.Context, known sequencer.Position) (*resolver.Configuration, uint64, error)
	Replicas(ctx context.Context) ([]Replica, uint64, error)
	// Nodes returns a list that may be seconds old if allowStale is set.
	Nodes(ctx context.Context, allowStale bool) ([]Node, uint64, error)
	// Evacuations returns the sorted names of the evacuated data centres. It is called
	// only if the settings have a bound for evacuations.
	Evacuations(ctx context.Context) ([]string, uint64, error)
}

// Settings configures a node's surveyor.
type Settings struct {
	Store  Store
	Clock  clockwork.Clock
	Bounds Bounds
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// Publish receives the Publish and Note effects in order, on the task's
	// goroutine. It must not block.
	Publish func(Effect)
}

// Task maintains the fleet view of a node.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	controller := NewController(settings.Bounds)
	controller.FirstStart = settings.FirstStart
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "surveyor",
		Clock:      settings.Clock,
		Controller: controller,
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
	startedAt := t.settings.Clock.Now()
	switch effect := effect.(type) {
	case ReadConfiguration:
		handle.Start(func(ctx context.Context) Message {
			found, era, err := t.settings.Store.Configuration(ctx, effect.Known)
			return ConfigurationRead{StartedAt: startedAt, Failed: err != nil, Era: era, Configuration: found}
		})
	case ReadReplicas:
		handle.Start(func(ctx context.Context) Message {
			found, era, err := t.settings.Store.Replicas(ctx)
			return ReplicasRead{StartedAt: startedAt, Failed: err != nil, Era: era, Replicas: found}
		})
	case ReadNodes:
		handle.Start(func(ctx context.Context) Message {
			found, era, err := t.settings.Store.Nodes(ctx, effect.AllowStale)
			return NodesRead{StartedAt: startedAt, Failed: err != nil, Era: era, Nodes: found}
		})
	case ReadEvacuations:
		handle.Start(func(ctx context.Context) Message {
			found, era, err := t.settings.Store.Evacuations(ctx)
			return EvacuationsRead{StartedAt: startedAt, Failed: err != nil, Era: era, DataCentres: found}
		})
	default:
		t.settings.Publish(effect)
	}
}
