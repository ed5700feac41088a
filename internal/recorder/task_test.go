package recorder

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/storer"
)

// run starts the task of a writer on a store. The returned function stops it
// and waits for its end.
func run(t *testing.T, store storer.Store, writer *Writer) (*Task, func()) {
	t.Helper()
	task := NewTask(clockwork.NewRealClock(), store, writer)
	ctx, stop := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = task.Run(ctx) })
	return task, func() {
		stop()
		done.Wait()
	}
}

// bucketKeys returns keys that belong to bucket 0.
func bucketKeys(count int) []Key {
	var keys []Key
	for number := 0; len(keys) < count; number++ {
		if key := Key(fmt.Sprintf("%032d", number)); BucketOf(key) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// executeAll executes the action for all keys concurrently and returns the
// number of results that are Done with a record of type R.
func executeAll[R filter.Record](t *testing.T, task *Task, keys []Key, action Action) int {
	t.Helper()
	var group sync.WaitGroup
	var mutex sync.Mutex
	count := 0
	for _, key := range keys {
		group.Go(func() {
			result, err := Execute(t.Context(), task, Operation{Key: key, ID: "id-" + string(key), Digest: "d", Action: action})
			done, _ := result.(Done)
			mutex.Lock()
			defer mutex.Unlock()
			if _, ok := done.Record.(R); err == nil && ok {
				count++
			}
		})
	}
	group.Wait()
	return count
}

// Guards against a restarted node that reuses the segment names of its previous
// run, so that the creation of segments fails and no bucket can be sealed.
func TestRestartedWriterSeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory(clockwork.NewRealClock())
		keys := bucketKeys(60)
		for restart := range 2 {
			writer := NewWriter("n1")
			writer.MaxHeadBytes = 4 * recordOverheadBytes
			task, stop := run(t, store, writer)
			for _, key := range keys[30*restart:][:30] {
				if executeAll[filter.Fresh](t, task, []Key{key}, Begin{}) != 1 {
					t.Errorf("run %d: the intent of %s is not recorded", restart, key)
				}
			}
			stop()
		}
		task, stop := run(t, store, NewWriter("n2"))
		defer stop()
		for _, key := range keys {
			operation := Operation{Key: key, ID: "other", Digest: "d", Action: Begin{}}
			result, err := Execute(t.Context(), task, operation)
			if err != nil || result != (Done{filter.Uncertain{}}) {
				t.Errorf("repeat of %s: %#v, %v; want Uncertain", key, result, err)
			}
		}
	})
}

// Guards against a writer that reads all segments again, although they are
// immutable, whenever its copy of the head is too old to answer from.
func TestSegmentsAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory(clockwork.NewRealClock())
		writer := NewWriter("n1")
		writer.MaxHeadBytes = 4 * recordOverheadBytes
		task, stop := run(t, store, writer)
		defer stop()
		keys := bucketKeys(30)
		for _, key := range keys {
			executeAll[filter.Fresh](t, task, []Key{key}, Begin{})
		}
		before := store.Calls()
		operation := Operation{Key: keys[0], ID: "other", Digest: "d", Action: Begin{}}
		if result, err := Execute(t.Context(), task, operation); err != nil || result != (Done{filter.Uncertain{}}) {
			t.Errorf("repeat: %#v, %v; want Uncertain", result, err)
		}
		if calls := store.Calls() - before; calls != 1 {
			t.Errorf("%d API calls for a repeat; want 1", calls)
		}
	})
}

// Guards against a burst whose records exceed the size limit of one object,
// after which every write of the bucket fails.
func TestBurstFitsIntoObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storer.NewMemory(clockwork.NewRealClock())
		task, stop := run(t, store, NewWriter("n1"))
		defer stop()
		keys := bucketKeys(1500)
		if fresh := executeAll[filter.Fresh](t, task, keys, Begin{}); fresh != len(keys) {
			t.Errorf("%d of %d intents are recorded", fresh, len(keys))
		}
		reply := filter.Reply{Status: 200, ContentType: "text/plain", Body: bytes.Repeat([]byte("x"), MaxBodyBytes)}
		if known := executeAll[filter.Known](t, task, keys, Finish{Reply: reply}); known != len(keys) {
			t.Errorf("%d of %d outcomes are recorded", known, len(keys))
		}
	})
}
