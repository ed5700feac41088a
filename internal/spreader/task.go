package spreader

import (
	"context"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
)

const inboxSize = 1024

// Task runs a Spreader.
type Task = runner.Task[Message, Effect]

// TaskSettings configures the task of a spreader.
type TaskSettings struct {
	Clock      clockwork.Clock
	Controller *Spreader
	// Push sends items to the peer at an address.
	Push func(ctx context.Context, address string, items []Item) error
	// Deliver passes an item received from a peer to this node's tasks. It must
	// not block.
	Deliver func(Item)
	// PushResult is called after each push with whether the peer answered it.
	PushResult func(peer string, answered bool)
}

// NewTask returns the task of a spreader.
func NewTask(settings TaskSettings) *Task {
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "spreader",
		Clock:      settings.Clock,
		Controller: settings.Controller,
		Tick:       Tick{},
		Perform:    settings.perform,
		InboxSize:  inboxSize,
	})
}

func (s TaskSettings) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case Push:
		handle.Start(func(ctx context.Context) Message {
			err := s.Push(ctx, effect.Peer.Address, effect.Items)
			s.PushResult(effect.Peer.Name, err == nil)
			return Tick{}
		})
	case Deliver:
		s.Deliver(effect.Item)
	}
}
