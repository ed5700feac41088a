package filter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Attempt is one attempt to run a request at one endpoint.
type Attempt struct {
	// ID is a UUID that the endpoint echoes in its answer.
	ID   string
	Slot Slot
	// StartIndex is the index of the first token that the caller does not have
	// yet.
	StartIndex int
	// Model, Version, Adapter and AdapterVersion are set for generations.
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	Prompt         string
	PromptTokens   int
	// MaxTokens limits the answer, counted from index 0.
	MaxTokens int
	// Admission describes the request to the scheduler when a hedge needs a
	// second slot for the same generation.
	Admission Admission
	// Workspace and Identity are set for service calls. Identity is empty
	// unless the caller sent one.
	Workspace string
	Identity  string
	// Idempotent reports that a call may be sent more than once.
	Idempotent bool
	Call       Call
}

// Failure is the error of an attempt.
type Failure struct {
	// Run reports whether the attempt ran at the endpoint.
	Run Run
	// Refused reports that the endpoint answered with a refusal.
	Refused bool
	// CallerGone reports that the caller disconnected.
	CallerGone bool
	// HedgeEndpoint is the name of the endpoint that failed, if it is the one of
	// a hedge and not the attempt's own.
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

// Dispatcher sends attempts to endpoints. Its errors are of type Failure.
type Dispatcher interface {
	// Generate streams an answer to emit, from index attempt.StartIndex.
	Generate(ctx context.Context, attempt Attempt, emit func(Event) error) (Finish, error)
	// Call calls a plain service.
	Call(ctx context.Context, attempt Attempt) (Reply, error)
}

// Budget limits retries, so that they cannot multiply the load.
type Budget interface {
	// Spend reports whether another retry is allowed now, and takes it from
	// the budget if so.
	Spend() bool
}

// maxAttempts limits the attempts of one request, independent of the budget.
const maxAttempts = 4

// maxTokenlessFailures limits the endpoints at which a generation may run and fail
// before its first token. Its prompt may be what crashes them.
const maxTokenlessFailures = 2

// recordTimeout limits the recording of an outcome after a call.
const recordTimeout = 2 * time.Second

// Dispatch sends a request to the endpoint of its slot, and retries it at other
// endpoints if it may be sent again. It is the last filter of a chain.
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

// progress tracks the part of an answer that has been sent to the caller.
type progress struct {
	clock      clockwork.Clock
	emit       func(Event) error
	nextIndex  int
	startedAt  time.Time
	firstToken time.Duration
}

// deliver passes an event to the caller. The dispatcher guarantees that token
// indexes have no gaps, so a resumed stream neither repeats nor omits tokens.
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
	tokenlessFailures := 0
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
		if failureOf(err).Run != NotRun && progress.nextIndex == startIndex {
			tokenlessFailures++
		}
		if tokenlessFailures >= maxTokenlessFailures || !f.shouldRetry(ctx, err, attempts) || !f.readmit(ctx, request, failedEndpoints) {
			return failedVerdict(ctx, err, run, progress.nextIndex, work.PromptTokens)
		}
	}
}

// usedHedgeEndpoint returns the name of the endpoint of a hedge if its result was
// used, else "".
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

// release releases the slot of an attempt. If the result of a hedge was used, the
// tokens came from another slot, which the hedge itself releases.
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

// shouldRetry reports whether an idempotent request may be sent again. If so, it
// takes one retry from the budget.
func (f Dispatch) shouldRetry(ctx context.Context, err error, attempts int) bool {
	var failure Failure
	if errors.As(err, &failure) && failure.CallerGone {
		return false
	}
	return ctx.Err() == nil && attempts < maxAttempts && f.Budget.Spend()
}

// readmit waits for a slot at another endpoint, and reports whether it got one.
// The request keeps its deadline unless less than InteractiveTimeout is left, as
// for a stream that has started: it then waits as long as a new request.
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

// nonIdempotentTimeout limits a non-idempotent call, which continues after its
// caller has disconnected.
const nonIdempotentTimeout = time.Minute

// attemptContext returns the context of an attempt. A non-idempotent call is
// not cancelled when its caller disconnects or its key is withdrawn: it may have
// run by then, and its outcome must be recorded.
func (f Dispatch) attemptContext(ctx context.Context, request *Request) (context.Context, context.CancelFunc) {
	if request.Route.Idempotent {
		return ctx, func() {}
	}
	return clockwork.WithTimeout(context.WithoutCancel(ctx), f.Clock, nonIdempotentTimeout)
}

// finishNonIdempotent records the outcome of a non-idempotent call, which is never
// retried.
func (f Dispatch) finishNonIdempotent(ctx context.Context, request *Request, call Call, reply Reply, err error) Verdict {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), f.Clock, recordTimeout)
	defer cancel()
	intent := newIntent(request, call)
	if err == nil {
		// If recording fails, the intent stays without an outcome, and a repeated
		// call is refused with OutcomeUnknown.
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
