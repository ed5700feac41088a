package publisher

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

var (
	// ErrContended reports that every attempt conflicted with another operator's
	// change. Nothing was applied.
	ErrContended = merry.Sentinel("too many concurrent changes; try again")
	// ErrUnconfirmed reports that the object API was restored from an older copy and no
	// node has confirmed since that the change log is complete. Nothing was applied.
	ErrUnconfirmed = merry.Sentinel("the object API was restored and no node has confirmed the change log yet; try again")
)

const (
	// maxAttempts is the maximum number of attempts to append a change to the newest
	// head.
	maxAttempts = 20
	// confirmationTimeout is how long a change waits until the log is confirmed. It is
	// above configurer.ConfirmationDelay and the time that relays take to notice the
	// restoration.
	confirmationTimeout = 15 * time.Second
	// confirmationInterval is the time between two reads of the log meanwhile.
	confirmationInterval = 500 * time.Millisecond
)

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
	// Era is the era of the object API.
	Era  uint64
	Head releaser.Head
	// Configuration is the configuration after the last change.
	Configuration *releaser.Configuration
}

// Read returns a snapshot of the log. The error is one of package storer's.
func (p Publisher) Read(ctx context.Context) (Log, error) {
	object, err := p.Store.Get(ctx, configurer.HeadID)
	if errors.Is(err, storer.ErrNotFound) {
		return Log{Era: object.Era, Configuration: releaser.Empty()}, nil
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
	return Log{ObjectVersion: object.Version, Era: object.Era, Head: head, Configuration: configuration}, nil
}

// readConfirmed returns a snapshot of a log that lacks no accepted change. After a
// restoration of the object API it waits until the nodes have written lost changes again.
func (p Publisher) readConfirmed(ctx context.Context) (Log, error) {
	for waited := time.Duration(0); ; waited += confirmationInterval {
		log, err := p.Read(ctx)
		if err != nil || log.Head.Era == log.Era {
			return log, err
		}
		if waited >= confirmationTimeout {
			return Log{}, merry.Wrap(ErrUnconfirmed, merry.AppendMessagef("era %d, confirmed in era %d", log.Era, log.Head.Era))
		}
		select {
		case <-ctx.Done():
			return Log{}, merry.Wrap(storer.ErrUnavailable, merry.AppendMessagef("%v", context.Cause(ctx)))
		case <-p.Clock.After(confirmationInterval):
		}
	}
}

// Submit appends a change to the log and returns it. It returns
// releaser.ErrConflict if another note was accepted first, releaser.ErrInvalid if
// the change breaks a rule, storer.ErrUncertain if the change may have been
// accepted, and ErrContended, ErrUnconfirmed or storer.ErrUnavailable if it was not.
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
		log, err := p.readConfirmed(ctx)
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
	written, err := p.Store.Put(ctx, configurer.HeadID, log.ObjectVersion, parser.EncodeHead(head))
	if err != nil {
		return releaser.Change{}, err
	}
	if written.Era != log.Era {
		// The version on which the write was conditional is of an earlier era.
		return releaser.Change{}, merry.Wrap(storer.ErrUncertain, merry.AppendMessagef("restored during the write: era %d, then %d", log.Era, written.Era))
	}
	accepted, _ := head.Find(change.ID)
	return accepted, nil
}
