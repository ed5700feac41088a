package emulator

import (
	"slices"
	"time"
)

// changeLifetime is the age up to which changes are kept for Restore.
const changeLifetime = time.Minute

// fleetChange is a change of one object of a FleetStore.
type fleetChange struct {
	at         time.Time
	kind, name string
	// before is the object before the change, nil if there was none, and revision
	// that of the store.
	before   *fleetObject
	revision uint64
	// external is set for changes by the operator and by replicas.
	external bool
}

// record remembers the state of an object before a change.
func (s *FleetStore) record(kind, name string, external bool) {
	now := s.clock.Now()
	for len(s.changes) > 0 && now.Sub(s.changes[0].at) > changeLifetime {
		s.changes = s.changes[1:]
	}
	change := fleetChange{at: now, kind: kind, name: name, revision: s.revision, external: external}
	if before, exists := s.kinds[kind][name]; exists {
		change.before = &before
	}
	s.changes = append(s.changes, change)
}

// supersede drops a lost write of an object that the operator or a replica has since
// written or deleted.
func (s *FleetStore) supersede(kind, name string) {
	s.lostWrites = slices.DeleteFunc(s.lostWrites, func(w fleetWrite) bool { return w.key == fleetKey{kind, name} })
}

// fleetWrite is a write that the operator or a replica has to repeat, or a deletion if
// object is nil.
type fleetWrite struct {
	key    fleetKey
	object *fleetObject
}

// Restore replaces the store by a copy of the given age, at most changeLifetime. What
// the system wrote since then is lost, and revisions are given out again. What the
// operator and the replicas wrote is written again after rewriteDelay.
func (s *FleetStore) Restore(age, rewriteDelay time.Duration) {
	s.executor.do(func() { s.restore(age) })
	if rewriteDelay == 0 {
		s.executor.do(s.rewrite)
		return
	}
	s.clock.AfterFunc(rewriteDelay, func() { s.executor.do(s.rewrite) })
}

// restore goes back to an older state. Lost writes of the operator and of replicas are
// repeated by rewrite.
func (s *FleetStore) restore(age time.Duration) {
	copiedAt := s.clock.Now().Add(-age)
	kept := slices.IndexFunc(s.changes, func(change fleetChange) bool { return change.at.After(copiedAt) })
	s.era++
	if kept < 0 {
		return
	}
	lost := slices.Clone(s.changes[kept:])
	s.changes = s.changes[:kept]
	for _, change := range lost {
		// A write that was lost in an earlier restoration and not yet repeated is newer.
		if change.external && !slices.ContainsFunc(s.lostWrites, func(w fleetWrite) bool { return w.key == change.key() }) {
			s.lostWrites = append(s.lostWrites, fleetWrite{change.key(), s.find(change.key())})
		}
	}
	for _, change := range slices.Backward(lost) {
		if change.before == nil {
			delete(s.kinds[change.kind], change.name)
		} else {
			s.kinds[change.kind][change.name] = *change.before
		}
	}
	s.revision = lost[0].revision
}

// rewrite repeats lost writes.
func (s *FleetStore) rewrite() {
	lost := s.lostWrites
	s.lostWrites = nil
	for _, w := range lost {
		if w.object == nil {
			s.delete(w.key.kind, w.key.name, true)
		} else {
			s.write(w.key.kind, *w.object, true)
		}
	}
}

// fleetKey identifies an object of a FleetStore.
type fleetKey struct{ kind, name string }

func (c fleetChange) key() fleetKey { return fleetKey{c.kind, c.name} }

// find returns an object, or nil if it does not exist.
func (s *FleetStore) find(key fleetKey) *fleetObject {
	object, exists := s.kinds[key.kind][key.name]
	if !exists {
		return nil
	}
	return &object
}
