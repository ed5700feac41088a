package leaser_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/storer"
)

// member is a running task with the latest event of its lease.
type member struct {
	*leaser.Task
	stop func()

	mutex      sync.Mutex
	event      leaser.Event
	unreadable error
}

const regionalLease = "Placement/north"

func startMember(t *testing.T, store storer.Store, node string) *member {
	t.Helper()
	m := &member{}
	m.Task = leaser.New(leaser.Settings{
		Node:  node,
		Names: []string{regionalLease},
		Store: store,
		Clock: clockwork.NewRealClock(),
		Publish: func(event leaser.Event) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.event = event
		},
		LogUnreadable: func(_ string, err error) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.unreadable = err
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	m.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(m.stop)
	if err := m.SetNodes([]string{"n1", "n2"}); err != nil {
		t.Fatal(err)
	}
	return m
}

// held returns the latest tenure and whether it is valid now.
func (m *member) held() (leaser.Held, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held, ok := m.event.(leaser.Held)
	return held, ok && held.Valid(time.Now())
}

func wantHeld(t *testing.T, when string, m *member, epoch uint64, data string) {
	t.Helper()
	synctest.Wait()
	held, ok := m.held()
	if !ok || held.Epoch != epoch || string(held.Data) != data {
		t.Errorf("%s: %+v, %v; want epoch %d with data %q", when, held, ok, epoch, data)
	}
}

// Guards against a task that does not renew its lease, does not hand it over
// with its data, or does not take it over after a crash or an outage.
func TestTasksTransferALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory(clockwork.NewRealClock())
		store.SetFaults(storer.MemoryFaults{Latency: 4 * time.Millisecond})
		first := startMember(t, store, "n1")
		time.Sleep(100 * time.Millisecond)
		second := startMember(t, store, "n2")
		time.Sleep(10 * time.Second)
		wantHeld(t, "after 10 s", first, 1, "")

		released, err := first.Release(t.Context(), regionalLease, []byte("levels"))
		if err != nil || !released {
			t.Fatalf("release: %v, %v", released, err)
		}
		if _, ok := first.held(); ok {
			t.Error("the lease is still held after its release")
		}
		time.Sleep(time.Second)
		wantHeld(t, "after the handover", second, 2, "levels")

		store.SetFaults(storer.MemoryFaults{Outage: true})
		time.Sleep(5 * time.Second)
		if _, ok := second.held(); ok {
			t.Error("the lease is still held during an outage longer than the lease")
		}
		store.SetFaults(storer.MemoryFaults{})
		time.Sleep(1100 * time.Millisecond)
		wantHeld(t, "after the outage", second, 3, "levels")

		if err := second.SetData(regionalLease, []byte("kept")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		second.stop()
		third := startMember(t, store, "n1")
		time.Sleep(4500 * time.Millisecond)
		wantHeld(t, "after the crash", third, 4, "kept")

		fourth := startMember(t, store, "n2")
		released, err = third.Release(t.Context(), regionalLease, []byte("more"))
		if err != nil || !released {
			t.Fatalf("second release: %v, %v", released, err)
		}
		time.Sleep(time.Second)
		wantHeld(t, "after the second handover", fourth, 5, "more")
	})
}

// Guards against a task that loses its lease because two consecutive replies
// are lost, and against one that holds its lease while the store is so slow
// that every call times out.
func TestTaskKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory(clockwork.NewRealClock())
		store.SetFaults(storer.MemoryFaults{LoseReplies: 2})
		member := startMember(t, store, "n1")
		time.Sleep(time.Second)
		wantHeld(t, "after lost takeovers", member, 1, "")
		store.SetFaults(storer.MemoryFaults{LoseReplies: 2})
		time.Sleep(3 * time.Second)
		wantHeld(t, "after lost renewals", member, 1, "")
		store.SetFaults(storer.MemoryFaults{Latency: time.Second})
		time.Sleep(10 * time.Second)
		wantHeld(t, "with calls of 1 s", member, 1, "")
		store.SetFaults(storer.MemoryFaults{Latency: 4 * time.Second})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if held, ok := member.held(); ok {
			t.Errorf("%+v is held while every call times out", held)
		}
	})
}

// laterStore holds a lease of a later form. It fails the test when the lease is written.
type laterStore struct {
	storer.Store
	t *testing.T
}

func (s laterStore) Get(context.Context, storer.ID) (storer.Object, error) {
	return storer.Object{Version: 3, Data: []byte(`["Holder","n1"]`)}, nil
}

func (s laterStore) Put(context.Context, storer.ID, uint64, []byte) (storer.Object, error) {
	s.t.Error("a lease of an unknown form was written")
	return storer.Object{}, storer.ErrUnavailable
}

// TestLeaseOfALaterForm guards against a node that takes the lease from a holder of a later
// build because it cannot read it, and against one that leaves it alone without a word.
func TestLeaseOfALaterForm(t *testing.T) {
	m := startMember(t, laterStore{t: t}, "n2")
	if err := m.SetNodes([]string{"n2"}); err != nil {
		t.Fatal(err)
	}
	unreadable := func() error {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		return m.unreadable
	}
	for deadline := time.Now().Add(10 * time.Second); unreadable() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("nothing was logged")
		}
	}
	m.stop()
}
