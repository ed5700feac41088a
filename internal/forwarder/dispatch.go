package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
)

const (
	// maxSends bounds the replicas that a request is offered to, with those
	// that refused it.
	maxSends = 5
	// holdObjectives is how many latency objectives a request may wait for a
	// replica, and holdShare the part of its time: a caller that has asked
	// once more already is better served late than refused.
	holdObjectives = 3
	holdShare      = 0.6
	// silentObjectives is how many latency objectives a replica may be silent
	// before a request that may be repeated goes to another one.
	silentObjectives = 1.5
	// resumeWait is how long a broken stream waits for another replica; the
	// caller gives up after a pause of two seconds or more.
	resumeWait = 1500 * time.Millisecond
	// retryWait is how long a request waits for a second replica at least:
	// the time to load its model there.
	retryWait = 1200 * time.Millisecond
	// aloneFactor gives the only replica with a model more time: another one
	// would have to load it first.
	aloneFactor = 2.5
	// leastSilence is the shortest such time.
	leastSilence = 250 * time.Millisecond
	// longestGap is how long a stream may pause before it is resumed elsewhere.
	// A slow replica is no reason to end an answer: callers wait for eight
	// times the longest pause, 4.8 s with today's routes.
	longestGap = 2500 * time.Millisecond
)

// Places chooses replicas.
type Places interface {
	Place(ctx context.Context, need balancer.Need) (balancer.Placement, error)
	Post(message balancer.Message) error
}

// Event is what became of an attempt or a request, for the log.
type Event struct {
	Text       string
	Forward    *filter.Forward
	Workspace  string
	Replica    string
	Sends      int
	Candidates int
	Waited     time.Duration
	FirstByte  time.Duration
	Took       time.Duration
	Status     int
	Err        error
	// ConfigurationAge is the age of the configuration that decided.
	ConfigurationAge time.Duration
}

// Dispatch sends requests to replicas.
type Dispatch struct {
	Pool   *Pool
	Codec  Codec
	Places Places
	View   View
	Clock  clockwork.Clock
	// Currency returns the longest time since the keys were known to be current.
	Currency func() time.Duration
	Budgets  *Budgets
	Log      func(Event)
}

// Budgets bounds the second attempts of a node, by service.
type Budgets struct {
	Clock    clockwork.Clock
	Settings dispatcher.BudgetSettings

	services sync.Map
}

// Service returns the budget of a service.
func (b *Budgets) Service(name string) *dispatcher.Budget {
	if found, ok := b.services.Load(name); ok {
		return found.(*dispatcher.Budget)
	}
	found, _ := b.services.LoadOrStore(name, dispatcher.NewBudgetWith(b.Clock, b.Settings))
	return found.(*dispatcher.Budget)
}

// job is one request on its way through its attempts.
type job struct {
	*Dispatch
	request *filter.Request
	forward *filter.Forward
	budget  *dispatcher.Budget
	// sends counts attempts, and runs those that may have run.
	sends, runs int
	excluded    []string
	events      Events
	// begun says that the head of the answer was sent to the caller.
	begun bool
	// answer is a replica's failure that stands if no attempt does better.
	answer *filter.Accept
	// last is the latest failure.
	last       error
	candidates int
	waited     time.Duration
}

// Filter implements filter.Filter.
func (d *Dispatch) Filter(ctx context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	j := &job{Dispatch: d, request: request, forward: forward, budget: d.Budgets.Service(forward.Service)}
	j.events.Last = lastEvent(forward.LastEvent)
	j.budget.Attempt()
	for {
		verdict := j.try(ctx)
		if verdict != nil {
			return verdict
		}
	}
}

func lastEvent(id string) int64 {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return last
}

// try makes one attempt. It returns nil if another one may follow.
func (j *job) try(ctx context.Context) filter.Verdict {
	now := j.Clock.Now()
	left := j.request.Deadline.Sub(now)
	if left < leastTime {
		return j.end(ctx, filter.DeadlinePassed, "the time is over")
	}
	if j.sends > 0 && !j.budget.Spend() {
		return j.end(ctx, filter.Overloaded, "no budget for another attempt")
	}
	placement, err := j.Places.Place(ctx, j.need(now, left))
	if err != nil {
		return j.end(ctx, filter.Overloaded, err.Error())
	}
	if placement.Refused != nil {
		return j.declined(ctx, *placement.Refused)
	}
	j.candidates, j.waited = placement.Candidates, j.waited+placement.Waited
	return j.attempt(ctx, placement)
}

