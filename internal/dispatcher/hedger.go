package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// Hedger implements filter.Dispatcher. It starts a second attempt on another
// endpoint, within the retry budget, for a generation whose first endpoint sends
// nothing.
type Hedger struct {
	// Dispatcher sends the attempts.
	filter.Dispatcher
	Scheduler filter.Scheduler
	Budget    filter.Budget
	Clock     clockwork.Clock
	// MinDelay is the minimum time before a second attempt; 0 means the
	// default.
	MinDelay time.Duration
}

const (
	// defaultHedgeDelay is half of the time after which an attempt fails, and
	// twice the keep-alive interval of the engines.
	defaultHedgeDelay = time.Second
	// hedgeEstimateFactor is half of firstByteEstimateFactor, so that the second
	// attempt starts before the first one fails.
	hedgeEstimateFactor = 2
)

// errOtherResponded is the cancellation cause of an attempt's context when the
// other attempt responded first.
var errOtherResponded = merry.Sentinel("another attempt responded first")

// hedgeEvent is an input of a hedged generation: an event of an attempt's
// response, the end of an attempt, or the result of a slot request.
type hedgeEvent struct {
	message HedgeMessage
	attempt int
	event   filter.Event
	finish  filter.Finish
	err     error
}

// hedgedRequest is one generation. Only the request's goroutine uses it, except
// for the channels.
type hedgedRequest struct {
	Hedger
	hedge   *Hedge
	spec    filter.Attempt
	emit    func(filter.Event) error
	ctx     context.Context
	events  chan hedgeEvent
	done    chan struct{}
	cancels [2]context.CancelCauseFunc
	slots   [2]filter.Slot
	ended   [2]hedgeEvent
	// cancelSlotRequest cancels the pending request for a second slot.
	cancelSlotRequest context.CancelFunc
	emitErr           error
	// finalAttempt is the attempt whose result completes the request, -1 before
	// the request is complete.
	finalAttempt int
}

// Generate implements filter.Dispatcher.
func (h Hedger) Generate(ctx context.Context, spec filter.Attempt, emit func(filter.Event) error) (filter.Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &hedgedRequest{
		Hedger: h, hedge: NewHedge(), spec: spec, emit: emit, ctx: ctx, finalAttempt: noAttempt,
		// The buffer lets an attempt continue to read while an event is written
		// to the caller.
		events: make(chan hedgeEvent, 16),
		done:   make(chan struct{}),
	}
	defer close(request.done)
	return request.run()
}

// hedgeDelay returns the time to wait for the first byte before a second
// attempt.
func (h Hedger) hedgeDelay(estimate time.Duration) time.Duration {
	return max(orDefault(h.MinDelay, defaultHedgeDelay), hedgeEstimateFactor*estimate)
}

func (r *hedgedRequest) run() (filter.Finish, error) {
	delay := r.hedgeDelay(r.spec.Slot.Estimate)
	timer := r.Clock.NewTimer(delay)
	defer timer.Stop()
	r.step(HedgeBegin{Slot: r.spec.Slot, HedgeDelay: delay})
	for r.finalAttempt == noAttempt && r.emitErr == nil {
		select {
		case event := <-r.events:
			r.handle(event)
		case <-timer.Chan():
			r.step(HedgeTick{})
		}
	}
	if r.emitErr != nil {
		return filter.Finish{}, filter.Failure{Run: filter.Ran, CallerGone: true, Err: r.emitErr}
	}
	return r.outcome()
}

// outcome returns the result of the attempt that completed the request.
func (r *hedgedRequest) outcome() (filter.Finish, error) {
	result := r.ended[r.finalAttempt]
	hedged := ""
	if r.finalAttempt == 1 {
		hedged = r.slots[1].Endpoint
	}
	var failure filter.Failure
	if errors.As(result.err, &failure) {
		failure.HedgeEndpoint = hedged
		failure.Run = r.combinedRun(failure.Run)
		return filter.Finish{}, failure
	}
	result.finish.HedgeEndpoint = hedged
	return result.finish, result.err
}

// combinedRun returns whether the request ran, given the run status of the final
// attempt. It is NotRun only if neither attempt ran.
func (r *hedgedRequest) combinedRun(run filter.Run) filter.Run {
	var other filter.Failure
	if run == filter.NotRun && errors.As(r.ended[1-r.finalAttempt].err, &other) {
		return other.Run
	}
	return run
}

