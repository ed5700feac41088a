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
	// compacted. Every watcher receives the whole head after each change.
	maxHeadBytes = 64 << 10
	// maxRetainedBytes is the size of the changes that remain in the head after a
	// compaction, so that a node that is a few changes behind does not have to
	// read the base.
	maxRetainedBytes = 16 << 10
	// maxPartBytes is the maximum size of a part's text. The text grows by a
	// third in base64, and the platform stores at most 1 MiB per object.
	maxPartBytes = 400 << 10
)

// compact moves the older changes of a head into a new base and an audit
// segment once the head is large. The objects are named by versions and
// written before the head that refers to them, so that a crash in between
// leaves only objects that the next attempt would write with the same content.
func (p Publisher) compact(ctx context.Context, head releaser.Head) (releaser.Head, error) {
	if len(parser.EncodeChanges(head.Changes)) <= maxHeadBytes {
		return head, nil
	}
	retained := retainedChanges(head.Changes)
	compacted := head.Changes[:len(head.Changes)-len(retained)]
	if len(compacted) == 0 {
		// A single large change remains in the head until the next change.
		return head, nil
	}
	base, err := configurer.ReadBaseConfiguration(ctx, p.Store, head)
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

// retainedChanges returns the last changes that fit into maxRetainedBytes, but at
// least one.
func retainedChanges(changes []releaser.Change) []releaser.Change {
	first := len(changes) - 1
	for first > 0 && len(parser.EncodeChanges(changes[first-1:])) <= maxRetainedBytes {
		first--
	}
	return changes[first:]
}

// segmentName returns the name of an audit segment. The versions are padded with
// zeros, so that the names sort by version as text.
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

// ensureObject writes an object whose name determines its content, so that an
// existing object is identical. After a conflict it reads the object to check that
// it exists, because no node could read a head that refers to a missing object.
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
