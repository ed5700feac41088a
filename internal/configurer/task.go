package configurer

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Objects of the change log.
var (
	// Head is the head of the change log.
	Head = storer.ID{Kind: "Configuration", Name: "Head"}
	// PartKind is the kind of the parts of a base configuration.
	PartKind = "ConfigurationPart"
	// AuditKind is the kind of compacted changes.
	AuditKind = "ConfigurationAudit"
)

const inbox = 256

// Task runs a Configurer.
type Task = runner.Task[Message, Effect]

// TaskSettings is what a configurer's task needs.
type TaskSettings struct {
	Clock      clockwork.Clock
	Controller *Configurer
	Store      storer.Store
	View       *View
	// Pull sends a pull to a peer.
	Pull func(ctx context.Context, address string, version uint64) (Answer, error)
	// Pushed takes changes to be pushed to the other nodes.
	Pushed func(version uint64, changes []releaser.Change)
	// InForce is told of every configuration that comes into force.
	InForce func(*releaser.Configuration)
}

// NewTask returns the task of a configurer.
func NewTask(settings TaskSettings) *Task {
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "configurer",
		Clock:      settings.Clock,
		Controller: settings.Controller,
		Tick:       Tick{},
		Perform:    settings.perform,
		InboxSize:  inbox,
	})
}

func (s TaskSettings) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case WatchHead:
		started := s.Clock.Now()
		handle.Start(func(ctx context.Context) Message { return s.watchHead(ctx, started, effect) })
	case ReadBase:
		handle.Start(func(ctx context.Context) Message { return s.readBase(ctx, effect.Head) })
	case Pull:
		started := s.Clock.Now()
		handle.Start(func(ctx context.Context) Message { return s.pull(ctx, started, effect) })
	case AnswerPull:
		handle.Reply(effect.Call, effect.Answer)
	case Publish:
		s.View.publish(effect.Configuration)
		s.InForce(effect.Configuration)
	case PublishContacts:
		s.View.publishContacts(effect.Contacts)
	case PushChanges:
		s.Pushed(effect.Changes[len(effect.Changes)-1].Version, effect.Changes)
	}
}

func (s TaskSettings) watchHead(ctx context.Context, started time.Time, effect WatchHead) Message {
	object, err := s.Store.Watch(ctx, Head, effect.After, effect.Wait)
	switch {
	case errors.Is(err, storer.ErrUnchanged):
		return HeadUnchanged{Started: started}
	case errors.Is(err, storer.ErrNotFound):
		return HeadMissing{Started: started}
	case err != nil:
		return HeadFailed{}
	}
	head, err := parser.DecodeHead(object.Data)
	if err != nil {
		return HeadFailed{}
	}
	return HeadRead{Started: started, ObjectVersion: object.Version, Head: head}
}

func (s TaskSettings) readBase(ctx context.Context, read HeadRead) Message {
	base, err := ReadParts(ctx, s.Store, read.Head)
	if err != nil {
		return HeadFailed{}
	}
	return BaseRead{Head: read, Base: base}
}

// ReadParts reads the base configuration of a head from the object API.
func ReadParts(ctx context.Context, store storer.Store, head releaser.Head) (*releaser.Configuration, error) {
	if head.BaseVersion == 0 {
		return releaser.Empty(), nil
	}
	var text []byte
	for _, name := range head.Parts {
		part, err := store.Get(ctx, storer.ID{Kind: PartKind, Name: name})
		if err != nil {
			return nil, err
		}
		piece, err := parser.DecodePart(part.Data)
		if err != nil {
			return nil, err
		}
		text = append(text, piece...)
	}
	return parser.DecodeConfiguration(text)
}

func (s TaskSettings) pull(ctx context.Context, started time.Time, effect Pull) Message {
	answer, err := s.Pull(ctx, effect.Peer.Address, effect.Version)
	if err != nil {
		return PullFailed{Peer: effect.Peer.Name}
	}
	return PullAnswered{Peer: effect.Peer.Name, Started: started, Answer: answer}
}

// Ask answers a peer's pull.
func Ask(ctx context.Context, task *Task, version uint64) (Answer, error) {
	return runner.Ask[Answer](ctx, task,
		func(call runner.Call) Message { return PullAsked{Call: call, Version: version} }, nil)
}

// PushedItem is the item by which changes travel between nodes.
func PushedItem(version uint64, changes []releaser.Change) spreader.Item {
	return spreader.Item{
		Kind:    spreader.Changes,
		Version: version,
		Scope:   spreader.DataCentre,
		Value:   parser.EncodeChanges(changes),
	}
}
