package forwarder

import (
	"context"
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

// Filter implements filter.Filter.
func (d *Dispatch) Filter(ctx context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	j := &job{Dispatch: d, request: request, forward: forward, budget: d.Budgets.Service(forward.Service)}
	j.events.Last = lastEvent(forward.LastEventID)
	j.budget.Attempt()
	for {
		verdict := j.try(ctx)
		if verdict != nil {
			return verdict
		}
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
		return j.end(filter.NotCurrent, "keys are not current any more")
	}
	if ctx.Err() != nil {
		return j.end(filter.Overloaded, "the caller is gone")
	}
	left := j.request.Deadline.Sub(startedAt)
	if left < leastTime {
		return j.end(filter.DeadlinePassed, "the time is over")
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
		return j.again(err)
	}
	firstByte = j.Clock.Since(startedAt)
	verdict, err := j.receive(ctx, exchange, &result)
	if err != nil {
		result = j.failed(placement, err)
		return j.again(err)
	}
	if verdict == nil {
		j.excluded = append(j.excluded, placement.Replica)
		j.log("attempt not run or failed", placement.Replica, firstByte, exchange.head.Status, nil)
		if j.sends >= maxSends || j.runs >= j.forward.Route.MaxAttempts {
			return j.end(filter.EndpointFailed, "no replica answered")
		}
		return nil
	}
	j.log("answered", placement.Replica, firstByte, exchange.head.Status, nil)
	return verdict
}
