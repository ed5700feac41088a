package recorder

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Writer is the controller of the buckets that a node writes. Another node may
// write the same bucket concurrently: only one of two conditional writes
// succeeds, and the other writer reads the bucket again.
type Writer struct {
	// Node is the name of this node. It makes the names of segments unique.
	Node    string
	Buckets [BucketCount]Bucket
	// SegmentsCreated is the number of segments that this writer has created.
	SegmentsCreated int
	// MaxHeadBytes is the size of a bucket's head above which its older records
	// are moved into a segment.
	MaxHeadBytes int
}

// Bucket is a writer's copy of a bucket, with the operations that wait for it.
type Bucket struct {
	// Loaded reports that the copy corresponds to ObjectVersion.
	Loaded        bool
	ObjectVersion uint64
	// Era is the latest era of the object API in which the bucket was read or written.
	// Recovered is set while the copy has records that a restoration has lost.
	Era       uint64
	Recovered bool
	Segments  []Segment
	// Records holds the records of the head, SegmentRecords those of the
	// segments. A record in the head overrides one in a segment.
	Records        map[Key]Record
	SegmentRecords map[Key]Record
	// InFlight reports that a read or write is in progress.
	InFlight bool
	// Batch holds the operations of the write in progress.
	Batch []PendingOperation
	// Pending holds the operations that arrived after the batch was formed, at
	// most maxPending.
	Pending []PendingOperation
	// CoveredByRead is the number of operations at the start of Pending that
	// arrived before the read of this copy began. The copy shows a state after
	// their arrival, so it can answer them.
	CoveredByRead int
	// NotBefore is the earliest time of the next read or write.
	NotBefore time.Time
	Failures  int
	// next is the bucket's state once the write in progress has succeeded.
	next bucketState
}

// PendingOperation is an operation that waits to be written.
type PendingOperation struct {
	Call      runner.Call
	Operation Operation
}

// bucketState is the state of a bucket after a write, with the results of the
// operations in the write.
type bucketState struct {
	records        map[Key]Record
	segmentRecords map[Key]Record
	segments       []Segment
	results        []Result
}

// NewWriter returns a writer that has not read any bucket yet.
func NewWriter(node string) *Writer {
	return &Writer{Node: node, MaxHeadBytes: maxHeadBytes}
}

// Wake implements runner.Controller.
func (w *Writer) Wake() time.Time {
	var wake time.Time
	for i := range w.Buckets {
		bucket := &w.Buckets[i]
		if bucket.InFlight || len(bucket.Pending) == 0 {
			continue
		}
		if wake.IsZero() || bucket.NotBefore.Before(wake) {
			wake = bucket.NotBefore
		}
	}
	return wake
}

// Step implements runner.Controller.
func (w *Writer) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case OperationRequested:
		effects = w.handleOperation(message)
	case BucketRead:
		w.handleRead(now, message)
	case BucketWritten:
		effects = w.handleWritten(message)
	case BucketFailed:
		effects = w.handleFailed(now, message)
	case Tick:
	}
	for i := range w.Buckets {
		effects = append(effects, w.advance(now, i)...)
	}
	return effects
}

func (w *Writer) handleOperation(message OperationRequested) []Effect {
	bucket := &w.Buckets[BucketOf(message.Operation.Key)]
	if len(bucket.Pending) >= maxPending {
		return []Effect{AnswerCall{message.Call, Failed{"too many calls wait to be recorded"}}}
	}
	bucket.Pending = append(bucket.Pending, PendingOperation(message))
	return nil
}

func (b *Bucket) segmentNames() []string {
	var names []string
	for _, segment := range b.Segments {
		names = append(names, segment.Name)
	}
	return names
}

func (w *Writer) handleRead(now time.Time, message BucketRead) {
	bucket := &w.Buckets[message.Bucket]
	bucket.InFlight = false
	bucket.Loaded = true
	bucket.ObjectVersion = message.ObjectVersion
	found := indexByKey(message.Content.Records)
	if message.Era > bucket.Era {
		bucket.Era = message.Era
		bucket.recoverRecords(now, found, message.Content.Segments)
	}
	bucket.Segments = message.Content.Segments
	bucket.Records = found
	bucket.SegmentRecords = unexpired(now, bucket.SegmentRecords)
	for _, record := range message.SegmentRecords {
		bucket.SegmentRecords[record.Key] = record
	}
}