func (r *hedgedRequest) handle(event hedgeEvent) {
	if event.event == nil {
		if _, ended := event.message.(HedgeEnded); ended {
			r.ended[event.attempt] = event
		}
		r.step(event.message)
		return
	}
	if r.hedge.Adopted == noAttempt {
		r.step(HedgeFirstByte{Attempt: event.attempt})
	}
	if r.hedge.Adopted == event.attempt {
		r.emitErr = r.emit(event.event)
	}
}

func (r *hedgedRequest) step(message HedgeMessage) {
	for _, effect := range r.hedge.Step(r.Clock.Now(), message) {
		r.perform(effect)
	}
}

func (r *hedgedRequest) perform(effect HedgeEffect) {
	switch effect := effect.(type) {
	case HedgeStartAttempt:
		r.startAttempt(effect)
	case HedgeRequestSlot:
		r.requestSlot(effect)
	case HedgeAdopt:
	case HedgeCancelAttempt:
		r.cancels[effect.Attempt](errOtherResponded)
	case HedgeCancelSlotRequest:
		r.cancelSlotRequest()
	case HedgeReleaseSlot:
		r.Scheduler.Release(effect.Slot, filter.SlotResult{})
	case HedgeFinish:
		r.finalAttempt = effect.Attempt
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// startAttempt starts an attempt in a goroutine. The caller of Generate releases
// the slot of the first attempt; the goroutine releases that of the second.
func (r *hedgedRequest) startAttempt(effect HedgeStartAttempt) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.cancels[effect.Attempt], r.slots[effect.Attempt] = cancel, effect.Slot
	spec := r.spec
	spec.Slot = effect.Slot
	if effect.Attempt == 1 {
		spec.ID = uuid.NewString()
	}
	go func() {
		defer cancel(context.Canceled)
		usage := slotUsage{clock: r.Clock, startedAt: r.Clock.Now()}
		finish, err := r.Dispatcher.Generate(ctx, spec, func(event filter.Event) error {
			usage.record(event)
			return r.deliver(ctx, hedgeEvent{attempt: effect.Attempt, event: event})
		})
		if effect.Attempt == 1 {
			r.Scheduler.Release(effect.Slot, usage.result(err))
		}
		r.deliverUnlessDone(hedgeEvent{
			attempt: effect.Attempt, finish: finish, err: err,
			message: HedgeEnded{Attempt: effect.Attempt, Failed: err != nil},
		})
	}()
}

// deliver sends an event to the request's goroutine. It returns an error if the
// attempt was cancelled.
func (r *hedgedRequest) deliver(ctx context.Context, event hedgeEvent) error {
	select {
	case r.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliverUnlessDone sends the end of an attempt or of a slot request to the
// request's goroutine. It returns false if the request is already complete.
func (r *hedgedRequest) deliverUnlessDone(event hedgeEvent) bool {
	select {
	case r.events <- event:
		return true
	case <-r.done:
		return false
	}
}

// requestSlot requests a second slot in a goroutine. A slot that is granted after
// the request has completed is released again.
func (r *hedgedRequest) requestSlot(effect HedgeRequestSlot) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelSlotRequest = cancel
	admission := r.spec.Admission
	admission.Avoid = append(append([]string(nil), admission.Avoid...), effect.Avoid)
	go func() {
		defer cancel()
		slot, err := filter.Slot{}, error(filter.Failure{Run: filter.NotRun})
		if r.Budget.Spend() {
			slot, err = r.Scheduler.Admit(ctx, admission)
		}
		if err != nil {
			r.deliverUnlessDone(hedgeEvent{attempt: 1, err: err, message: HedgeSlotDenied{}})
			return
		}
		if !r.deliverUnlessDone(hedgeEvent{attempt: 1, message: HedgeSlotGranted{Slot: slot}}) {
			r.Scheduler.Release(slot, filter.SlotResult{})
		}
	}()
}

// slotUsage measures the use of a slot for its release.
type slotUsage struct {
	clock      clockwork.Clock
	startedAt  time.Time
	firstToken time.Duration
	tokens     int
}

func (u *slotUsage) record(event filter.Event) {
	if _, ok := event.(filter.Token); !ok {
		return
	}
	if u.tokens == 0 {
		u.firstToken = u.clock.Since(u.startedAt)
	}
	u.tokens++
}

func (u *slotUsage) result(err error) filter.SlotResult {
	result := filter.SlotResult{FirstToken: u.firstToken, Tokens: u.tokens, Duration: u.clock.Since(u.startedAt)}
	var failure filter.Failure
	if errors.As(err, &failure) {
		result.Refused = failure.Refused
		result.Failed = !failure.CallerGone && !failure.Refused
	}
	return result
}
