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

// Identifiers of the objects that store the change log.
var (
	// HeadID identifies the head of the change log.
	HeadID = storer.ID{Kind: "Configuration", Name: "Head"}
	// PartKind is the object kind of the parts of a base configuration.
	PartKind = "ConfigurationPart"
	// AuditKind is the object kind of compacted changes.
	AuditKind = "ConfigurationAudit"
)

const inboxSize = 256

// Task runs a Configurer.
type Task = runner.Task[Message, Effect]

// TaskSettings are the dependencies of a configurer's task.
type TaskSettings struct {
	Clock      clockwork.Clock
	Controller *Configurer
	Store      storer.Store
	View       *View
	// Pull requests the changes above version from a peer.
	Pull func(ctx context.Context, address string, version uint64) (Answer, error)
	// PushChanges sends changes to the other nodes. version is that of the
	// last change.
	PushChanges func(version uint64, changes []releaser.Change)
	// OnPublish is called with every configuration that comes into force,
	// after View has been updated.
	OnPublish func(*releaser.Configuration)
	Log       func(Note)
}

// NewTask returns a task that runs settings.Controller.
func NewTask(settings TaskSettings) *Task {
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "configurer",
		Clock:      settings.Clock,
		Controller: settings.Controller,
		Tick:       Tick{},
		Perform:    settings.perform,
		InboxSize:  inboxSize,
	})
}

func (s TaskSettings) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case WatchHead:
		started := s.Clock.Now()
		handle.Start(func(ctx context.Context) Message { return s.watchHead(ctx, started, effect) })
	case ReadBase:
		handle.Start(func(ctx context.Context) Message { return s.readBase(ctx, effect.Head) })
	case RestoreHead:
		handle.Start(func(ctx context.Context) Message { return s.restoreHead(ctx, effect) })
	case Pull:
		started := s.Clock.Now()
		handle.Start(func(ctx context.Context) Message { return s.pull(ctx, started, effect) })
	case AnswerPull:
		handle.Reply(effect.Call, effect.Answer)
	case Publish:
		s.View.publish(effect.Configuration)
		s.OnPublish(effect.Configuration)
	case Note:
		s.Log(effect)
	case PublishContacts:
		s.View.publishContacts(effect.Contacts)
	case PushChanges:
		s.PushChanges(effect.Changes[len(effect.Changes)-1].Version, effect.Changes)
	}
}

func (s TaskSettings) watchHead(ctx context.Context, started time.Time, effect WatchHead) Message {
	object, err := s.Store.Watch(ctx, HeadID, effect.After, effect.Wait)
	switch {
	case errors.Is(err, storer.ErrUnchanged):
		return HeadUnchanged{Started: started, Era: object.Era}
	case errors.Is(err, storer.ErrNotFound):
		return HeadMissing{Started: started, Era: object.Era}
	case err != nil:
		return HeadFailed{}
	}
	head, err := parser.DecodeHead(object.Data)
	if err != nil {
		return HeadFailed{}
	}
	return HeadRead{Started: started, Era: object.Era, ObjectVersion: object.Version, Head: head}
}

func (s TaskSettings) restoreHead(ctx context.Context, effect RestoreHead) Message {
	_, err := s.Store.Put(ctx, HeadID, effect.IfVersion, parser.EncodeHead(effect.Head))
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return HeadFailed{}
	}
	return HeadRestored{}
}

func (s TaskSettings) readBase(ctx context.Context, headRead HeadRead) Message {
	base, err := ReadBaseConfiguration(ctx, s.Store, headRead.Head)
	if err != nil {
		return HeadFailed{}
	}
	return BaseRead{Head: headRead, Base: base}
}

// ReadBaseConfiguration reads the base configuration of a head, which is stored
// in parts, from the object API.
func ReadBaseConfiguration(ctx context.Context, store storer.Store, head releaser.Head) (*releaser.Configuration, error) {
	if head.BaseVersion == 0 {
		return releaser.Empty(), nil
	}
	var encoded []byte
	for _, name := range head.Parts {
		part, err := store.Get(ctx, storer.ID{Kind: PartKind, Name: name})
		if err != nil {
			return nil, err
		}
		fragment, err := parser.DecodePart(part.Data)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, fragment...)
	}
	return parser.DecodeConfiguration(encoded)
}

func (s TaskSettings) pull(ctx context.Context, started time.Time, effect Pull) Message {
	answer, err := s.Pull(ctx, effect.Peer.Address, effect.Version)
	if err != nil {
		return PullFailed{Peer: effect.Peer.Name}
	}
	return PullAnswered{Peer: effect.Peer.Name, Started: started, Answer: answer}
}

// HandlePull returns the task's answer to a peer's pull of the changes above
// version.
func HandlePull(ctx context.Context, task *Task, version uint64) (Answer, error) {
	return runner.Ask[Answer](ctx, task,
		func(call runner.Call) Message { return PullRequested{Call: call, Version: version} }, nil)
}

// ChangesItem returns the item that pushes changes to the nodes of a data
// centre.
func ChangesItem(version uint64, changes []releaser.Change) spreader.Item {
	return spreader.Item{
		Kind:    spreader.Changes,
		Version: version,
		Scope:   spreader.DataCentre,
		Value:   parser.EncodeChanges(changes),
	}
}
