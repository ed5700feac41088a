package forwarder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/screener"
)

const (
	// maxAttemptsSent bounds the replicas to which a request is sent, including
	// those that refused it.
	maxAttemptsSent = 5
	// maxWaitObjectives is how many latency objectives a request may wait for a
	// replica, and maxWaitShare is the share of its remaining time. A late
	// response is better than a refusal for a caller that has already retried.
	maxWaitObjectives = 3
	maxWaitShare      = 0.6
	// firstByteObjectives is how many latency objectives a replica may take for
	// its first byte before a request that may be repeated is sent to another
	// one.
	firstByteObjectives = 1.5
	// maxResumeWait is how long an interrupted stream waits for another replica.
	// Callers give up after a pause of two seconds or more.
	maxResumeWait = 1500 * time.Millisecond
	// minRetryWait is the minimum time that a request may wait for a second
	// replica: the time to load its model there.
	minRetryWait = 1200 * time.Millisecond
	// soleCandidateFactor extends the first-byte timeout of the only replica
	// with a model, since another one would have to load the model first.
	soleCandidateFactor = 2.5
	// minFirstByteTimeout is the minimum first-byte timeout, before
	// soleCandidateFactor.
	minFirstByteTimeout = 250 * time.Millisecond
	// maxEventGap is how long a stream may pause before another replica goes on with it,
	// if there is one. A slow replica is no reason to end a response: callers wait for
	// eight times the longest pause, 4.8 s with the current routes.
	maxEventGap = 2500 * time.Millisecond
)

// Placer chooses replicas for requests.
type Placer interface {
	Place(ctx context.Context, need balancer.Need) (balancer.Placement, error)
	Post(message balancer.Message) error
}

// Screen knows the requests that crash replicas.
type Screen interface {
	// Await waits until the quarantines are known that were in force before the node started,
	// or for a bounded time. It returns the cause if ctx ends first.
	Await(ctx context.Context) error
	// Quarantined returns the first trait of the request for which it may not be sent
	// and the time for which that lasts, or "".
	Quarantined(subject screener.Subject) (trait screener.Trait, remaining time.Duration)
	// Admit is called before each attempt and returns the same, or "" if the request may
	// be sent to find out whether replicas crash on it.
	Admit(subject screener.Subject) (trait screener.Trait, remaining time.Duration)
	// IsSuspect reports whether the whole request may crash replicas.
	IsSuspect(subject screener.Subject) bool
	// RecordBreak records an attempt that broke off before the first event of its
	// answer, and RecordBegun an attempt that a replica has begun to answer.
	RecordBreak(broken screener.AttemptBroke)
	RecordBegun(subject screener.Subject, replica screener.Process, sentAt time.Time)
}

// Streams knows the origins of streams that may be resumed.
type Streams interface {
	// RecordBegun records the origin of a stream before its first event is passed on.
	RecordBegun(begun resumer.StreamBegun)
	// Find returns the origin of a stream that a caller takes up again.
	Find(ctx context.Context, find resumer.Find) (resumer.Found, error)
}

// Event describes the outcome of an attempt or a request, for logs and metrics.
type Event struct {
	Text         string
	Forward      *filter.Forward
	Workspace    string
	Replica      string
	Version      string
	AttemptsSent int
	Candidates   int
	Waited       time.Duration
	FirstByte    time.Duration
	Duration     time.Duration
	Status       int
	// Measurement compares the estimate of the attempt with what was measured.
	Measurement Measurement
	// Notice is what the replica has announced in its answer.
	Notice Notice
	// EventsPassed is the number of events of a stream that the caller has.
	EventsPassed int
	// Silence is the time since the last event of the replica, 0 if it has sent none.
	Silence time.Duration
	// Fingerprint identifies the whole request. It is set if Err is set.
	Fingerprint string
	Err         error
	// ConfigurationAge is the age of the configuration at the time of the event.
	ConfigurationAge time.Duration
}

// Dispatch sends requests to replicas.
type Dispatch struct {
	Pool   *Pool
	Codec  Codec
	Placer Placer
	Screen Screen
	// Permits grants the permits of brittle replicas.
	Permits Permits
	// Streams knows at which versions streams go on.
	Streams Streams
	View    ConfigurationView
	Clock   clockwork.Clock
	// MaxKeyAge returns the maximum time since the keys were last known to be
	// current.
	MaxKeyAge func() time.Duration
	Budgets   *Budgets
	// Durations receives how long answers take.
	Durations *Durations
	Log       func(Event)
	// Observe receives the wait of each placement. It must not block.
	Observe func(Wait)
}

