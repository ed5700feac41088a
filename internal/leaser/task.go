package leaser

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
)

const (
	// Kind is the kind of lease objects.
	Kind = "Lease"
	// callTimeout bounds one call of the object API. After a renewal that timed
	// out on an unresponsive connection, it leaves time for a read and a
	// renewal on a new one before the lease expires.
	callTimeout = 1200 * time.Millisecond
	// inboxSize is far greater than the number of messages that arrive between
	// two steps.
	inboxSize = 64
)

// Store stores the lease objects. Its errors are those of storer.Store.
type Store interface {
	Get(ctx context.Context, id storer.ID) (storer.Object, error)
	Put(ctx context.Context, id storer.ID, ifVersion uint64, data []byte) (storer.Object, error)
}

// Settings configures a node's Task.
type Settings struct {
	Node string
	// Names are the leases for which the node may be a candidate.
	Names []string
	Store Store
	Clock clockwork.Clock
	// FirstStart is set if the system starts for the first time, so that no lease can
	// have been lost before.
	FirstStart bool
	// Timing defaults to DefaultTiming if it is zero.
	Timing Timing
	// Publish receives events in order, on the task's goroutine. It must not
	// block.
	Publish func(Event)
	// LogUnreadable receives each read of a lease that cannot be decoded, as after a build of a
	// later form has written it. It must not block.
	LogUnreadable func(lease string, err error)
}

// Task acquires, renews and releases a node's leases.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task. It does nothing until Run is called.
func New(settings Settings) *Task {
	if settings.Timing == (Timing{}) {
		settings.Timing = DefaultTiming
	}
	controller := NewController(settings.Node, uuid.NewString(), settings.Names, settings.Timing)
	controller.FirstStart = settings.FirstStart
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "leaser",
		Clock:      settings.Clock,
		Controller: controller,
		Tick:       Tick{},
		Perform:    t.perform,
		InboxSize:  inboxSize,
	})
	return t
}

// Run processes messages until ctx ends. It does not release leases.
func (t *Task) Run(ctx context.Context) error { return t.task.Run(ctx) }

// SetNodes replaces the set of nodes that may be candidates: those that are
// live and not suspected.
func (t *Task) SetNodes(names []string) error {
	return t.task.Post(SetNodes{slices.Clone(names)})
}

// SetData requests that data be stored in a lease that this node holds.
func (t *Task) SetData(name string, data []byte) error {
	return t.task.Post(SetData{Name: name, Data: data})
}

// Release ends this node's candidacy and hands the lease, with data for the
// next holder, over to the first candidate that takes it. The caller must have
// stopped acting on the lease. It returns false if the lease was not held or
// could not be released before it expired.
func (t *Task) Release(ctx context.Context, name string, data []byte) (bool, error) {
	return runner.Ask[bool](ctx, t.task,
		func(call runner.Call) Message { return Release{Call: call, Name: name, Data: data} }, nil)
}

// Resume makes this node a candidate for a lease again that it has released.
func (t *Task) Resume(name string) error { return t.task.Post(Resume{Name: name}) }

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Read:
		handle.Start(func(ctx context.Context) Message { return t.read(ctx, effect) })
	case Write:
		handle.Start(func(ctx context.Context) Message { return t.write(ctx, effect) })
	case Held:
		t.settings.Publish(effect)
	case Lost:
		t.settings.Publish(effect)
	case Stored:
		t.settings.Publish(effect)
	case Observed:
		t.settings.Publish(effect)
	case AnswerRelease:
		handle.Reply(effect.Call, effect.Released)
	}
}

func (t *Task) read(ctx context.Context, effect Read) Message {
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, callTimeout)
	defer cancel()
	object, err := t.settings.Store.Get(ctx, objectID(effect.Name))
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return ReadDone{Name: effect.Name, Outcome: Missing, Era: object.Era}
	case err != nil:
		return ReadDone{Name: effect.Name, Outcome: Unavailable}
	}
	lease, err := decodeLease(object.Data)
	if err != nil {
		// A lease that cannot be decoded must not be acted on.
		t.settings.LogUnreadable(effect.Name, err)
		return ReadDone{Name: effect.Name, Outcome: Unavailable}
	}
	return ReadDone{Name: effect.Name, Outcome: Done, Era: object.Era, Version: object.Version, Lease: lease}
}

func (t *Task) write(ctx context.Context, effect Write) Message {
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, callTimeout)
	defer cancel()
	object, err := t.settings.Store.Put(ctx, objectID(effect.Name), effect.IfVersion, encodeLease(effect.Lease))
	return WriteDone{Name: effect.Name, Outcome: classifyWrite(err), Era: object.Era, Version: object.Version}
}

func classifyWrite(err error) Outcome {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, storer.ErrConflict):
		return Conflict
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrTooLarge):
		return Unavailable
	}
	return Uncertain
}

// objectID returns the ID of a lease object. The names of regional leases
// contain a slash, which object names must not.
func objectID(name string) storer.ID {
	return storer.ID{Kind: Kind, Name: strings.ReplaceAll(name, "/", "@")}
}
