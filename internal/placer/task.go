package placer

import (
	"context"
	"errors"
	"fmt"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
)

// ObjectKind is the kind of the objects that hold the decided state; a
// region's object has the region's name.
const ObjectKind = "Placement"

// TaskSettings describe a placer's task.
type TaskSettings struct {
	Clock  clockwork.Clock
	Placer Settings
	Store  storer.Store
	Sender Sender
	// Published receives every new view. It must not block.
	Published func(View)
}

// Task is a running placer.
type Task = runner.Task[Message, Effect]

// inboxSize is a second's demand of 300 nodes for ten models each.
const inboxSize = 3000

// NewTask returns a placer's task. It does nothing until it runs.
func NewTask(settings TaskSettings) *Task {
	hand := hand{
		settings: settings,
		object:   storer.ID{Kind: ObjectKind, Name: settings.Placer.Region},
	}
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "placer",
		Clock:      settings.Clock,
		Controller: New(settings.Placer),
		Tick:       Tick{},
		Perform:    hand.perform,
		Inbox:      inboxSize,
	})
}

// hand carries out the effects of a placer.
type hand struct {
	settings TaskSettings
	object   storer.ID
}

func (h hand) perform(hands runner.Hands[Message], effect Effect) {
	switch effect := effect.(type) {
	case ReadObject:
		hands.Start(func(ctx context.Context) Message { return h.read(ctx, effect) })
	case WriteObject:
		hands.Start(func(ctx context.Context) Message { return h.write(ctx, effect) })
	case SendOrder:
		hands.Start(func(ctx context.Context) Message { return h.settings.Sender.Send(ctx, effect.Order) })
	case Publish:
		if h.settings.Published != nil {
			h.settings.Published(effect.View)
		}
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

func (h hand) read(ctx context.Context, effect ReadObject) Message {
	object, err := h.settings.Store.Get(ctx, h.object)
	if errors.Is(err, storer.ErrNotFound) {
		return ObjectRead{Ticket: effect.Ticket}
	}
	if err != nil {
		return ReadFailed{Ticket: effect.Ticket, Detail: err.Error()}
	}
	placement, err := Decode(object.Data)
	if err != nil {
		return ReadFailed{Ticket: effect.Ticket, Detail: err.Error()}
	}
	return ObjectRead{Ticket: effect.Ticket, Version: object.Version, Placement: placement}
}

func (h hand) write(ctx context.Context, effect WriteObject) Message {
	object, err := h.settings.Store.Put(ctx, h.object, effect.IfVersion, Encode(effect.Placement))
	switch {
	case err == nil:
		return ObjectWritten{Ticket: effect.Ticket, Version: object.Version}
	case errors.Is(err, storer.ErrConflict):
		return WriteFailed{Ticket: effect.Ticket, Conflict: true, Detail: err.Error()}
	case errors.Is(err, storer.ErrUncertain):
		return WriteUncertain{Ticket: effect.Ticket, Detail: err.Error()}
	default:
		return WriteFailed{Ticket: effect.Ticket, Detail: err.Error()}
	}
}
