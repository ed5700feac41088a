package filter

import (
	"context"
	"time"
)

// Verdict is a filter's decision: Pass, Refuse or Accept.
type Verdict interface{ isVerdict() }

// Pass passes the request to the next filter.
type Pass struct {
	// Context, unless nil, replaces the request's context for the following
	// filters.
	Context context.Context
	// CleanUp, unless nil, is called when the request has ended.
	CleanUp func(Outcome)
}

// Refuse ends the request with a refusal.
type Refuse struct {
	Refusal Refusal
	// Used is the number of tokens that the request used before it failed.
	Used int
	// Cause is for logs only, because it may contain internal addresses.
	Cause error
}

// Accept ends the request with an answer. For a generation the answer has
// been emitted, and Reply is empty.
type Accept struct {
	Reply Reply
	// Used is the number of tokens that the request used.
	Used int
}

func (Pass) isVerdict()   {}
func (Refuse) isVerdict() {}
func (Accept) isVerdict() {}

// Run reports whether a request ran at an endpoint.
type Run string

// The values of Run.
const (
	// NotRun is used only if it is certain that the request did not run.
	NotRun  Run = "not run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Reason is the kind of a refusal, as documented in docs/protocols.md.
type Reason string

// The reasons of refusals.
const (
	MalformedRequest    Reason = "malformed-request"
	MissingKey          Reason = "missing-key"
	UnknownKey          Reason = "unknown-key"
	KeyWithdrawn        Reason = "key-withdrawn"
	UnknownModel        Reason = "unknown-model"
	UnknownService      Reason = "unknown-service"
	UnknownRoute        Reason = "unknown-route"
	TooLarge            Reason = "too-large"
	IdentityReused      Reason = "identity-reused"
	MissingIdentity     Reason = "missing-identity"
	RateLimited         Reason = "rate-limited"
	Overloaded          Reason = "overloaded"
	DeadlineUnreachable Reason = "deadline-unreachable"
	DeadlinePassed      Reason = "deadline-passed"
	Draining            Reason = "draining"
	NotCurrent          Reason = "not-current"
	NoEndpoint          Reason = "no-endpoint"
	JournalUnavailable  Reason = "journal-unavailable"
	OutcomeUnknown      Reason = "outcome-unknown"
	EndpointFailed      Reason = "endpoint-failed"
	StreamBroken        Reason = "stream-broken"
	Quarantined         Reason = "quarantined"
	OriginUnknown       Reason = "origin-unknown"
	Evacuated           Reason = "evacuated"
	CallerGone          Reason = "caller-gone"
)

// Refusal describes why a request was not answered and whether it ran.
type Refusal struct {
	Reason Reason
	// Detail is for the caller: it describes what is wrong and what is
	// allowed.
	Detail string
	Run    Run
	// RetryAfter is the delay after which a retry may succeed; 0 means
	// unknown.
	RetryAfter time.Duration
}

// Error implements the error interface, so that limiters, schedulers and
// recorders can return a Refusal to their filter.
func (r Refusal) Error() string {
	return string(r.Reason) + ": " + r.Detail
}

// Outcome describes to clean-ups how a request ended.
type Outcome struct {
	// Refusal is nil if the request was answered.
	Refusal *Refusal
	// Used is the number of tokens that the request used.
	Used int
}
