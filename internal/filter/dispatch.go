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
	// From is the index of the first token that the caller still needs.
	From int
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
	// Gone says that the caller went away.
	Gone bool
	// Hedged names the endpoint that failed if it is not the attempt's own.
	Hedged string
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

// finishTimeout bounds the recording of an outcome after a call.
const finishTimeout = 2 * time.Second

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
	clock   clockwork.Clock
	emit    func(Event) error
	next    int
	started time.Time
	first   time.Duration
}

// event passes an event on. The dispatcher guarantees that indexes have no
// gaps, so that a resumed stream repeats and drops nothing.
func (p *progress) event(event Event) error {
	if token, ok := event.(Token); ok {
		if p.first == 0 {
			p.first = p.clock.Since(p.started)
		}
		p.next = token.Index + 1
	}
	return p.emit(event)
}

func (f Dispatch) generate(ctx context.Context, request *Request, work Generation) Verdict {
	progress := &progress{clock: f.Clock, emit: work.Emit}
	ran := NotRun
	var avoid []string
	for count := 1; ; count++ {
		attempt := generationAttempt(request, work, progress.next)
		progress.started, progress.first = f.Clock.Now(), 0
		begun := progress.next
		attempt.Admission.Avoid = avoid
		finish, err := f.Dispatcher.Generate(ctx, attempt, progress.event)
		hedged := hedgedEndpoint(finish, err)
		f.release(request, progress, begun, hedged, err)
		if err == nil {
			return f.finished(work, finish)
		}
		ran = stronger(ran, failureOf(err).Run)
		avoid = append(avoid, attempt.Slot.Endpoint)
		if hedged != "" {
			avoid = append(avoid, hedged)
		}
		if !f.mayRetry(ctx, err, count) || !f.readmit(ctx, request, avoid) {
			return broken(ctx, err, ran, progress.next, work.PromptTokens)
		}
	}
}

// hedgedEndpoint names the endpoint of a second attempt whose result was used.
func hedgedEndpoint(finish Finish, err error) string {
	var failure Failure
	if errors.As(err, &failure) {
		return failure.Hedged
	}
	return finish.Hedged
}

func (f Dispatch) finished(work Generation, finish Finish) Verdict {
	used := finish.PromptTokens + finish.CompletionTokens
	if err := work.Emit(finish); err != nil {
		return broke(StreamBroken, Ran, used, "the caller went away")
	}
	return Accept{Used: used}
}

// release gives the slot of an attempt back. The tokens of a hedged attempt
// came from another slot, which the hedge releases.
func (f Dispatch) release(request *Request, progress *progress, begun int, hedged string, err error) {
	if hedged != "" {
		f.releaseSlot(request, SlotResult{Duration: f.Clock.Since(progress.started)}, nil)
		return
	}
	result := SlotResult{
		FirstToken: progress.first,
		Tokens:     progress.next - begun,
		Duration:   f.Clock.Since(progress.started),
	}
	f.releaseSlot(request, result, err)
}

func (f Dispatch) releaseSlot(request *Request, result SlotResult, err error) {
	var failure Failure
	if errors.As(err, &failure) {
		result.Refused = failure.Refused
		result.Failed = !failure.Gone && !failure.Refused
	}
	f.Scheduler.Release(request.Slot, result)
	request.Slot = Slot{}
}

// mayRetry says whether an idempotent request may be sent again.
func (f Dispatch) mayRetry(ctx context.Context, err error, count int) bool {
	var failure Failure
	if errors.As(err, &failure) && failure.Gone {
		return false
	}
	return ctx.Err() == nil && count < maxAttempts && f.Budget.Spend()
}

// readmit gets a slot at another endpoint. A request that already waited once
// keeps its deadline; a stream that has begun waits as long as a new request.
func (f Dispatch) readmit(ctx context.Context, request *Request, avoid []string) bool {
	ask := admission(request)
	ask.Avoid = avoid
	if late := f.Clock.Now().Add(InteractivePatience); late.After(ask.Deadline) {
		ask.Deadline = late
	}
	slot, err := f.Scheduler.Admit(ctx, ask)
	if err != nil {
		return false
	}
	request.Slot = slot
	return true
}

func generationAttempt(request *Request, work Generation, from int) Attempt {
	attempt := Attempt{
		ID:           uuid.NewString(),
		Slot:         request.Slot,
		From:         from,
		Model:        request.Target.Model.Name,
		Version:      request.Target.Model.Version,
		Prompt:       work.Prompt,
		PromptTokens: work.PromptTokens,
		MaxTokens:    work.MaxTokens,
		Admission:    admission(request),
	}
	if adapter := request.Target.Adapter; adapter != nil {
		attempt.Adapter, attempt.AdapterVersion = adapter.Name, adapter.Version
	}
	return attempt
}

func (f Dispatch) call(ctx context.Context, request *Request, call Call) Verdict {
	ran := NotRun
	var avoid []string
	for count := 1; ; count++ {
		attempt := callAttempt(request, call)
		started := f.Clock.Now()
		sending, stop := f.sendingContext(ctx, request)
		reply, err := f.Dispatcher.Call(sending, attempt)
		stop()
		f.releaseSlot(request, SlotResult{Duration: f.Clock.Since(started)}, err)
		if !request.Route.Idempotent {
			return f.once(ctx, request, call, reply, err)
		}
		if err == nil {
			return Accept{Reply: reply, Used: CallTokens}
		}
		ran = stronger(ran, failureOf(err).Run)
		avoid = append(avoid, attempt.Slot.Endpoint)
		if !f.mayRetry(ctx, err, count) || !f.readmit(ctx, request, avoid) {
			return broken(ctx, err, ran, 0, CallTokens)
		}
	}
}

// onceTimeout bounds a non-idempotent call whose caller may be gone.
const onceTimeout = time.Minute

// sendingContext returns the context of an attempt. A non-idempotent call is
// not stopped when its caller goes or its key is withdrawn: it may have run by
// then, and its outcome must be recorded.
func (f Dispatch) sendingContext(ctx context.Context, request *Request) (context.Context, context.CancelFunc) {
	if request.Route.Idempotent {
		return ctx, func() {}
	}
	return clockwork.WithTimeout(context.WithoutCancel(ctx), f.Clock, onceTimeout)
}

// once records the outcome of a non-idempotent call and never sends it again.
func (f Dispatch) once(ctx context.Context, request *Request, call Call, reply Reply, err error) Verdict {
	ctx, stop := clockwork.WithTimeout(context.WithoutCancel(ctx), f.Clock, finishTimeout)
	defer stop()
	recorded := intent(request, call)
	if err == nil {
		// A failure to record leaves the intent without an outcome, so that a
		// repeat is told "unknown".
		_ = f.Recorder.Finish(ctx, recorded, reply)
		return Accept{Reply: reply, Used: CallTokens}
	}
	var failure Failure
	if errors.As(err, &failure) && failure.Run == NotRun {
		if f.Recorder.Abandon(ctx, recorded) == nil {
			return refuse(NoEndpoint, "no endpoint took the call: %v", failure.Err)
		}
	}
	return broke(OutcomeUnknown, Unknown, CallTokens, "the call was sent and its outcome is not known: %v", err)
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
