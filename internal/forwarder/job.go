package forwarder

import (
	"context"
	"strconv"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
)

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
		return j.end(filter.DeadlinePassed, "the time is over")
	}
	if j.sends > 0 && !j.budget.Spend() {
		return j.end(filter.Overloaded, "no budget for another attempt")
	}
	placement, err := j.Places.Place(ctx, j.need(now, left))
	if err != nil {
		return j.end(filter.Overloaded, err.Error())
	}
	if placement.Refused != nil {
		return j.declined(*placement.Refused)
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

// current says whether the request's key is still known to be granted.
func (j *job) current(now time.Time) bool {
	if j.forward.Route.Public {
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
		return j.forward.LastEventID
	}
	return strconv.FormatInt(j.events.Last, 10)
}

// priorities per rank: a request that nobody can resume goes first.
const priorityStep = 2

// priority returns the rank that the replica is told.
func (j *job) priority() int {
	rank := j.forward.Route.Priority
	if j.forward.Workspace.Priority != nil {
		rank = *j.forward.Workspace.Priority
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
