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

// Hedger implements filter.Dispatcher. It gives a generation whose endpoint
// says nothing a second attempt on another endpoint, within the budget of
// retries.
type Hedger struct {
	// Dispatcher sends the attempts.
	filter.Dispatcher
	Scheduler filter.Scheduler
	Budget    filter.Budget
	Clock     clockwork.Clock
	// Least is the least time before a second attempt; 0 means the default.
	Least time.Duration
}

const (
	// defaultHedge is half of the time after which an attempt fails, and
	// twice the engines' keep-alive interval.
	defaultHedge = time.Second
	// hedgeFactor is half of estimateFactor, so that a hedge comes before the
	// first attempt fails.
	hedgeFactor = 2
)

// errLost is the cause of an attempt's context when another attempt answered
// first.
var errLost = merry.Sentinel("another attempt answered first")

// hedgeNews is what happens to a hedged generation: an event of an attempt,
// the end of one, or the answer to the question for a slot.
type hedgeNews struct {
	message HedgeMessage
	attempt int
	event   filter.Event
	finish  filter.Finish
	err     error
}

// hedging is one generation. Only the request's goroutine uses it, but for the
// channels.
type hedging struct {
	Hedger
	hedge   *Hedge
	work    filter.Attempt
	emit    func(filter.Event) error
	ctx     context.Context
	news    chan hedgeNews
	left    chan struct{}
	cancels [2]context.CancelCauseFunc
	slots   [2]filter.Slot
	ends    [2]hedgeNews
	// stopAsking ends the question for a slot.
	stopAsking context.CancelFunc
	emitErr    error
	// result is the attempt that ended the request, -1 before.
	result int
}

// Generate implements filter.Dispatcher.
func (h Hedger) Generate(ctx context.Context, work filter.Attempt, emit func(filter.Event) error) (filter.Finish, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &hedging{
		Hedger: h, hedge: NewHedge(), work: work, emit: emit, ctx: ctx, result: noAttempt,
		// The buffer lets an attempt read on while the caller is written to.
		news: make(chan hedgeNews, 16),
		left: make(chan struct{}),
	}
	defer close(run.left)
	return run.run()
}

func (h Hedger) bound(estimate time.Duration) time.Duration {
	return max(orDefault(h.Least, defaultHedge), hedgeFactor*estimate)
}

func (r *hedging) run() (filter.Finish, error) {
	bound := r.bound(r.work.Slot.Estimate)
	timer := r.Clock.NewTimer(bound)
	defer timer.Stop()
	r.step(HedgeBegin{Slot: r.work.Slot, Bound: bound})
	for r.result == noAttempt && r.emitErr == nil {
		select {
		case news := <-r.news:
			r.take(news)
		case <-timer.Chan():
			r.step(HedgeTick{})
		}
	}
	if r.emitErr != nil {
		return filter.Finish{}, filter.Failure{Run: filter.Ran, CallerGone: true, Err: r.emitErr}
	}
	return r.outcome()
}

// outcome is the result of the attempt that ended the request.
func (r *hedging) outcome() (filter.Finish, error) {
	end := r.ends[r.result]
	hedged := ""
	if r.result == 1 {
		hedged = r.slots[1].Endpoint
	}
	var failure filter.Failure
	if errors.As(end.err, &failure) {
		failure.HedgeEndpoint = hedged
		failure.Run = r.certainRun(failure.Run)
		return filter.Finish{}, failure
	}
	end.finish.HedgeEndpoint = hedged
	return end.finish, end.err
}

// certainRun is "not run" only if neither attempt ran.
func (r *hedging) certainRun(run filter.Run) filter.Run {
	var other filter.Failure
	if run == filter.NotRun && errors.As(r.ends[1-r.result].err, &other) {
		return other.Run
	}
	return run
}

