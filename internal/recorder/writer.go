package recorder

import (
	"fmt"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Writer is the controller of the buckets that a node writes. Another node may
// write the same bucket at the same time: the conditional write lets one of
// them succeed, and the other reads the bucket again.
type Writer struct {
	// Node makes the names of segments unique.
	Node    string
	Buckets [Buckets]Bucket
	// Sealings counts the segments that this writer made.
	Sealings int
	// SealBytes is the size of a bucket's head above which its older records
	// go into a segment.
	SealBytes int
}

// Bucket is a writer's copy of a bucket and what waits for it.
type Bucket struct {
	// Loaded says that the fields below match ObjectVersion.
	Loaded        bool
	ObjectVersion uint64
	Segments      []Segment
	// Records holds the head's records, Sealed those of the segments. A
	// record of the head replaces one of a segment.
	Records map[Key]Record
	Sealed  map[Key]Record
	// Busy says that a read or write is under way.
	Busy bool
	// Writing holds the operations of the write under way.
	Writing []Waiting
	// Pending holds the operations that came since, at most maxPending.
	Pending []Waiting
	// Covered is the number of operations at the start of Pending that came
	// before the read of this copy began. What the copy says of them was true
	// after they were asked.
	Covered int
	// Next is when the next operations may be carried out.
	Next     time.Time
	Failures int
	// after holds what is true once the write under way succeeded.
	after written
}

// Waiting is an operation that waits for its write.
type Waiting struct {
	Call      runner.Call
	Operation Operation
}

// written is the state of a bucket after a write.
type written struct {
	records  map[Key]Record
	sealed   map[Key]Record
	segments []Segment
	results  []Result
}

// NewWriter returns a writer that has read no bucket.
func NewWriter(node string) *Writer {
	return &Writer{Node: node, SealBytes: maxBucketBytes}
}

// Wake implements runner.Controller.
func (w *Writer) Wake() time.Time {
	var wake time.Time
	for i := range w.Buckets {
		bucket := &w.Buckets[i]
		if bucket.Busy || len(bucket.Pending) == 0 {
			continue
		}
		if wake.IsZero() || bucket.Next.Before(wake) {
			wake = bucket.Next
		}
	}
	return wake
}

// Step implements runner.Controller.
func (w *Writer) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case Asked:
		effects = w.asked(message)
	case BucketRead:
		w.read(message)
	case BucketWritten:
		effects = w.written(message)
	case BucketFailed:
		effects = w.failed(now, message)
	case Tick:
	}
	for i := range w.Buckets {
		effects = append(effects, w.advance(now, i)...)
	}
	return effects
}

func (w *Writer) asked(message Asked) []Effect {
	bucket := &w.Buckets[BucketOf(message.Operation.Key)]
	if len(bucket.Pending) >= maxPending {
		return []Effect{AnswerCall{message.Call, Failed{"too many calls wait to be recorded"}}}
	}
	bucket.Pending = append(bucket.Pending, Waiting(message))
	return nil
}

func (w *Writer) read(message BucketRead) {
	bucket := &w.Buckets[message.Bucket]
	bucket.Busy = false
	bucket.Loaded = true
	bucket.ObjectVersion = message.ObjectVersion
	bucket.Segments = message.Content.Segments
	bucket.Records = index(message.Content.Records)
	bucket.Sealed = index(message.Sealed)
}

func index(records []Record) map[Key]Record {
	byKey := make(map[Key]Record, len(records))
	for _, record := range records {
		byKey[record.Key] = record
	}
	return byKey
}

func (w *Writer) written(message BucketWritten) []Effect {
	bucket := &w.Buckets[message.Bucket]
	var effects []Effect
	for i, waiting := range bucket.Writing {
		effects = append(effects, AnswerCall{waiting.Call, bucket.after.results[i]})
	}
	bucket.Busy = false
	bucket.Failures = 0
	bucket.ObjectVersion = message.ObjectVersion
	bucket.Records = bucket.after.records
	bucket.Sealed = bucket.after.sealed
	bucket.Segments = bucket.after.segments
	bucket.Writing, bucket.after = nil, written{}
	return effects
}

// failed puts the operations of a write back: reading the bucket again shows
// which of them took effect, by the operation's ID.
func (w *Writer) failed(now time.Time, message BucketFailed) []Effect {
	bucket := &w.Buckets[message.Bucket]
	bucket.Busy = false
	bucket.putBack()
	if message.Conflict {
		return nil
	}
	bucket.Failures++
	bucket.Next = now.Add(min(minRetry<<min(bucket.Failures-1, 10), maxRetry))
	if bucket.Failures < maxFailures {
		return nil
	}
	return bucket.refuseAll(message.Detail)
}

func (b *Bucket) putBack() {
	b.Pending = append(b.Writing, b.Pending...)
	b.Writing, b.after = nil, written{}
	b.Loaded, b.Covered = false, 0
}

func (b *Bucket) refuseAll(detail string) []Effect {
	var effects []Effect
	for _, waiting := range b.Pending {
		effects = append(effects, AnswerCall{waiting.Call, Failed{detail}})
	}
	b.Pending = nil
	return effects
}

// advance starts a read or a write if operations wait and none is under way.
func (w *Writer) advance(now time.Time, number int) []Effect {
	bucket := &w.Buckets[number]
	if bucket.Busy || len(bucket.Pending) == 0 || now.Before(bucket.Next) {
		return nil
	}
	bucket.Busy = true
	if !bucket.Loaded {
		bucket.Covered = len(bucket.Pending)
		return []Effect{ReadBucket{number}}
	}
	return w.commit(now, number)
}