// need says what the request needs of a replica.
func (j *job) need(now time.Time, left time.Duration) balancer.Need {
	route := j.forward.Route
	hold := min(time.Duration(holdShare*float64(left)), holdObjectives*route.Objective)
	giveUpAt := j.request.Arrived.Add(hold)
	switch {
	case j.begun:
		giveUpAt = now.Add(min(left, resumeWait))
	case j.sends > 0:
		giveUpAt = now.Add(min(hold, max(route.Objective, retryWait)))
	}
	return balancer.Need{
		Service:     j.forward.Service,
		Model:       j.forward.Model,
		Adapter:     j.forward.Adapter,
		Tokens:      j.forward.PromptTokens + j.forward.OutputTokens,
		Affinity:    j.forward.Affinity,
		InTimeUntil: j.request.Arrived.Add(route.Objective),
		GiveUpAt:    giveUpAt,
		Excluded:    j.excluded,
	}
}

// attempt sends the request to a replica and gives the place back.
func (j *job) attempt(ctx context.Context, placement balancer.Placement) filter.Verdict {
	startedAt := j.Clock.Now()
	result, firstByte := balancer.Abandoned, time.Duration(0)
	defer func() {
		_ = j.Places.Post(balancer.Ended{Ticket: placement.Ticket, Result: result, FirstByte: firstByte})
	}()
	if !j.current(startedAt) {
		return j.end(ctx, filter.NotCurrent, "keys are not current any more")
	}
	if ctx.Err() != nil {
		return j.end(ctx, filter.Overloaded, "the caller is gone")
	}
	left := j.request.Deadline.Sub(startedAt)
	if left < leastTime {
		return j.end(ctx, filter.DeadlinePassed, "the time is over")
	}
	j.sends++
	exchange, err := j.Pool.open(ctx, j.Codec, Attempt{
		Replica:   placement.Replica,
		Address:   placement.Address,
		Forward:   j.forward,
		LastEvent: j.resumeFrom(),
		Priority:  j.priority(),
		Left:      left,
	}, j.silence(left, placement))
	if err != nil {
		result = j.failed(placement, err)
		return j.again(ctx, err)
	}
	firstByte = j.Clock.Since(startedAt)
	verdict, err := j.receive(ctx, exchange, &result)
	if err != nil {
		result = j.failed(placement, err)
		return j.again(ctx, err)
	}
	if verdict == nil {
		j.excluded = append(j.excluded, placement.Replica)
		j.log("attempt not run or failed", placement.Replica, firstByte, exchange.head.Status, nil)
		if j.sends >= maxSends || j.runs >= j.forward.Route.MaxAttempts {
			return j.end(ctx, filter.EndpointFailed, "no replica answered")
		}
		return nil
	}
	j.log("answered", placement.Replica, firstByte, exchange.head.Status, nil)
	return verdict
}

// current says whether the request's key is still known to be granted.
func (j *job) current(now time.Time) bool {
	if j.forward.Route.Open {
		return true
	}
	configuration, provenAt := j.View.Configuration()
	if now.Sub(provenAt) > j.Currency() {
		return false
	}
	_, granted := configuration.Authorize(j.request.KeyDigest)
	return granted
}

// resumeFrom returns the ID of the last event that the caller has.
func (j *job) resumeFrom() string {
	if j.events.Last < 0 {
		return j.forward.LastEvent
	}
	return strconv.FormatInt(j.events.Last, 10)
}

// priorities per rank: a request that nobody can resume goes first.
const priorityStep = 2

// priority returns the rank that the replica is told.
func (j *job) priority() int {
	rank := j.forward.Route.Priority
	if j.forward.Customer.Priority != nil {
		rank = *j.forward.Customer.Priority
	}
	priority := rank * priorityStep
	if j.forward.Route.Repeatable() {
		priority++
	}
	return min(9, priority)
}

// silence returns how long the replica may take for its first byte.
func (j *job) silence(left time.Duration, placement balancer.Placement) time.Duration {
	route := j.forward.Route
	if !route.Repeatable() || j.runs+1 >= route.MaxAttempts {
		return left
	}
	limit := max(leastSilence, time.Duration(silentObjectives*float64(route.Objective)), 3*placement.Expected)
	if placement.Candidates == 1 {
		limit = time.Duration(aloneFactor * float64(limit))
	}
	return min(left, limit)
}

// receive handles an answer. A nil verdict without an error means that the
// replica did not run the request, or failed one that may be repeated.
func (j *job) receive(ctx context.Context, e *exchange, result *balancer.Result) (filter.Verdict, error) {
	head := e.head
	switch {
	case head.NotRun:
		*result = balancer.Refused
		if head.Misdirected {
			*result = balancer.Missing
		}
		_, err := e.readAll(ctx)
		e.settle(err)
		return nil, nil
	case !head.Authentic, head.Encoded:
		e.close()
		return nil, fmt.Errorf("%w: status %d without a MAC", ErrGarbled, head.Status)
	case head.Stream && head.Status == http.StatusOK:
		*result = balancer.Answered
		return j.stream(ctx, e)
	}
	e.extend(max(leastTime, j.request.Deadline.Sub(j.Clock.Now())))
	body, err := e.readAll(ctx)
	e.settle(err)
	if err != nil {
		return nil, err
	}
	if j.begun {
		return nil, fmt.Errorf("%w: status %d for the rest of a stream", ErrGarbled, head.Status)
	}
	*result = balancer.Answered
	j.runs++
	accept := filter.Accept{Reply: filter.Reply{Status: head.Status, Header: head.Header, Body: body}}
	if head.Status < http.StatusInternalServerError {
		return accept, nil
	}
	*result = balancer.Erred
	if !j.forward.Route.Repeatable() || j.runs >= j.forward.Route.MaxAttempts {
		return accept, nil
	}
	j.answer = &accept
	return nil, nil
}

