package publisher

import (
	"cmp"
	"context"
	"slices"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/pkg/parser"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// Audit returns all changes with versions above since, oldest first. The error
// is one of package storer's.
func (p Publisher) Audit(ctx context.Context, since uint64) ([]releaser.Change, error) {
	log, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	if changes, ok := log.Head.Since(since); ok {
		return changes, nil
	}
	compacted, err := p.readSegments(ctx, since)
	if err != nil {
		return nil, err
	}
	changes := slices.Clone(compacted)
	for _, change := range log.Head.Changes {
		// A segment may overlap the head if the attempt that wrote it ended in a
		// conflict. The overlapping changes are identical.
		if len(changes) == 0 || change.Version > changes[len(changes)-1].Version {
			changes = append(changes, change)
		}
	}
	return changes, nil
}

func (p Publisher) readSegments(ctx context.Context, since uint64) ([]releaser.Change, error) {
	objects, err := p.Store.List(ctx, configurer.AuditKind, "")
	if err != nil {
		return nil, err
	}
	slices.SortFunc(objects, func(a, b storer.Object) int { return cmp.Compare(a.Name, b.Name) })
	var changes []releaser.Change
	last := since
	for _, object := range objects {
		segment, err := p.Store.Get(ctx, object.ID)
		if err != nil {
			return nil, err
		}
		decoded, err := parser.DecodeChanges(segment.Data)
		if err != nil {
			return nil, err
		}
		for _, change := range decoded {
			if change.Version > last {
				changes = append(changes, change)
				last = change.Version
			}
		}
	}
	return changes, nil
}
