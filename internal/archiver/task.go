package archiver

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/screener"
)

// inboxSize is far above the number of messages that arrive between two steps.
const inboxSize = 256

// Store keeps the records. Its errors are those of package storer.
type Store interface {
	Records(ctx context.Context) ([]screener.Record, error)
	// WriteRecord creates or replaces a record, unless it has the same content apart from the
	// remaining time. It returns the record's revision.
	WriteRecord(ctx context.Context, record screener.Record) (revision uint64, err error)
	// RemoveRecord removes a record if it has the revision, or any revision if that is 0.
	RemoveRecord(ctx context.Context, trait screener.Trait, revision uint64) error
}

// Settings configures a node's archiver.
type Settings struct {
	Store Store
	Clock clockwork.Clock
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// Publish receives the Publish and Note effects in order. It must not block.
	Publish func(Effect)
}

// Task owns the records in the store.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "archiver",
		Clock:      settings.Clock,
		Controller: NewController(settings.FirstStart),
		Tick:       Tick{},
		Perform:    t.perform,
		InboxSize:  inboxSize,
	})
	return t
}

// Run runs the task until ctx is done.
func (t *Task) Run(ctx context.Context) error {
	if err := t.task.Post(Tick{}); err != nil {
		return err
	}
	return t.task.Run(ctx)
}

// Post delivers a message to the controller.
func (t *Task) Post(message Message) error { return t.task.Post(message) }

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	store := t.settings.Store
	switch effect := effect.(type) {
	case Read:
		handle.Start(func(ctx context.Context) Message {
			records, err := store.Records(ctx)
			return ReadEnded{Failed: err != nil, Records: records}
		})
	case Write:
		handle.Start(func(ctx context.Context) Message {
			revision, err := store.WriteRecord(ctx, effect.Record)
			return WriteEnded{
				Trait: effect.Record.Trait, Tenure: effect.Tenure, Restorations: effect.Restorations,
				Failed: err != nil, Quarantined: effect.Record.Quarantined, Revision: revision,
			}
		})
	case Remove:
		handle.Start(func(ctx context.Context) Message {
			err := store.RemoveRecord(ctx, effect.Trait, effect.Revision)
			return WriteEnded{Trait: effect.Trait, Tenure: effect.Tenure, Restorations: effect.Restorations, Failed: err != nil, Removed: true}
		})
	default:
		t.settings.Publish(effect)
	}
}