// settle keeps or closes the connection.
func (e *exchange) settle(err error) {
	if err != nil {
		e.close()
		return
	}
	e.finish()
}

// stream passes events on until the stream is complete.
func (j *job) stream(ctx context.Context, e *exchange) (filter.Verdict, error) {
	write := func(event []byte) error {
		if !j.begun {
			if err := j.forward.Writer.Begin(e.head.Status, e.head.Header); err != nil {
				return err
			}
			j.begun = true
		}
		return j.forward.Writer.Write(event)
	}
	err := e.pass(ctx, &j.events, j.gap(), write)
	e.settle(err)
	if err != nil {
		return nil, err
	}
	if !j.begun {
		if err := j.forward.Writer.Begin(e.head.Status, e.head.Header); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCallerGone, err)
		}
		j.begun = true
	}
	return filter.Accept{}, nil
}

// gap returns how long a stream may pause. One that cannot be resumed goes on
// as long as its caller waits.
func (j *job) gap() time.Duration {
	if !j.forward.Route.Repeatable() {
		return max(leastTime, j.request.Deadline.Sub(j.Clock.Now()))
	}
	return longestGap
}

// failed records a failed attempt and returns what it says of the replica.
func (j *job) failed(placement balancer.Placement, err error) balancer.Result {
	j.last = err
	j.excluded = append(j.excluded, placement.Replica)
	if errors.Is(err, ErrCallerGone) {
		return balancer.Abandoned
	}
	if !errors.Is(err, ErrUnsent) {
		j.runs++
		j.Pool.drop(placement.Address)
	}
	j.log("attempt failed", placement.Replica, 0, 0, err)
	if errors.Is(err, ErrSilent) {
		return balancer.Silent
	}
	return balancer.Failed
}

// again decides after a failed attempt whether another one may follow.
func (j *job) again(ctx context.Context, err error) filter.Verdict {
	switch {
	case errors.Is(err, ErrCallerGone):
		return j.end(ctx, filter.StreamBroken, "the caller is gone")
	case j.sends >= maxSends:
		return j.end(ctx, filter.EndpointFailed, "too many attempts")
	case errors.Is(err, ErrUnsent):
		return nil
	case !j.forward.Route.Repeatable(), j.runs >= j.forward.Route.MaxAttempts:
		return j.end(ctx, filter.EndpointFailed, "the replica did not answer")
	}
	return nil
}

// declined ends a request without a replica.
func (j *job) declined(ctx context.Context, refusal balancer.Refusal) filter.Verdict {
	verdict := j.end(ctx, filter.NoEndpoint, refusal.Reason)
	if refuse, ok := verdict.(filter.Refuse); ok && refuse.Refusal.Run == filter.NotRun {
		refuse.Refusal.RetryAfter = refusal.RetryAfter
		return refuse
	}
	return verdict
}

// end ends a request without another attempt. It says "not run" only if no
// attempt may have run.
func (j *job) end(_ context.Context, reason filter.Reason, detail string) filter.Verdict {
	j.log("ended: "+detail, "", 0, 0, j.last)
	switch {
	case j.begun:
		return refuse(filter.StreamBroken, filter.Unknown, 0, detail)
	case j.answer != nil:
		return *j.answer
	case j.runs > 0 && reason == filter.DeadlinePassed:
		return refuse(filter.DeadlinePassed, filter.Unknown, 0, detail)
	case j.runs > 0 && errors.Is(j.last, ErrSilent):
		return refuse(filter.DeadlinePassed, filter.Unknown, 0, detail)
	case j.runs > 0:
		return refuse(filter.EndpointFailed, filter.Unknown, 0, detail)
	case reason == filter.EndpointFailed:
		reason = filter.Overloaded
	}
	return refuse(reason, filter.NotRun, elsewhereRetry, detail)
}

func (j *job) log(text, replica string, firstByte time.Duration, status int, err error) {
	_, provenAt := j.View.Configuration()
	now := j.Clock.Now()
	j.Log(Event{
		Text:             text,
		Forward:          j.forward,
		Workspace:        j.request.Workspace,
		Replica:          replica,
		Sends:            j.sends,
		Candidates:       j.candidates,
		Waited:           j.waited,
		FirstByte:        firstByte,
		Took:             now.Sub(j.request.Arrived),
		Status:           status,
		Err:              err,
		ConfigurationAge: now.Sub(provenAt),
	})
}
