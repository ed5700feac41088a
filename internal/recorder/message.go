package recorder

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Sizes and periods.
const (
	// BucketCount is the number of objects that share the records. With one
	// write per CommitEvery each, they take at most 200 writes a second.
	BucketCount    = 8
	CommitInterval = 40 * time.Millisecond
	// RecordLifetime is how long a record is kept. A repeat that comes later runs
	// again.
	RecordLifetime = 24 * time.Hour
	// maxHeadBytes is the size of a bucket's head object above which its
	// older records are sealed into a segment.
	maxHeadBytes = 256 << 10
	// maxBatchBytes bounds the records that one write adds. With it a head and
	// a segment stay far below the platform's limit of 1 MiB.
	maxBatchBytes = 256 << 10
	// maxPending bounds the operations that wait for a bucket's next write.
	maxPending = 4096
	// MaxBodyBytes is the largest reply body that is recorded. The outcome of
	// a call with a larger one is recorded without it.
	MaxBodyBytes = 4 << 10
	// maxContentTypeBytes bounds the recorded content type in the same way.
	maxContentTypeBytes = 128
	// maxAbandoned bounds the abandoned operations of a key that are kept.
	maxAbandoned = 4
	// minRetryDelay and maxRetry bound the delay after a failed read or write.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxConsecutiveFailures is the number of failures in a row after which waiting
	// operations are refused instead of kept.
	maxConsecutiveFailures = 3
)

// Key is the hash of a workspace and an identity in hexadecimal.
type Key string

// Record is what is kept of a call.
type Record struct {
	Key Key
	// Operation identifies the request that recorded the intent.
	Operation string
	// Digest tells a repeat from another call with the same identity.
	Digest string
	// At is when the intent was recorded, on the writer's clock.
	At time.Time
	// Reply is the outcome, nil while it is not known.
	Reply *filter.Reply
	// Abandoned names the last operations that were abandoned for the key, at
	// most maxAbandoned. Their intents may still arrive and are not recorded.
	Abandoned []string
}

// Segment is an object with records that no longer fit into the head.
type Segment struct {
	Name string
	// Until is when the last record of the segment expires.
	Until time.Time
}

// Content is what a bucket's head object holds.
type Content struct {
	Segments []Segment
	Records  []Record
}

// Action is what an operation does: Begin, Finish or Abandon.
type Action interface{ isAction() }

// Begin records an intent unless there is a record.
type Begin struct{}

// Finish records an outcome.
type Finish struct{ Reply filter.Reply }

// Abandon removes an intent whose call was certainly not sent.
type Abandon struct{}

func (Begin) isAction()   {}
func (Finish) isAction()  {}
func (Abandon) isAction() {}

// Operation is a request to a bucket's writer.
type Operation struct {
	Key    Key
	ID     string
	Digest string
	Action Action
}

// Result is the answer to an operation: Done, Failed or Mismatch.
type Result interface{ isResult() }

// Done carries what is known after the operation, which is durable.
type Done struct{ Record filter.Record }

// Failed says that the operation may or may not have been recorded.
type Failed struct{ Detail string }

// Mismatch says that the identity belongs to another call.
type Mismatch struct{}

func (Done) isResult()     {}
func (Failed) isResult()   {}
func (Mismatch) isResult() {}

// Message is what a Writer reacts to.
type Message interface{ isMessage() }

// OperationRequested brings an operation.
type OperationRequested struct {
	Call      runner.Call
	Operation Operation
}

// BucketRead brings a bucket's head, and the records of its segments that the
// writer does not know.
// ObjectVersion is 0 if there is no object yet.
type BucketRead struct {
	Bucket         int
	ObjectVersion  uint64
	Content        Content
	SegmentRecords []Record
}

// BucketWritten says that a write succeeded.
type BucketWritten struct {
	Bucket        int
	ObjectVersion uint64
}

// BucketFailed says that a read or write failed, had a conflict, or that its
// outcome is unknown. In each case the bucket has to be read again.
type BucketFailed struct {
	Bucket int
	// Conflict says that another writer was first.
	Conflict bool
	Detail   string
}

// Tick passes time on.
type Tick struct{}

func (OperationRequested) isMessage() {}
func (BucketRead) isMessage()         {}
func (BucketWritten) isMessage()      {}
func (BucketFailed) isMessage()       {}
func (Tick) isMessage()               {}

// Effect is what a Writer wants done.
type Effect interface{ isEffect() }

// ReadBucket reads a bucket. Segments never change, so those that the writer
// knows are not read again.
type ReadBucket struct {
	Bucket        int
	KnownSegments []string
}

// WriteBucket writes a bucket's head if it has the version IfVersion. A
// segment, unless it is nil, is created first.
type WriteBucket struct {
	Bucket     int
	IfVersion  uint64
	Content    Content
	NewSegment *SealedSegment
	// ExpiredSegments names segments to delete after the write.
	ExpiredSegments []string
}

// SealedSegment is a new segment.
type SealedSegment struct {
	Name    string
	Records []Record
}

// AnswerCall answers an operation.
type AnswerCall struct {
	Call   runner.Call
	Result Result
}

func (ReadBucket) isEffect()  {}
func (WriteBucket) isEffect() {}
func (AnswerCall) isEffect()  {}
