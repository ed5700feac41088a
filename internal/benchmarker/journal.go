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

// JournalMethod is a method of writing intents: GroupCommit, WriteEach or
// ObjectEach.
type JournalMethod interface{ isJournalMethod() }

// GroupCommit uses the Writer controller, which commits all operations received
// since the last write in one write.
type GroupCommit struct{}

// WriteEach updates the bucket's object once per operation, sequentially.
type WriteEach struct{}

// ObjectEach keeps one object per identity and writes it once per operation,
// concurrently.
type ObjectEach struct{}

func (GroupCommit) isJournalMethod() {}
func (WriteEach) isJournalMethod()   {}
func (ObjectEach) isJournalMethod()  {}

// JournalRow is the measured throughput and latency of one bucket.
type JournalRow struct {
	Method  JournalMethod `json:"Way"`
	Callers int
	// Operations is the number of operations per second; each call has two, its
	// intent and its outcome.
	Operations float64
	// Calls is the number of object API calls per second.
	Calls float64
	// P50 and P99 are latency percentiles of an operation.
	P50, P99 time.Duration
}

const (
	// journalLatency is the latency of an object API call.
	journalLatency = 3 * time.Millisecond
	// journalMaxThinkTime is the longest pause of a caller between two
	// operations.
	journalMaxThinkTime = 10 * time.Millisecond
)

// Journal measures one bucket for a period on the given clock, with callers
// that repeatedly record an intent and its outcome. The result is independent
// of the machine's speed only on a virtual clock, as in a synctest bubble.
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

// runCaller records intents and outcomes until the end of the period.
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

// journalKey returns a random key that belongs to bucket 0.
func journalKey(random *rand.Rand) recorder.Key {
	for {
		key := recorder.Key(fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64()))
		if recorder.BucketOf(key) == 0 {
			return key
		}
	}
}

// newJournalWriter returns a function that executes an operation and reports
// whether it was recorded, and a function that waits for the writer to stop.
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
		panic(fmt.Sprintf("unknown journal method %T", method))
	}
}

// journalBucket is an object that is written once per operation. Its value has
// a fixed size, because only the number of calls is compared.
type journalBucket struct {
	store storer.Store
	// lock holds one token and serves as a mutex. A sync.Mutex would not do,
	// because a virtual clock does not advance while a goroutine waits for one.
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

// writeObject creates the object of an intent, or reads the object and adds the
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
			JournalMethodName(row.Method), row.Callers, row.Operations, row.Calls, formatMilliseconds(row.P50), formatMilliseconds(row.P99))
	}
	return table.Flush()
}

// JournalMethodName returns the name of a method in tables.
func JournalMethodName(method JournalMethod) string {
	switch method.(type) {
	case GroupCommit:
		return "group commit"
	case WriteEach:
		return "write for each, one object"
	case ObjectEach:
		return "write for each, own objects"
	default:
		panic(fmt.Sprintf("unknown journal method %T", method))
	}
}