// Budgets holds the retry budgets of a node, one for each service.
type Budgets struct {
	Clock    clockwork.Clock
	Settings dispatcher.BudgetSettings

	services sync.Map
}

// Service returns the budget of a service.
func (b *Budgets) Service(name string) *dispatcher.Budget {
	if budget, ok := b.services.Load(name); ok {
		return budget.(*dispatcher.Budget)
	}
	budget, _ := b.services.LoadOrStore(name, dispatcher.NewBudgetWith(b.Clock, b.Settings))
	return budget.(*dispatcher.Budget)
}

// Filter implements filter.Filter.
func (d *Dispatch) Filter(ctx context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	j := &job{Dispatch: d, request: request, forward: forward}
	j.events.LastID = parseEventID(forward.LastEventID)
	if verdict := j.findOrigin(ctx); verdict != nil {
		return verdict
	}
	j.budget = d.Budgets.Service(forward.Service)
	j.budget.RecordAttempt()
	defer j.releaseSuccessor()
	for {
		verdict := j.tryReplica(ctx)
		if _, answered := verdict.(filter.Accept); answered {
			d.Durations.Record(forward.Route.Name, d.Clock.Since(request.Arrived))
		}
		if verdict != nil {
			return verdict
		}
	}
}

// attempt sends the request to a replica and reports the result to the balancer.
func (j *job) attempt(ctx context.Context, placement balancer.Placement) filter.Verdict {
	startedAt := j.Clock.Now()
	result, firstByte := balancer.Abandoned, time.Duration(0)
	defer func() {
		j.result = result
		_ = j.Placer.Post(j.attemptEnded(placement, result))
	}()
	if !j.isKeyCurrent(startedAt) {
		return j.end(filter.NotCurrent, "the key is not current any more, or was moved to another workspace")
	}
	if ctx.Err() != nil {
		return j.end(filter.Overloaded, "the caller is gone")
	}
	if trait, remaining := j.Screen.Admit(subject(j.forward)); trait != "" {
		return j.endAndRetryAfter(filter.Quarantined, quarantineDetail(trait), remaining)
	}
	if !placement.SendBy.IsZero() && startedAt.After(placement.SendBy) {
		// The process was frozen since the placement.
		return nil
	}
	left := j.request.Deadline.Sub(startedAt)
	if left < minTimeLeft {
		return j.end(filter.DeadlinePassed, "the time is over")
	}
	j.attemptsSent++
	j.notice, j.version = Notice{}, placement.Version
	j.beginObservation(placement, startedAt)
	passedBefore := j.events.Passed
	exchange, err := j.Pool.open(ctx, j.Codec, Attempt{
		Replica:   placement.Replica,
		Address:   placement.Address,
		Forward:   j.forward,
		LastEvent: j.lastEventID(),
		Priority:  j.priority(startedAt),
		TimeLeft:  left,
	}, j.firstByteTimeout(left, placement))
	if !errors.Is(err, ErrNotSent) {
		j.arrivals, j.paid = j.arrivals+1, false
	}
	if err == nil {
		err = exchange.awaitHead(ctx, j.Codec, func() bool { return j.givesUp(ctx, exchange) })
		j.cancelReservation(exchange)
		if err != nil {
			exchange.close()
		}
	}
	if err != nil {
		result = j.recordFailure(placement, err)
		j.reportBreak(placement, err, startedAt, false)
		return j.verdictAfterFailure(err)
	}
	firstByte = j.Clock.Since(startedAt)
	j.observeHead(exchange.head, firstByte)
	j.notice = exchange.head.Notice
	j.reportNotice(placement, exchange.head.NotRun)
	recordBegun := func() { j.Screen.RecordBegun(subject(j.forward), process(placement), startedAt) }
	verdict, err := j.handleResponse(ctx, exchange, &result, recordBegun)
	if err != nil {
		result = j.recordFailure(placement, err)
		if j.events.Passed == passedBefore {
			// Only streams have a head long before the rest of the answer.
			j.reportBreak(placement, err, startedAt, exchange.head.Stream)
		}
		return j.verdictAfterFailure(err)
	}
	if verdict == nil {
		j.excluded = append(j.excluded, placement.Replica)
		j.log("attempt not run or failed", placement, firstByte, exchange.head.Status, nil)
		if j.attemptsSent >= maxAttemptsSent || j.possibleRuns >= j.forward.Route.MaxAttempts {
			return j.end(filter.EndpointFailed, "no replica answered")
		}
		return nil
	}
	j.log(answeredText, placement, firstByte, exchange.head.Status, nil)
	return verdict
}
