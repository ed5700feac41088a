package resumer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// inboxSize is large enough for the streams that begin at a node within a second.
	inboxSize = 4096
	// askTimeout bounds the question to a keeper. Callers give a stream up after a pause of
	// two seconds.
	askTimeout = 300 * time.Millisecond
)

// Peers sends messages to other nodes.
type Peers interface {
	RememberStreams(ctx context.Context, address string, records []Record) error
	LookUpStream(ctx context.Context, address, stream string) (Origin, bool, error)
}

// Settings configures a node's resumer.
type Settings struct {
	Clock clockwork.Clock
	Peers Peers
	// SetBeginning receives the versions that may begin streams, LogUndelivered the errors of
	// messages to other nodes, and LogError those of the inbox. They must not block.
	SetBeginning   func(SetBeginning)
	LogUndelivered func(address string, err error)
	LogError       func(error)
}

// Task finds the origins of streams for a node.
type Task struct {
	settings Settings
	task     *runner.Task[Message, Effect]
}

// New returns a task that is idle until Run is called.
func New(settings Settings) *Task {
	t := &Task{settings: settings}
	t.task = runner.New(runner.Settings[Message, Effect]{
		Name:       "resumer",
		Clock:      settings.Clock,
		Controller: NewController(),
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

// RecordBegun records the origin of a stream before its first event is passed on.
func (t *Task) RecordBegun(begun StreamBegun) {
	if err := t.task.Post(begun); err != nil {
		t.settings.LogError(err)
	}
}

// Find returns the origin of a stream. The Call of the question is set by the task.
func (t *Task) Find(ctx context.Context, find Find) (Found, error) {
	return runner.Ask[Found](ctx, t.task,
		func(call runner.Call) Message {
			find.Call = call
			return find
		},
		func(call runner.Call) Message { return CancelFind{call} })
}

// LookUp returns the origin of a stream as far as this node knows it, and false if it does
// not.
func (t *Task) LookUp(ctx context.Context, stream string) (Origin, bool, error) {
	answer, err := runner.Ask[AnswerLookup](ctx, t.task,
		func(call runner.Call) Message { return Lookup{call, stream} }, nil)
	return answer.Origin, answer.Known, err
}

func (t *Task) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case SendRecords:
		handle.Start(func(ctx context.Context) Message {
			if err := t.settings.Peers.RememberStreams(ctx, effect.Address, effect.Records); err != nil {
				t.settings.LogUndelivered(effect.Address, err)
			}
			return Tick{}
		})
	case AskKeeper:
		handle.Start(func(ctx context.Context) Message { return t.askKeeper(ctx, effect) })
	case AnswerFind:
		handle.Reply(effect.Call, effect.Found)
	case AnswerLookup:
		handle.Reply(effect.Call, effect)
	case SetBeginning:
		t.settings.SetBeginning(effect)
	}
}

func (t *Task) askKeeper(ctx context.Context, effect AskKeeper) Message {
	ctx, cancel := clockwork.WithTimeout(ctx, t.settings.Clock, askTimeout)
	defer cancel()
	origin, known, err := t.settings.Peers.LookUpStream(ctx, effect.Address, effect.Stream)
	return KeeperAnswered{Find: effect.Find, Origin: origin, Known: known, Failed: err != nil}
}
