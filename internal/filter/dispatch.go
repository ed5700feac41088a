package filter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Attempt is one try of a request at one endpoint.
type Attempt struct {
	// ID is a UUID that the endpoint repeats in its answer.
	ID   string
	Slot Slot
	// StartIndex is the index of the first token that the caller still needs.
	StartIndex int
	// Model, Version, Adapter and AdapterVersion are set for generations.
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	Prompt         string
	PromptTokens   int
	// MaxTokens bounds the answer, counted from index 0.
	MaxTokens int
	// Admission is what a second slot for the same generation needs.
	Admission Admission
	// Workspace and Identity are set for service calls. Identity is empty
	// unless the caller gave one.
	Workspace string
	Identity  string
	// Idempotent says that a call may be sent more than once.
	Idempotent bool
	Call       Call
}

// Failure is the error of an attempt.
type Failure struct {
	// Run says whether the attempt ran at the endpoint.
	Run Run
	// Refused says that the endpoint answered with a refusal.
	Refused bool
	// CallerGone says that the caller went away.
	CallerGone bool
	// HedgeEndpoint names the endpoint that failed if it is not the attempt's own.
	HedgeEndpoint string
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (f Failure) Error() string {
	return fmt.Sprintf("attempt failed (%s): %v", f.Run, f.Err)
}

// Unwrap returns the cause.
func (f Failure) Unwrap() error { return f.Err }

// Dispatcher sends attempts to endpoints. Its errors are Failures.
type Dispatcher interface {
	// Generate streams an answer to emit, from the index attempt.From.
	Generate(ctx context.Context, attempt Attempt, emit func(Event) error) (Finish, error)
	// Call calls a plain service.
	Call(ctx context.Context, attempt Attempt) (Reply, error)
}

// Budget bounds retries, so that they cannot multiply the load.
type Budget interface {
	// Spend says whether one more retry is allowed now.
	Spend() bool
}

// maxAttempts bounds the attempts of one request whatever the budget allows.
const maxAttempts = 4

// recordTimeout bounds the recording of an outcome after a call.
const recordTimeout = 2 * time.Second

// Dispatch sends a request to the endpoint of its slot, and to other endpoints
// if it may be sent again. It ends every chain.
type Dispatch struct {
	Clock      clockwork.Clock
	Scheduler  Scheduler
	Dispatcher Dispatcher
	Recorder   Recorder
	Budget     Budget
}

// Filter implements the Filter interface.
func (f Dispatch) Filter(ctx context.Context, request *Request) Verdict {
	switch work := request.Work.(type) {
	case Generation:
		return f.generate(ctx, request, work)
	case Call:
		return f.call(ctx, request, work)
	default:
		panic(fmt.Sprintf("unknown work %T", work))
	}
}

// progress follows the part of an answer that has reached the caller.
type progress struct {
	clock      clockwork.Clock
	emit       func(Event) error
	nextIndex  int
	startedAt  time.Time
	firstToken time.Duration
}

// deliver passes an event on. The dispatcher guarantees that indexes have no
// gaps, so that a resumed stream repeats and drops nothing.
func (p *progress) deliver(event Event) error {
	if token, ok := event.(Token); ok {
		if p.firstToken == 0 {
			p.firstToken = p.clock.Since(p.startedAt)
		}
		p.nextIndex = token.Index + 1
	}
	return p.emit(event)
}

func (f Dispatch) generate(ctx context.Context, request *Request, work Generation) Verdict {
	progress := &progress{clock: f.Clock, emit: work.Emit}
	run := NotRun
	var failedEndpoints []string
	for attempts := 1; ; attempts++ {
		attempt := generationAttempt(request, work, progress.nextIndex)
		progress.startedAt, progress.firstToken = f.Clock.Now(), 0
		startIndex := progress.nextIndex
		attempt.Admission.Avoid = failedEndpoints
		finish, err := f.Dispatcher.Generate(ctx, attempt, progress.deliver)
		hedgeEndpoint := usedHedgeEndpoint(finish, err)
		f.release(request, progress, startIndex, hedgeEndpoint, err)
		if err == nil {
			return f.finishGeneration(work, finish)
		}
		run = combineRuns(run, failureOf(err).Run)
		failedEndpoints = append(failedEndpoints, attempt.Slot.Endpoint)
		if hedgeEndpoint != "" {
			failedEndpoints = append(failedEndpoints, hedgeEndpoint)
		}
		if !f.shouldRetry(ctx, err, attempts) || !f.readmit(ctx, request, failedEndpoints) {
			return failedVerdict(ctx, err, run, progress.nextIndex, work.PromptTokens)
		}
	}
}

// usedHedgeEndpoint names the endpoint of a second attempt whose result was used.
func usedHedgeEndpoint(finish Finish, err error) string {
	var failure Failure
	if errors.As(err, &failure) {
		return failure.HedgeEndpoint
	}
	return finish.HedgeEndpoint
}

func (f Dispatch) finishGeneration(work Generation, finish Finish) Verdict {
	used := finish.PromptTokens + finish.CompletionTokens
	if err := work.Emit(finish); err != nil {
		return refuseAfterStart(StreamBroken, Ran, used, "the caller went away")
	}
	return Accept{Used: used}
}

// release gives the slot of an attempt back. The tokens of a hedged attempt
// came from another slot, which the hedge releases.
func (f Dispatch) release(request *Request, progress *progress, startIndex int, hedgeEndpoint string, err error) {
	if hedgeEndpoint != "" {
		f.releaseSlot(request, SlotResult{Duration: f.Clock.Since(progress.startedAt)}, nil)
		return
	}
	result := SlotResult{
		FirstToken: progress.firstToken,
		Tokens:     progress.nextIndex - startIndex,
		Duration:   f.Clock.Since(progress.startedAt),
	}
	f.releaseSlot(request, result, err)
}

func (f Dispatch) releaseSlot(request *Request, result SlotResult, err error) {
	var failure Failure
	if errors.As(err, &failure) {
		result.Refused = failure.Refused
		result.Failed = !failure.CallerGone && !failure.Refused
	}
	f.Scheduler.Release(request.Slot, result)
	request.Slot = Slot{}
}

// shouldRetry says whether an idempotent request may be sent again.
func (f Dispatch) shouldRetry(ctx context.Context, err error, attempts int) bool {
	var failure Failure
	if errors.As(err, &failure) && failure.CallerGone {
		return false
	}
	return ctx.Err() == nil && attempts < maxAttempts && f.Budget.Spend()
}

// readmit gets a slot at another endpoint. A request that already waited once
// keeps its deadline; a stream that has begun waits as long as a new request.
func (f Dispatch) readmit(ctx context.Context, request *Request, failedEndpoints []string) bool {
	retry := newAdmission(request)
	retry.Avoid = failedEndpoints
	if minDeadline := f.Clock.Now().Add(InteractiveTimeout); minDeadline.After(retry.Deadline) {
		retry.Deadline = minDeadline
	}
	slot, err := f.Scheduler.Admit(ctx, retry)
	if err != nil {
		return false
	}
	request.Slot = slot
	return true
}

func generationAttempt(request *Request, work Generation, startIndex int) Attempt {
	attempt := Attempt{
		ID:           uuid.NewString(),
		Slot:         request.Slot,
		StartIndex:   startIndex,
		Model:        request.Target.Model.Name,
		Version:      request.Target.Model.Version,
		Prompt:       work.Prompt,
		PromptTokens: work.PromptTokens,
		MaxTokens:    work.MaxTokens,
		Admission:    newAdmission(request),
	}
	if adapter := request.Target.Adapter; adapter != nil {
		attempt.Adapter, attempt.AdapterVersion = adapter.Name, adapter.Version
	}
	return attempt
}

func (f Dispatch) call(ctx context.Context, request *Request, call Call) Verdict {
	run := NotRun
	var failedEndpoints []string
	for attempts := 1; ; attempts++ {
		attempt := callAttempt(request, call)
		startedAt := f.Clock.Now()
		attemptCtx, cancel := f.attemptContext(ctx, request)
		reply, err := f.Dispatcher.Call(attemptCtx, attempt)
		cancel()
		f.releaseSlot(request, SlotResult{Duration: f.Clock.Since(startedAt)}, err)
		if !request.Route.Idempotent {
			return f.finishNonIdempotent(ctx, request, call, reply, err)
		}
		if err == nil {
			return Accept{Reply: reply, Used: CallTokens}
		}
		run = combineRuns(run, failureOf(err).Run)
		failedEndpoints = append(failedEndpoints, attempt.Slot.Endpoint)
		if !f.shouldRetry(ctx, err, attempts) || !f.readmit(ctx, request, failedEndpoints) {
			return failedVerdict(ctx, err, run, 0, CallTokens)
		}
	}
}

// nonIdempotentTimeout bounds a non-idempotent call whose caller may be gone.
const nonIdempotentTimeout = time.Minute

// attemptContext returns the context of an attempt. A non-idempotent call is
// not stopped when its caller goes or its key is withdrawn: it may have run by
// then, and its outcome must be recorded.
func (f Dispatch) attemptContext(ctx context.Context, request *Request) (context.Context, context.CancelFunc) {
	if request.Route.Idempotent {
		return ctx, func() {}
	}
	return clockwork.WithTimeout(context.WithoutCancel(ctx), f.Clock, nonIdempotentTimeout)
}

// finishNonIdempotent records the outcome of a non-idempotent call and never sends it again.
func (f Dispatch) finishNonIdempotent(ctx context.Context, request *Request, call Call, reply Reply, err error) Verdict {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), f.Clock, recordTimeout)
	defer cancel()
	intent := newIntent(request, call)
	if err == nil {
		// A failure to record leaves the intent without an outcome, so that a
		// repeat is told "unknown".
		_ = f.Recorder.Finish(ctx, intent, reply)
		return Accept{Reply: reply, Used: CallTokens}
	}
	var failure Failure
	if errors.As(err, &failure) && failure.Run == NotRun {
		if f.Recorder.Abandon(ctx, intent) == nil {
			return refuse(NoEndpoint, "no endpoint took the call").withCause(failure.Err)
		}
	}
	return refuseAfterStart(OutcomeUnknown, Unknown, CallTokens, "the call was sent and its outcome is not known").withCause(err)
}

func callAttempt(request *Request, call Call) Attempt {
	attempt := Attempt{
		ID:         uuid.NewString(),
		Slot:       request.Slot,
		Workspace:  request.Workspace,
		Idempotent: request.Route.Idempotent,
		Call:       call,
	}
	if request.IdentityGiven {
		attempt.Identity = request.Identity
	}
	return attempt
}
