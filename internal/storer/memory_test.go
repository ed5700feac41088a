package storer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/storer"
)

// Guards against simulated faults that affect later calls or have another effect
// than their documentation states.
func TestMemoryFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := storer.NewMemory(clockwork.NewRealClock())
		memory.SetFaults(storer.MemoryFaults{Outage: true})
		_, err := memory.Put(t.Context(), lease, 0, []byte(`1`))
		checkError(t, "outage", err, storer.ErrUnavailable)
		memory.SetFaults(storer.MemoryFaults{LoseReplies: 1, Conflicts: 1})
		_, err = memory.Put(t.Context(), lease, 0, []byte(`1`))
		checkError(t, "conflict", err, storer.ErrConflict)
		_, err = memory.Put(t.Context(), lease, 0, []byte(`1`))
		checkError(t, "lost reply", err, storer.ErrUncertain)
		_, err = memory.Put(t.Context(), lease, 1, []byte(`2`))
		checkError(t, "after the faults", err, nil)
	})
}

// Guards against simulated latency that a caller's timeout does not end, and
// against a watch that keeps waiting when an outage begins.
func TestMemoryWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := storer.NewMemory(clockwork.NewRealClock())
		memory.SetFaults(storer.MemoryFaults{Latency: 4 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := memory.Put(ctx, lease, 0, []byte(`1`))
		checkError(t, "slow put", err, storer.ErrUncertain)
		memory.SetFaults(storer.MemoryFaults{})
		_, err = memory.Get(t.Context(), lease)
		checkError(t, "get", err, nil)
		time.AfterFunc(time.Second, func() { memory.SetFaults(storer.MemoryFaults{Outage: true}) })
		start := time.Now()
		_, err = memory.Watch(t.Context(), lease, 1, time.Minute)
		checkError(t, "watch", err, storer.ErrUnavailable)
		if waited := time.Since(start); waited != time.Second {
			t.Errorf("watch ended after %s; want 1s", waited)
		}
	})
}