func (r *hedging) take(news hedgeNews) {
	if news.event == nil {
		if _, ended := news.message.(HedgeEnded); ended {
			r.ends[news.attempt] = news
		}
		r.step(news.message)
		return
	}
	if r.hedge.Adopted == noAttempt {
		r.step(HedgeHeard{Attempt: news.attempt})
	}
	if r.hedge.Adopted == news.attempt {
		r.emitErr = r.emit(news.event)
	}
}

func (r *hedging) step(message HedgeMessage) {
	for _, effect := range r.hedge.Step(r.Clock.Now(), message) {
		r.perform(effect)
	}
}

func (r *hedging) perform(effect HedgeEffect) {
	switch effect := effect.(type) {
	case HedgeSend:
		r.send(effect)
	case HedgeAsk:
		r.ask(effect)
	case HedgeAdopt:
	case HedgeCancel:
		r.cancels[effect.Attempt](errLost)
	case HedgeStopAsking:
		r.stopAsking()
	case HedgeReturn:
		r.Scheduler.Release(effect.Slot, filter.SlotResult{})
	case HedgeFinish:
		r.result = effect.Attempt
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

// send starts an attempt in a goroutine. The first one's slot belongs to the
// caller of Generate, the second one's to the attempt.
func (r *hedging) send(effect HedgeSend) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.cancels[effect.Attempt], r.slots[effect.Attempt] = cancel, effect.Slot
	work := r.work
	work.Slot = effect.Slot
	if effect.Attempt == 1 {
		work.ID = uuid.NewString()
	}
	go func() {
		defer cancel(context.Canceled)
		measured := slotMeasure{clock: r.Clock, started: r.Clock.Now()}
		finish, err := r.Dispatcher.Generate(ctx, work, func(event filter.Event) error {
			measured.event(event)
			return r.pass(ctx, hedgeNews{attempt: effect.Attempt, event: event})
		})
		if effect.Attempt == 1 {
			r.Scheduler.Release(effect.Slot, measured.result(err))
		}
		r.tell(hedgeNews{
			attempt: effect.Attempt, finish: finish, err: err,
			message: HedgeEnded{Attempt: effect.Attempt, Failed: err != nil},
		})
	}()
}

// pass hands an event on, or fails if the attempt was stopped.
func (r *hedging) pass(ctx context.Context, news hedgeNews) error {
	select {
	case r.news <- news:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tell reports an end unless the request is over. It returns whether the
// report was taken.
func (r *hedging) tell(news hedgeNews) bool {
	select {
	case r.news <- news:
		return true
	case <-r.left:
		return false
	}
}

// ask asks for a second slot.
func (r *hedging) ask(effect HedgeAsk) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.stopAsking = cancel
	admission := r.work.Admission
	admission.Avoid = append(append([]string(nil), admission.Avoid...), effect.Avoid)
	go func() {
		defer cancel()
		slot, err := filter.Slot{}, error(filter.Failure{Run: filter.NotRun})
		if r.Budget.Spend() {
			slot, err = r.Scheduler.Admit(ctx, admission)
		}
		if err != nil {
			r.tell(hedgeNews{attempt: 1, err: err, message: HedgeDenied{}})
			return
		}
		if !r.tell(hedgeNews{attempt: 1, message: HedgeGranted{Slot: slot}}) {
			r.Scheduler.Release(slot, filter.SlotResult{})
		}
	}()
}

// slotMeasure follows how a slot is used.
type slotMeasure struct {
	clock   clockwork.Clock
	started time.Time
	first   time.Duration
	tokens  int
}

func (m *slotMeasure) event(event filter.Event) {
	if _, ok := event.(filter.Token); !ok {
		return
	}
	if m.tokens == 0 {
		m.first = m.clock.Since(m.started)
	}
	m.tokens++
}

func (m *slotMeasure) result(err error) filter.SlotResult {
	result := filter.SlotResult{FirstToken: m.first, Tokens: m.tokens, Duration: m.clock.Since(m.started)}
	var failure filter.Failure
	if errors.As(err, &failure) {
		result.Refused = failure.Refused
		result.Failed = !failure.CallerGone && !failure.Refused
	}
	return result
}
