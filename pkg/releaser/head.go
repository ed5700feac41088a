package releaser

import "slices"

// Head is the head of the change log: the configuration at BaseVersion, which is
// stored in parts, and the changes since then.
type Head struct {
	// Version is the configuration's version after the last change.
	Version     uint64
	BaseVersion uint64
	// Parts are the names of the objects whose concatenation, in this order, is
	// the JSON form of the base configuration. It is empty if BaseVersion is 0.
	Parts []string
	// Changes are the changes with versions BaseVersion+1 to Version.
	Changes []Change
	// Era is the era of the object API in which the nodes have confirmed that the log lacks
	// no change that was accepted. An object API that is restored from an older copy begins
	// a new era. No change may be appended before it is confirmed.
	Era uint64
}

// Since returns the changes with versions above version, and false if the
// head no longer has them all.
func (h Head) Since(version uint64) ([]Change, bool) {
	if version < h.BaseVersion {
		return nil, false
	}
	index, _ := slices.BinarySearchFunc(h.Changes, version+1, func(change Change, version uint64) int {
		return int(int64(change.Version) - int64(version))
	})
	return h.Changes[index:], true
}

// Find returns the change with an ID. A writer that lost the reply to its write
// uses it to recognise its own change.
func (h Head) Find(id string) (Change, bool) {
	index := slices.IndexFunc(h.Changes, func(change Change) bool { return change.ID == id })
	if index < 0 {
		return Change{}, false
	}
	return h.Changes[index], true
}

// Append returns a head with one more change. It returns ErrConflict or
// ErrInvalid if the change cannot follow current, which must be the
// configuration at the head's version.
func (h Head) Append(current *Configuration, change Change) (Head, *Configuration, error) {
	next, err := Apply(current, change.Body)
	if err != nil {
		return Head{}, nil, err
	}
	change.Version = next.Version
	h.Version = next.Version
	h.Changes = append(slices.Clone(h.Changes), change)
	return h, next, nil
}

// Replay applies consecutive changes to a configuration. Changes that the
// configuration already includes are skipped. It returns ErrInvalid or
// ErrConflict for a change that cannot be applied, and ErrInvalid for a gap in
// the versions.
func Replay(base *Configuration, changes []Change) (*Configuration, error) {
	next := base
	for _, change := range changes {
		if change.Version <= next.Version {
			continue
		}
		if change.Version != next.Version+1 {
			return nil, wrapf(ErrInvalid, "change %d does not follow version %d", change.Version, next.Version)
		}
		if next == base {
			// All changes are applied to one copy: a copy for each change took
			// most of the time to read a long head.
			next = base.clone()
		}
		if err := next.apply(change.Body); err != nil {
			return nil, wrapf(err, "change %d", change.Version)
		}
	}
	return next, nil
}
