package storer

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/sequencer"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// MemoryFaults are the simulated faults of a Memory store.
type MemoryFaults struct {
	// Outage makes every call return ErrUnavailable and ends watches.
	Outage bool
	// LoseReplies is the number of following writes that take effect and return
	// ErrUncertain.
	LoseReplies int
	// Conflicts is the number of following writes that return ErrConflict
	// without effect.
	Conflicts int
	// Latency is the time that a call takes. A write takes effect after half
	// of it.
	Latency time.Duration
}

// Memory is an in-memory Store for tests. Its faults can be changed while calls
// are waiting.
type Memory struct {
	clock clockwork.Clock

	mutex     sync.Mutex
	faults    MemoryFaults
	objects   map[ID]Object
	version   uint64
	era       uint64
	instances tracker.InstanceList
	calls     int
	// changed is closed and replaced at every change of the fields above.
	changed chan struct{}
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store that uses the given clock for its waits.
func NewMemory(clock clockwork.Clock) *Memory {
	return &Memory{clock: clock, objects: map[ID]Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the current faults.
func (m *Memory) SetFaults(faults MemoryFaults) {
	m.update(func() { m.faults = faults })
}

// SetInstances replaces the instance list.
func (m *Memory) SetInstances(instances ...tracker.Instance) {
	m.update(func() {
		m.instances = tracker.InstanceList{Version: m.instances.Version + 1, Instances: slices.Clone(instances)}
	})
}

// Copy returns a function that restores the objects and the instance list of the present
// moment and begins a new era: later changes are lost, and their versions are given out
// again.
func (m *Memory) Copy() (restore func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	objects, version, instances := maps.Clone(m.objects), m.version, m.instances
	return func() {
		m.update(func() {
			m.objects, m.version, m.instances = maps.Clone(objects), version, instances
			m.era++
		})
	}
}

// Calls returns the number of calls so far. A watch counts as one call.
func (m *Memory) Calls() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.calls
}

func (m *Memory) update(apply func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	apply()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, id ID) (Object, error) {
	if err := m.waitHalfLatency(ctx, ErrUnavailable); err != nil {
		return Object{}, err
	}
	object, err := m.lookup(id)
	if err != nil {
		return object, err
	}
	return object, m.waitHalfLatency(ctx, ErrUnavailable)
}

func (m *Memory) lookup(id ID) (Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls++
	object, exists := m.objects[id]
	switch {
	case m.faults.Outage:
		return Object{}, merry.Wrap(ErrUnavailable)
	case !exists:
		return Object{Era: m.era}, merry.Wrap(ErrNotFound, merry.AppendMessage(id.String()))
	}
	object.Era = m.era
	return object, nil
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, id ID, ifVersion uint64, data []byte) (Object, error) {
	if len(data) > MaxValueBytes {
		return Object{}, merry.Wrap(ErrTooLarge, merry.AppendMessage(id.String()))
	}
	object := Object{ID: id, WriteID: uuid.NewString(), Data: slices.Clone(data)}
	err := m.write(ctx, id, ifVersion, func() {
		object.Version, object.Era = m.version, m.era
		m.objects[id] = object
	})
	if err != nil {
		return Object{}, err
	}
	return object, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, id ID, ifVersion uint64) error {
	_, err := m.lookup(id)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return m.write(ctx, id, ifVersion, func() { delete(m.objects, id) })
}

func (m *Memory) write(ctx context.Context, id ID, ifVersion uint64, apply func()) error {
	if err := m.waitHalfLatency(ctx, ErrUncertain); err != nil {
		return err
	}
	var err error
	m.update(func() { err = m.applyWrite(id, ifVersion, apply) })
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrConflict) {
		return err
	}
	return cmp.Or(err, m.waitHalfLatency(ctx, ErrUncertain))
}

func (m *Memory) applyWrite(id ID, ifVersion uint64, apply func()) error {
	m.calls++
	switch {
	case m.faults.Outage:
		return merry.Wrap(ErrUnavailable)
	case m.faults.Conflicts > 0:
		m.faults.Conflicts--
		return merry.Wrap(ErrConflict, merry.AppendMessage(id.String()))
	case m.objects[id].Version != ifVersion:
		return merry.Wrap(ErrConflict, merry.AppendMessage(id.String()))
	}
	m.version++
	apply()
	if m.faults.LoseReplies > 0 {
		m.faults.LoseReplies--
		return merry.Wrap(ErrUncertain, merry.AppendMessage(id.String()))
	}
	return nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	if err := m.waitHalfLatency(ctx, ErrUnavailable); err != nil {
		return nil, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls++
	if m.faults.Outage {
		return nil, merry.Wrap(ErrUnavailable)
	}
	var objects []Object
	for object := range maps.Values(m.objects) {
		if object.Kind == kind && strings.HasPrefix(object.Name, prefix) {
			objects = append(objects, Object{ID: object.ID, Version: object.Version})
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, id ID, after uint64, wait time.Duration) (Object, error) {
	var object Object
	found, err := m.await(ctx, wait, func() bool {
		object = m.objects[id]
		object.Era = m.era
		return object.Version > after
	})
	switch {
	case err != nil:
		return Object{}, err
	case !found:
		return Object{Era: object.Era}, merry.Wrap(ErrUnchanged, merry.AppendMessage(id.String()))
	}
	return object, nil
}

// Instances implements Store.
func (m *Memory) Instances(ctx context.Context, after uint64, wait time.Duration) (tracker.InstanceList, error) {
	var list tracker.InstanceList
	found, err := m.await(ctx, wait, func() bool {
		list = m.instances
		list.Version = sequencer.Position{Era: m.era, Revision: list.Version}.Ordinal()
		return list.Version > after
	})
	if err != nil || !found {
		return tracker.InstanceList{Version: after}, err
	}
	return list, nil
}

// await waits until condition returns true. It returns false if this does not
// happen within wait.
func (m *Memory) await(ctx context.Context, wait time.Duration, condition func() bool) (bool, error) {
	if err := m.waitHalfLatency(ctx, ErrUnavailable); err != nil {
		return false, err
	}
	timer := m.clock.NewTimer(wait)
	defer timer.Stop()
	m.mutex.Lock()
	m.calls++
	m.mutex.Unlock()
	for {
		m.mutex.Lock()
		outage, satisfied, changed := m.faults.Outage, condition(), m.changed
		m.mutex.Unlock()
		switch {
		case outage:
			return false, merry.Wrap(ErrUnavailable)
		case satisfied:
			return true, m.waitHalfLatency(ctx, ErrUnavailable)
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return false, nil
		case <-ctx.Done():
			return false, merry.Wrap(ErrUnavailable, merry.AppendMessagef("%v", ctx.Err()))
		}
	}
}

// waitHalfLatency waits for half of the latency. If ctx ends first it returns an
// error that wraps the sentinel.
func (m *Memory) waitHalfLatency(ctx context.Context, sentinel error) error {
	m.mutex.Lock()
	latency := m.faults.Latency
	m.mutex.Unlock()
	if latency <= 0 {
		return nil
	}
	timer := m.clock.NewTimer(latency / 2)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return merry.Wrap(sentinel, merry.AppendMessagef("%v", ctx.Err()))
	}
}