// commit applies pending operations and writes the bucket once. If they change
// nothing they are answered without a write, unless another writer may have
// changed the answers since this copy was read.
func (w *Writer) commit(now time.Time, number int) []Effect {
	bucket := &w.Buckets[number]
	changed := bucket.apply(now)
	if !changed && bucket.outdated() {
		bucket.putBack()
		bucket.Covered = len(bucket.Pending)
		return []Effect{ReadBucket{number}}
	}
	bucket.Next = now.Add(CommitEvery)
	bucket.Covered = 0
	if !changed {
		return w.written(BucketWritten{Bucket: number, ObjectVersion: bucket.ObjectVersion})
	}
	write := WriteBucket{Bucket: number, IfVersion: bucket.ObjectVersion}
	write.Expired = bucket.after.expire(now)
	write.Sealing = w.seal(number, &bucket.after)
	if write.Sealing != nil {
		// The segment is a write of its own.
		bucket.Next = now.Add(2 * CommitEvery)
	}
	write.Content = bucket.after.content()
	return []Effect{write}
}

// takeBatch moves the pending operations that fit into one write to Writing, at
// least one.
func (b *Bucket) takeBatch() {
	count, size := 0, 0
	for _, waiting := range b.Pending {
		size += waiting.Operation.size()
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	b.Writing, b.Pending = b.Pending[:count:count], b.Pending[count:]
}

// outdated says whether a result may be wrong because another writer changed
// the bucket. A recorded outcome never changes.
func (b *Bucket) outdated() bool {
	for _, result := range b.after.results[min(b.Covered, len(b.after.results)):] {
		done, ok := result.(Done)
		if !ok {
			return true
		}
		if _, known := done.Record.(filter.Known); !known {
			return true
		}
	}
	return false
}

// apply computes the bucket's state after the pending operations.
func (b *Bucket) apply(now time.Time) bool {
	b.takeBatch()
	b.after = written{records: clone(b.Records), sealed: b.Sealed, segments: b.Segments}
	changed := false
	for _, waiting := range b.Writing {
		result, wrote := b.after.operate(now, waiting.Operation)
		b.after.results = append(b.after.results, result)
		changed = changed || wrote
	}
	return changed
}

func clone(records map[Key]Record) map[Key]Record {
	copied := make(map[Key]Record, len(records)+1)
	for key, record := range records {
		copied[key] = record
	}
	return copied
}

// find returns the record of a key that has not expired.
// The record is also returned if it only names abandoned operations, then with
// false.
func (a *written) find(now time.Time, key Key) (Record, bool) {
	record, ok := a.records[key]
	if !ok {
		record, ok = a.sealed[key]
	}
	if !ok || now.Sub(record.At) > Lifetime {
		return Record{}, false
	}
	return record, record.Operation != ""
}

// operate applies one operation and says whether it changed the bucket.
func (a *written) operate(now time.Time, operation Operation) (Result, bool) {
	record, found := a.find(now, operation.Key)
	switch action := operation.Action.(type) {
	case Begin:
		return a.begin(now, operation, record, found)
	case Finish:
		if !found || record.Operation != operation.ID {
			return Failed{"the intent is not recorded"}, false
		}
		if record.Reply != nil {
			return Done{filter.Known{Reply: *record.Reply}}, false
		}
		record.Reply = &action.Reply
		a.records[operation.Key] = record
		return Done{filter.Known{Reply: action.Reply}}, true
	case Abandon:
		return a.abandon(now, operation, record, found)
	default:
		panic(fmt.Sprintf("unknown action %T", action))
	}
}

// abandon removes the intent of an operation, or makes sure that it is not
// recorded when it arrives later.
func (a *written) abandon(now time.Time, operation Operation, record Record, found bool) (Result, bool) {
	switch {
	case found && record.Operation == operation.ID && record.Reply != nil:
		return Done{filter.Uncertain{}}, false
	case slices.Contains(record.Abandoned, operation.ID):
		return Done{filter.Fresh{}}, false
	}
	abandoned := append(slices.Clone(record.Abandoned), operation.ID)
	abandoned = abandoned[max(0, len(abandoned)-maxAbandoned):]
	if !found || record.Operation == operation.ID {
		// An empty operation hides the record of a segment.
		record = Record{Key: operation.Key, At: now}
	}
	record.Abandoned = abandoned
	a.records[operation.Key] = record
	return Done{filter.Fresh{}}, true
}

func (a *written) begin(now time.Time, operation Operation, record Record, found bool) (Result, bool) {
	switch {
	case slices.Contains(record.Abandoned, operation.ID):
		return Done{filter.Uncertain{}}, false
	case !found:
		a.records[operation.Key] = Record{
			Key:       operation.Key,
			Operation: operation.ID,
			Digest:    operation.Digest,
			At:        now,
			Abandoned: record.Abandoned,
		}
		return Done{filter.Fresh{}}, true
	case record.Digest != operation.Digest:
		return Mismatch{}, false
	case record.Operation == operation.ID && record.Reply == nil:
		// The write whose outcome was unknown took effect.
		return Done{filter.Fresh{}}, false
	case record.Reply != nil:
		return Done{filter.Known{Reply: *record.Reply}}, false
	default:
		return Done{filter.Uncertain{}}, false
	}
}
