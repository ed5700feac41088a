package recorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/ranker"
)

// ErrUnrecorded reports that an outcome was not recorded, so that a retry of
// the call is answered with an unknown outcome.
var ErrUnrecorded = merry.Sentinel("outcome was not recorded")

const (
	// maxWritersTried is the number of nodes that are tried for one operation.
	// It is safe for two nodes to write the same bucket.
	maxWritersTried = 2
	// writerTimeout bounds one operation at one writer: a read, a write and the
	// wait for the preceding write.
	writerTimeout = 3 * time.Second
)

// Recorder sends operations to the writers of their buckets. It implements
// filter.Recorder.
type Recorder struct {
	Clock clockwork.Clock
	// Self is the name of this node.
	Self string
	// Nodes returns the addresses of the live nodes by name, including this
	// node.
	Nodes func() map[string]string
	// Local executes an operation at this node's writer, Remote at the writer
	// of the node with the given address.
	Local  func(ctx context.Context, operation Operation) (Result, error)
	Remote func(ctx context.Context, address string, operation Operation) (Result, error)
}

// Begin implements filter.Recorder.
func (r Recorder) Begin(ctx context.Context, intent filter.Intent, deadline time.Time) (filter.Record, error) {
	ctx, cancel := clockwork.WithDeadline(ctx, r.Clock, deadline)
	defer cancel()
	operation := newOperation(intent, Begin{})
	switch result := r.execute(ctx, operation).(type) {
	case Done:
		return result.Record, nil
	case Mismatch:
		return nil, filter.Refusal{
			Reason: filter.IdentityReused,
			Detail: "this Idempotency-Key was used for a call with other content",
			Run:    filter.NotRun,
		}
	case Failed:
		// The intent may have been recorded nevertheless. This node does not
		// send the call, so the record can be removed.
		r.abandonAsync(intent)
		return nil, filter.Refusal{
			Reason: filter.JournalUnavailable,
			Detail: "the call cannot be recorded now, so it was not sent: " + result.Detail,
			Run:    filter.NotRun,
		}
	default:
		return nil, merry.Errorf("unexpected result %T", result)
	}
}

func (r Recorder) abandonAsync(intent filter.Intent) {
	go func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), r.Clock, writerTimeout)
		defer cancel()
		_ = r.Abandon(ctx, intent)
	}()
}

// Finish implements filter.Recorder. It returns ErrUnrecorded if the outcome
// could not be recorded.
func (r Recorder) Finish(ctx context.Context, intent filter.Intent, reply filter.Reply) error {
	if len(reply.Body) > MaxBodyBytes || len(reply.ContentType) > maxContentTypeBytes {
		reply.Body, reply.ContentType = nil, ""
	}
	return r.executeConfirmed(ctx, newOperation(intent, Finish{Reply: reply}))
}

// Abandon implements filter.Recorder. It returns ErrUnrecorded if the intent
// could not be removed.
func (r Recorder) Abandon(ctx context.Context, intent filter.Intent) error {
	return r.executeConfirmed(ctx, newOperation(intent, Abandon{}))
}

func (r Recorder) executeConfirmed(ctx context.Context, operation Operation) error {
	switch result := r.execute(ctx, operation).(type) {
	case Failed:
		return merry.Wrap(ErrUnrecorded, merry.AppendMessage(result.Detail))
	case Done:
		if _, uncertain := result.Record.(filter.Uncertain); uncertain {
			return merry.Wrap(ErrUnrecorded, merry.AppendMessage("another outcome is recorded"))
		}
	}
	return nil
}

// execute tries the writers of the operation's bucket in the order of their
// rank.
func (r Recorder) execute(ctx context.Context, operation Operation) Result {
	nodes := r.Nodes()
	names := make([]string, 0, len(nodes))
	for name := range nodes {
		names = append(names, name)
	}
	key := bucketKind + "/" + strconv.Itoa(BucketOf(operation.Key))
	detail := "no node can be reached"
	for _, name := range ranker.Rank(key, names)[:min(maxWritersTried, len(names))] {
		result, err := r.executeAt(ctx, name, nodes[name], operation)
		if err != nil {
			detail = err.Error()
			continue
		}
		failed, ok := result.(Failed)
		if !ok {
			return result
		}
		detail = failed.Detail
	}
	return Failed{Detail: detail}
}

func (r Recorder) executeAt(ctx context.Context, name, address string, operation Operation) (Result, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, writerTimeout)
	defer cancel()
	if name == r.Self {
		return r.Local(ctx, operation)
	}
	return r.Remote(ctx, address, operation)
}

func newOperation(intent filter.Intent, action Action) Operation {
	hash := sha256.New()
	hash.Write([]byte(intent.Workspace))
	hash.Write([]byte{0})
	hash.Write([]byte(intent.Identity))
	return Operation{
		Key:    Key(hex.EncodeToString(hash.Sum(nil)[:16])),
		ID:     intent.Operation,
		Digest: intent.Digest[:16],
		Action: action,
	}
}
