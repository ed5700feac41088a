package recorder

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Sizes, limits and intervals.
const (
	// BucketCount is the number of objects among which the records are divided.
	// With one write per CommitInterval each, they cause at most 200 writes per
	// second.
	BucketCount    = 8
	CommitInterval = 40 * time.Millisecond
	// RecordLifetime is how long a record is kept. A retry after that executes
	// the call again.
	RecordLifetime = 24 * time.Hour
	// maxHeadBytes is the size of a bucket's head object above which its older
	// records are sealed into a segment.
	maxHeadBytes = 256 << 10
	// maxBatchBytes bounds the size of the records that one write adds. It
	// keeps heads and segments well below the platform's limit of 1 MiB.
	maxBatchBytes = 256 << 10
	// maxPending bounds the number of operations that wait for a bucket's next
	// write.
	maxPending = 4096
	// MaxBodyBytes is the size of the largest reply body that is recorded. The
	// outcome of a call with a larger body is recorded without it.
	MaxBodyBytes = 4 << 10
	// maxContentTypeBytes bounds the recorded content type. A reply with a
	// longer one is recorded without its body and content type.
	maxContentTypeBytes = 128
	// maxAbandoned bounds the number of abandoned operations that are kept per
	// key.
	maxAbandoned = 4
	// minRetryDelay and maxRetryDelay bound the backoff after a failed read or
	// write.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxConsecutiveFailures is the number of consecutive failures after which
	// pending operations fail instead of waiting for the next attempt.
	maxConsecutiveFailures = 3
)

// Key is the hexadecimal hash of a workspace and a call's identity.
type Key string

// Record is the stored state of a call.
type Record struct {
	Key Key
	// Operation identifies the request that recorded the intent.
	Operation string
	// Digest distinguishes a retry from another call with the same identity.
	Digest string
	// At is when the intent was recorded, by the writer's clock.
	At time.Time
	// Reply is the outcome, or nil if it is not known yet.
	Reply *filter.Reply
	// Abandoned lists the IDs of the most recently abandoned operations for the
	// key, at most maxAbandoned. Their intents may still arrive and must not be
	// recorded.
	Abandoned []string
}

// Segment refers to an object that holds records moved out of the head.
type Segment struct {
	Name string
	// Until is when the last record of the segment expires.
	Until time.Time
}

// Content is the content of a bucket's head object.
type Content struct {
	Segments []Segment
	Records  []Record
}

// Action is the effect of an operation: Begin, Finish or Abandon.
type Action interface{ isAction() }

// Begin records an intent unless the key already has a record.
type Begin struct{}

// Finish records an outcome.
type Finish struct{ Reply filter.Reply }

// Abandon removes the intent of a call that was certainly not sent.
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

// Result is the result of an operation: Done, Failed or Mismatch.
type Result interface{ isResult() }

// Done carries the call's record after the operation, which is durable.
type Done struct{ Record filter.Record }

// Failed reports that the operation may or may not have been recorded.
type Failed struct{ Detail string }

// Mismatch reports that another call has used the same identity.
type Mismatch struct{}

func (Done) isResult()     {}
func (Failed) isResult()   {}
func (Mismatch) isResult() {}

// Message is an input of Writer.
type Message interface{ isMessage() }

// OperationRequested carries an operation to execute.
type OperationRequested struct {
	Call      runner.Call
	Operation Operation
}

// BucketRead carries a bucket's head and the records of its segments that are
// not in ReadBucket.KnownSegments. ObjectVersion is 0 if the object does not
// exist yet.
type BucketRead struct {
	Bucket int
	// Era is the era of the object API, 0 if it is not known.
	Era            uint64 `json:",omitempty"`
	ObjectVersion  uint64
	Content        Content
	SegmentRecords []Record
}

// BucketWritten reports that a write succeeded.
type BucketWritten struct {
	Bucket int
	// Era is that in which the write took effect.
	Era           uint64 `json:",omitempty"`
	ObjectVersion uint64
}

// BucketFailed reports that a read or write failed, that a write conflicted, or
// that its outcome is unknown. In each case the bucket must be read again.
type BucketFailed struct {
	Bucket int
	// Conflict reports that another writer has changed the bucket.
	Conflict bool
	Detail   string
}

// Tick reports that the writer's wake time has come.
type Tick struct{}

func (OperationRequested) isMessage() {}
func (BucketRead) isMessage()         {}
func (BucketWritten) isMessage()      {}
func (BucketFailed) isMessage()       {}
func (Tick) isMessage()               {}

// Effect is an output of Writer: ReadBucket, WriteBucket or AnswerCall.
type Effect interface{ isEffect() }

// ReadBucket reads a bucket. Segments are immutable, so those in KnownSegments
// are not read again.
type ReadBucket struct {
	Bucket        int
	KnownSegments []string
}

// WriteBucket writes a bucket's head if its version is IfVersion. NewSegment,
// unless nil, is created before that.
type WriteBucket struct {
	Bucket     int
	IfVersion  uint64
	Content    Content
	NewSegment *SealedSegment
	// ExpiredSegments names the segments to delete after the write.
	ExpiredSegments []string
}

// SealedSegment is a new segment with records from the head.
type SealedSegment struct {
	Name    string
	Records []Record
}

// AnswerCall returns the result of an operation to its caller.
type AnswerCall struct {
	Call   runner.Call
	Result Result
}

func (ReadBucket) isEffect()  {}
func (WriteBucket) isEffect() {}
func (AnswerCall) isEffect()  {}
