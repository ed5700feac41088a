package publisher

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// ErrContended reports that every attempt conflicted with another operator's
// change. Nothing was applied.
var ErrContended = merry.Sentinel("too many concurrent changes; try again")

// maxAttempts is the maximum number of attempts to append a change to the newest
// head.
const maxAttempts = 20

// Publisher writes changes on behalf of an operator.
type Publisher struct {
	Store storer.Store
	Clock clockwork.Clock
	// Actor names the operator in the audit trail.
	Actor string
}

// Log is a snapshot of the change log.
type Log struct {
	// ObjectVersion is the platform's version of the head object, 0 if the object
	// does not exist yet.
	ObjectVersion uint64
	Head          releaser.Head
	// Configuration is the configuration after the last change.
	Configuration *releaser.Configuration
}

// Read returns a snapshot of the log. The error is one of package storer's.
func (p Publisher) Read(ctx context.Context) (Log, error) {
	object, err := p.Store.Get(ctx, configurer.HeadID)
	if errors.Is(err, storer.ErrNotFound) {
		return Log{Configuration: releaser.Empty()}, nil
	}
	if err != nil {
		return Log{}, err
	}
	head, err := parser.DecodeHead(object.Data)
	if err != nil {
		return Log{}, err
	}
	base, err := configurer.ReadBaseConfiguration(ctx, p.Store, head)
	if err != nil {
		return Log{}, err
	}
	configuration, err := releaser.Replay(base, head.Changes)
	if err != nil {
		return Log{}, err
	}
	return Log{ObjectVersion: object.Version, Head: head, Configuration: configuration}, nil
}

// Submit appends a change to the log and returns it. It returns
// releaser.ErrConflict if another note was accepted first, releaser.ErrInvalid if
// the change breaks a rule, storer.ErrUncertain if the change may have been
// accepted, and ErrContended or storer.ErrUnavailable if it was not.
func (p Publisher) Submit(ctx context.Context, body releaser.Body) (releaser.Change, error) {
	change := releaser.Change{
		ID:    uuid.NewString(),
		Actor: p.Actor,
		Time:  p.Clock.Now().UTC(),
		Body:  body,
	}
	uncertain := false
	var firstUncertainVersion uint64 // version of the log before the first uncertain attempt
	for range maxAttempts {
		log, err := p.Read(ctx)
		if err != nil {
			return releaser.Change{}, finalError(err, uncertain)
		}
		if uncertain {
			accepted, ok, err := p.findChange(ctx, log, firstUncertainVersion, change.ID)
			if err != nil {
				return releaser.Change{}, finalError(err, uncertain)
			}
			if ok {
				return accepted, nil
			}
		}
		accepted, err := p.attempt(ctx, log, change)
		switch {
		case err == nil:
			return accepted, nil
		case errors.Is(err, storer.ErrUncertain):
			// The next read of the log shows whether it contains the change.
			if !uncertain {
				firstUncertainVersion = log.Head.Version
			}
			uncertain = true
		case !errors.Is(err, storer.ErrConflict):
			return releaser.Change{}, finalError(err, uncertain)
		}
	}
	return releaser.Change{}, finalError(ErrContended, uncertain)
}

// findChange looks for a change that was first attempted at the version since. If
// the head no longer goes back to that version, it reads the audit segments too.
func (p Publisher) findChange(ctx context.Context, log Log, since uint64, id string) (releaser.Change, bool, error) {
	changes, ok := log.Head.Since(since)
	if !ok {
		var err error
		if changes, err = p.Audit(ctx, since); err != nil {
			return releaser.Change{}, false, err
		}
	}
	found, ok := releaser.Head{Changes: changes}.Find(id)
	return found, ok, nil
}

// finalError returns err, or ErrUncertain if an earlier attempt may have
// succeeded. A conflict or an invalid change is certain even then, because the
// log was read after that attempt and did not contain the change.
func finalError(err error, uncertain bool) error {
	if uncertain && !errors.Is(err, releaser.ErrConflict) && !errors.Is(err, releaser.ErrInvalid) {
		return merry.Wrap(storer.ErrUncertain, merry.AppendMessage(err.Error()))
	}
	return err
}

func (p Publisher) attempt(ctx context.Context, log Log, change releaser.Change) (releaser.Change, error) {
	head, _, err := log.Head.Append(log.Configuration, change)
	if err != nil {
		return releaser.Change{}, err
	}
	if head, err = p.compact(ctx, head); err != nil {
		return releaser.Change{}, err
	}
	if _, err := p.Store.Put(ctx, configurer.HeadID, log.ObjectVersion, parser.EncodeHead(head)); err != nil {
		return releaser.Change{}, err
	}
	accepted, _ := head.Find(change.ID)
	return accepted, nil
}
