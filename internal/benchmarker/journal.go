package benchmarker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/recorder"
	"toucanhitch.example/toucanhitch/internal/storer"
)

// JournalMethod is a way to write intents: GroupCommit, WriteEach or ObjectEach.
type JournalMethod interface{ isJournalMethod() }

// GroupCommit is the Writer controller: one write for all that came since the
// last one.
type GroupCommit struct{}

// WriteEach updates the bucket's object once for each operation, one after
// the other.
type WriteEach struct{}

// ObjectEach keeps an object for each identity, with a write for each
// operation, all at once.
type ObjectEach struct{}

func (GroupCommit) isJournalMethod() {}
func (WriteEach) isJournalMethod()   {}
func (ObjectEach) isJournalMethod()  {}

// JournalRow is the speed of one bucket.
type JournalRow struct {
	Method  JournalMethod `json:"Way"`
	Callers int
	// Operations is a second's number of operations, an intent and an outcome
	// for each call.
	Operations float64
	// Calls is a second's number of calls of the object API.
	Calls float64
	// P50 and P99 are the times of an operation.
	P50, P99 time.Duration
}

const (
	// journalLatency is the time of a call of the object API.
	journalLatency = 3 * time.Millisecond
	// journalMaxThinkTime is the longest time between operations of a caller.
	journalMaxThinkTime = 10 * time.Millisecond
)

// Journal measures one bucket for a time on the given clock, with callers who
// record an intent and its outcome again and again. To be independent of the
// machine's speed it has to run on a virtual clock, as in a synctest bubble.
func Journal(clock clockwork.Clock, seed uint64, method JournalMethod, callers int, period time.Duration) JournalRow {
	store := storer.NewMemory(clock)
	store.SetFaults(storer.MemoryFaults{Latency: journalLatency})
	ctx, cancel := context.WithCancel(context.Background())
	record, stop := newJournalWriter(ctx, clock, store, method)
	run := journalRun{clock: clock, record: record, end: clock.Now().Add(period)}
	var callerGroup sync.WaitGroup
	for index := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		callerGroup.Go(func() { run.runCaller(ctx, random) })
	}
	clock.Sleep(period)
	calls := store.Calls()
	callerGroup.Wait()
	cancel()
	stop()
	slices.Sort(run.latencies)
	return JournalRow{
		Method:     method,
		Callers:    callers,
		Operations: float64(len(run.latencies)) / period.Seconds(),
		Calls:      float64(calls) / period.Seconds(),
		P50:        percentile(run.latencies, 0.5),
		P99:        percentile(run.latencies, 0.99),
	}
}

type journalRun struct {
	clock     clockwork.Clock
	record    func(recorder.Operation) bool
	end       time.Time
	mutex     sync.Mutex
	latencies []time.Duration
}

// runCaller records calls until the end.
func (r *journalRun) runCaller(ctx context.Context, random *rand.Rand) {
	reply := filter.Reply{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}
	for r.clock.Now().Before(r.end) {
		operation := recorder.Operation{Key: journalKey(random), ID: uuid.NewString(), Digest: "0123456789abcdef"}
		for _, action := range []recorder.Action{recorder.Begin{}, recorder.Finish{Reply: reply}} {
			r.clock.Sleep(time.Duration(random.Int64N(int64(journalMaxThinkTime))))
			operation.Action = action
			r.measure(operation)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (r *journalRun) measure(operation recorder.Operation) {
	started := r.clock.Now()
	if !r.record(operation) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := r.clock.Now(); now.Before(r.end) {
		r.latencies = append(r.latencies, now.Sub(started))
	}
}

// journalKey returns a random key of bucket 0.
func journalKey(random *rand.Rand) recorder.Key {
	for {
		key := recorder.Key(fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()))
		if recorder.BucketOf(key) == 0 {
			return key
		}
	}
}

// newJournalWriter returns a function that carries out operations and says
// whether they were recorded, and one that waits for the writer's end.
func newJournalWriter(
	ctx context.Context, clock clockwork.Clock, store storer.Store, method JournalMethod,
) (func(recorder.Operation) bool, func()) {
	switch method.(type) {
	case GroupCommit:
		task := recorder.NewTask(clock, store, recorder.NewWriter("n1"))
		var writerGroup sync.WaitGroup
		writerGroup.Go(func() { _ = task.Run(ctx) })
		return func(operation recorder.Operation) bool {
			result, err := recorder.Execute(ctx, task, operation)
			_, ok := result.(recorder.Done)
			return err == nil && ok
		}, writerGroup.Wait
	case WriteEach:
		bucket := &journalBucket{store: store, lock: make(chan struct{}, 1)}
		return func(recorder.Operation) bool { return bucket.write(ctx) }, func() {}
	case ObjectEach:
		return func(operation recorder.Operation) bool { return writeObject(ctx, store, operation) }, func() {}
	default:
		panic(fmt.Sprintf("unknown way %T", method))
	}
}

// journalBucket is an object that is written for each operation. Its value
// has no size here: only the number of calls is compared.
type journalBucket struct {
	store storer.Store
	// lock holds one token. A virtual clock does not pass while a goroutine
	// waits for a mutex.
	lock    chan struct{}
	version uint64
}

func (b *journalBucket) write(ctx context.Context) bool {
	b.lock <- struct{}{}
	defer func() { <-b.lock }()
	object, err := b.store.Put(ctx, storer.ID{Kind: "Intents", Name: "0"}, b.version, []byte("{}"))
	b.version = object.Version
	return err == nil
}

// writeObject creates the object of an intent, or reads it and adds the
// outcome.
func writeObject(ctx context.Context, store storer.Store, operation recorder.Operation) bool {
	id := storer.ID{Kind: "Intent", Name: string(operation.Key)}
	version := uint64(0)
	if _, ok := operation.Action.(recorder.Finish); ok {
		object, err := store.Get(ctx, id)
		if err != nil {
			return false
		}
		version = object.Version
	}
	_, err := store.Put(ctx, id, version, []byte("{}"))
	return err == nil
}

// PrintJournal writes rows as a text table.
func PrintJournal(w io.Writer, rows []JournalRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "way\tcallers\toperations/s\tAPI calls/s\tp50\tp99")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%d\t%.0f\t%.1f\t%s\t%s\n",
			JournalMethodName(row.Method), row.Callers, row.Operations, row.Calls, milliseconds(row.P50), milliseconds(row.P99))
	}
	return table.Flush()
}

// JournalMethodName returns the name of a way in tables.
func JournalMethodName(method JournalMethod) string {
	switch method.(type) {
	case GroupCommit:
		return "group commit"
	case WriteEach:
		return "write for each, one object"
	case ObjectEach:
		return "write for each, own objects"
	default:
		panic(fmt.Sprintf("unknown way %T", method))
	}
}
