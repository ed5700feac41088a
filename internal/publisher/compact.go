package publisher

import (
	"context"
	"errors"
	"fmt"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

const (
	// maxHeadBytes is the size of the head's changes above which they are
	// compacted. Every watcher receives the head with every change.
	maxHeadBytes = 64 << 10
	// maxRetainedBytes of changes stay in the head, so that a node that lags by a
	// few changes need not read the base.
	maxRetainedBytes = 16 << 10
	// maxPartBytes bounds the text of a part, which grows by a third in base64.
	// The platform holds 1 MiB.
	maxPartBytes = 400 << 10
)

// compact moves the older changes of a head into a new base and an audit
// segment once the head is large. The objects are named by versions and
// written before the head that refers to them, so that a crash in between
// leaves only objects that the next try overwrites with the same content.
func (p Publisher) compact(ctx context.Context, head releaser.Head) (releaser.Head, error) {
	if len(parser.EncodeChanges(head.Changes)) <= maxHeadBytes {
		return head, nil
	}
	retained := retainedChanges(head.Changes)
	compacted := head.Changes[:len(head.Changes)-len(retained)]
	if len(compacted) == 0 {
		// A single large change stays until the next one comes.
		return head, nil
	}
	base, err := configurer.ReadParts(ctx, p.Store, head)
	if err != nil {
		return head, err
	}
	if base, err = releaser.Replay(base, compacted); err != nil {
		return head, err
	}
	parts, err := p.writeParts(ctx, base)
	if err != nil {
		return head, err
	}
	segment := storer.ID{Kind: configurer.AuditKind, Name: segmentName(compacted)}
	if err := p.ensureObject(ctx, segment, parser.EncodeChanges(compacted)); err != nil {
		return head, err
	}
	head.BaseVersion = base.Version
	head.Parts = parts
	head.Changes = retained
	return head, nil
}

// retainedChanges returns the last changes that fit into maxRetainedBytes, at least one.
func retainedChanges(changes []releaser.Change) []releaser.Change {
	first := len(changes) - 1
	for first > 0 && len(parser.EncodeChanges(changes[first-1:])) <= maxRetainedBytes {
		first--
	}
	return changes[first:]
}

// segmentName sorts by version as text.
func segmentName(changes []releaser.Change) string {
	return fmt.Sprintf("%020d-%020d", changes[0].Version, changes[len(changes)-1].Version)
}

func (p Publisher) writeParts(ctx context.Context, base *releaser.Configuration) ([]string, error) {
	text := parser.EncodeConfiguration(base)
	var names []string
	for number := 0; len(text) > 0; number++ {
		size := min(maxPartBytes, len(text))
		name := fmt.Sprintf("%020d-%d", base.Version, number)
		if err := p.ensureObject(ctx, storer.ID{Kind: configurer.PartKind, Name: name}, parser.EncodePart(text[:size])); err != nil {
			return nil, err
		}
		names = append(names, name)
		text = text[size:]
	}
	return names, nil
}

// ensureObject writes an object whose name decides its content. An object that is
// there already is the same; it is read, because a head that refers to an
// object that is missing cannot be read by anyone.
func (p Publisher) ensureObject(ctx context.Context, id storer.ID, data []byte) error {
	_, err := p.Store.Put(ctx, id, 0, data)
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	if _, readErr := p.Store.Get(ctx, id); readErr != nil {
		return err
	}
	return nil
}
