package placer

import (
	"context"
	"errors"
	"fmt"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
)

// ObjectKind is the kind of the stored objects that hold the decided state. A
// region's object is named after the region.
const ObjectKind = "Placement"

// TaskSettings holds the settings of a placer's task.
type TaskSettings struct {
	Clock  clockwork.Clock
	Placer Settings
	Store  storer.Store
	Sender Sender
	// OnPublish is called with every new view. It must not block.
	OnPublish func(View)
}

// Sender sends orders to endpoints.
type Sender interface {
	// Send sends an order once, unless its lease has expired, and returns what
	// is known about the result.
	Send(ctx context.Context, order Order) OrderAnswered
}

// Task is a running placer.
type Task = runner.Task[Message, Effect]

// inboxSize holds one second of demand from 300 nodes for ten models each.
const inboxSize = 3000

// NewTask returns a placer's task, which does nothing until it is run.
func NewTask(settings TaskSettings) *Task {
	performer := performer{
		settings: settings,
		object:   storer.ID{Kind: ObjectKind, Name: settings.Placer.Region},
	}
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "placer",
		Clock:      settings.Clock,
		Controller: New(settings.Placer),
		Tick:       Tick{},
		Perform:    performer.perform,
		InboxSize:  inboxSize,
	})
}

// performer executes the effects of a placer.
type performer struct {
	settings TaskSettings
	object   storer.ID
}

func (p performer) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case ReadObject:
		handle.Start(func(ctx context.Context) Message { return p.read(ctx, effect) })
	case WriteObject:
		handle.Start(func(ctx context.Context) Message { return p.write(ctx, effect) })
	case SendOrder:
		handle.Start(func(ctx context.Context) Message { return p.settings.Sender.Send(ctx, effect.Order) })
	case Publish:
		if p.settings.OnPublish != nil {
			p.settings.OnPublish(effect.View)
		}
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

func (p performer) read(ctx context.Context, effect ReadObject) Message {
	object, err := p.settings.Store.Get(ctx, p.object)
	if errors.Is(err, storer.ErrNotFound) {
		return ObjectRead{Ticket: effect.Ticket, Era: object.Era}
	}
	if err != nil {
		return ReadFailed{Ticket: effect.Ticket, Detail: err.Error()}
	}
	placement, err := Decode(object.Data)
	if err != nil {
		return ReadFailed{Ticket: effect.Ticket, Detail: err.Error()}
	}
	return ObjectRead{Ticket: effect.Ticket, Era: object.Era, Version: object.Version, Placement: placement}
}

func (p performer) write(ctx context.Context, effect WriteObject) Message {
	object, err := p.settings.Store.Put(ctx, p.object, effect.IfVersion, Encode(effect.Placement))
	switch {
	case err == nil:
		return ObjectWritten{Ticket: effect.Ticket, Era: object.Era, Version: object.Version}
	case errors.Is(err, storer.ErrConflict):
		return WriteFailed{Ticket: effect.Ticket, Conflict: true, Detail: err.Error()}
	case errors.Is(err, storer.ErrUncertain):
		return WriteUncertain{Ticket: effect.Ticket, Detail: err.Error()}
	default:
		return WriteFailed{Ticket: effect.Ticket, Detail: err.Error()}
	}
}
