package filter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
)

// Intent names a non-idempotent call.
type Intent struct {
	Workspace string
	Identity  string
	// Operation is a UUID of this request, which tells its intent from that
	// of another request with the same identity.
	Operation string
	// Digest is the SHA-256 digest of method, path, query and body in
	// hexadecimal, which tells a repeat from another call.
	Digest string
}

// Record is what is known of an intent: Fresh, Known or Uncertain.
type Record interface{ isRecord() }

// Fresh says that the intent was recorded now, so the call may be sent, once.
type Fresh struct{}

// Known says that the call has run and how it ended.
type Known struct{ Reply Reply }

// Uncertain says that the call was recorded before and that its outcome is
// not known.
type Uncertain struct{}

func (Fresh) isRecord()     {}
func (Known) isRecord()     {}
func (Uncertain) isRecord() {}

// Recorder keeps the intents and outcomes of non-idempotent calls.
type Recorder interface {
	// Begin records an intent durably unless it is there. The error is a
	// Refusal or the context's; then the call must not be sent.
	Begin(ctx context.Context, intent Intent, deadline time.Time) (Record, error)
	// Finish records the outcome of a call that ran.
	Finish(ctx context.Context, intent Intent, reply Reply) error
	// Abandon records that a call certainly did not run, so that it may be
	// sent again.
	Abandon(ctx context.Context, intent Intent) error
}

// RecordIntent makes sure that a non-idempotent call runs at most once.
type RecordIntent struct {
	Recorder Recorder
}

// Filter implements the Filter interface.
func (f RecordIntent) Filter(ctx context.Context, request *Request) Verdict {
	call, ok := request.Work.(Call)
	if !ok || request.Route.Idempotent {
		return Pass{}
	}
	request.Operation = uuid.NewString()
	record, err := f.Recorder.Begin(ctx, newIntent(request, call), request.Deadline)
	if err != nil {
		return refuseForError(ctx, err)
	}
	switch record := record.(type) {
	case Fresh:
		return Pass{}
	case Known:
		record.Reply.Replayed = true
		return Accept{Reply: record.Reply}
	default:
		return Refuse{Refusal: Refusal{
			Reason: OutcomeUnknown,
			Detail: "a call with this Idempotency-Key was sent before and its outcome is not known",
			Run:    Unknown,
		}}
	}
}

func newIntent(request *Request, call Call) Intent {
	hash := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query, call.ContentType} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(call.Body)
	return Intent{
		Workspace: request.Workspace,
		Identity:  request.Identity,
		Operation: request.Operation,
		Digest:    hex.EncodeToString(hash.Sum(nil)),
	}
}