func indexByKey(records []Record) map[Key]Record {
	byKey := make(map[Key]Record, len(records))
	for _, record := range records {
		byKey[record.Key] = record
	}
	return byKey
}

func (w *Writer) handleWritten(message BucketWritten) []Effect {
	bucket := &w.Buckets[message.Bucket]
	if message.Era > bucket.Era {
		// The version on which the write was conditional is of an earlier era: it
		// may have replaced records of another writer.
		bucket.InFlight = false
		bucket.requeueBatch()
		return nil
	}
	bucket.Recovered = false
	var effects []Effect
	for i, pending := range bucket.Batch {
		effects = append(effects, AnswerCall{pending.Call, bucket.next.results[i]})
	}
	bucket.InFlight = false
	bucket.Failures = 0
	bucket.ObjectVersion = message.ObjectVersion
	bucket.Records = bucket.next.records
	bucket.SegmentRecords = bucket.next.segmentRecords
	bucket.Segments = bucket.next.segments
	bucket.Batch, bucket.next = nil, bucketState{}
	return effects
}

// handleFailed requeues the operations of a failed write. Reading the bucket
// again shows, by operation ID, which of them took effect.
func (w *Writer) handleFailed(now time.Time, message BucketFailed) []Effect {
	bucket := &w.Buckets[message.Bucket]
	bucket.InFlight = false
	bucket.requeueBatch()
	if message.Conflict {
		return nil
	}
	bucket.Failures++
	bucket.NotBefore = now.Add(min(minRetryDelay<<min(bucket.Failures-1, 10), maxRetryDelay))
	if bucket.Failures < maxConsecutiveFailures {
		return nil
	}
	return bucket.failPending(message.Detail)
}

func (b *Bucket) requeueBatch() {
	b.Pending = append(b.Batch, b.Pending...)
	b.Batch, b.next = nil, bucketState{}
	b.Loaded, b.CoveredByRead = false, 0
}

func (b *Bucket) failPending(detail string) []Effect {
	var effects []Effect
	for _, pending := range b.Pending {
		effects = append(effects, AnswerCall{pending.Call, Failed{detail}})
	}
	b.Pending = nil
	return effects
}

// advance starts a read or a write if operations are pending and neither is in
// progress.
func (w *Writer) advance(now time.Time, number int) []Effect {
	bucket := &w.Buckets[number]
	if bucket.InFlight || len(bucket.Pending) == 0 || now.Before(bucket.NotBefore) {
		return nil
	}
	bucket.InFlight = true
	if !bucket.Loaded {
		bucket.CoveredByRead = len(bucket.Pending)
		return []Effect{ReadBucket{number, bucket.segmentNames()}}
	}
	return w.commit(now, number)
}

// commit applies pending operations and writes the bucket once. Operations that
// change nothing are answered without a write, unless another writer may have
// changed their results since this copy was read.
func (w *Writer) commit(now time.Time, number int) []Effect {
	bucket := &w.Buckets[number]
	changed := bucket.applyBatch(now) || bucket.Recovered
	if !changed && bucket.mayBeStale() {
		bucket.requeueBatch()
		bucket.CoveredByRead = len(bucket.Pending)
		return []Effect{ReadBucket{number, bucket.segmentNames()}}
	}
	bucket.NotBefore = now.Add(CommitInterval)
	bucket.CoveredByRead = 0
	if !changed {
		return w.handleWritten(BucketWritten{Bucket: number, Era: bucket.Era, ObjectVersion: bucket.ObjectVersion})
	}
	write := WriteBucket{Bucket: number, IfVersion: bucket.ObjectVersion}
	write.ExpiredSegments = bucket.next.expire(now)
	write.NewSegment = w.seal(number, &bucket.next)
	if write.NewSegment != nil {
		// Creating the segment is a second write.
		bucket.NotBefore = now.Add(2 * CommitInterval)
	}
	write.Content = bucket.next.content()
	return []Effect{write}
}

// takeBatch moves the pending operations that fit into one write, but at least
// one, to Batch.
func (b *Bucket) takeBatch() {
	count, size := 0, 0
	for _, pending := range b.Pending {
		size += pending.Operation.size()
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	b.Batch, b.Pending = b.Pending[:count:count], b.Pending[count:]
}
