package filter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
)

// Intent identifies a non-idempotent call.
type Intent struct {
	Workspace string
	Identity  string
	// Operation is a UUID of this request, which distinguishes its intent from
	// that of another request with the same identity.
	Operation string
	// Digest is the SHA-256 digest of the method, path, query, content type and
	// body in hexadecimal. It distinguishes a repeated call from a different
	// call with the same identity.
	Digest string
}

// Record is the recorded state of an intent: Fresh, Known or Uncertain.
type Record interface{ isRecord() }

// Fresh reports that the intent is newly recorded, so that the call may be sent
// once.
type Fresh struct{}

// Known reports that the call has run, with its reply.
type Known struct{ Reply Reply }

// Uncertain reports that the call was recorded before and that its outcome is
// unknown.
type Uncertain struct{}

func (Fresh) isRecord()     {}
func (Known) isRecord()     {}
func (Uncertain) isRecord() {}

// Recorder stores the intents and outcomes of non-idempotent calls.
type Recorder interface {
	// Begin records an intent durably unless it is already recorded. The error
	// is a Refusal or the error of the context; after an error the call must
	// not be sent.
	Begin(ctx context.Context, intent Intent, deadline time.Time) (Record, error)
	// Finish records the outcome of a call that ran.
	Finish(ctx context.Context, intent Intent, reply Reply) error
	// Abandon records that a call certainly did not run, so that it may be
	// sent again.
	Abandon(ctx context.Context, intent Intent) error
}

// RecordIntent ensures that a non-idempotent call runs at most once.
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
