package forwarder

import (
	"context"
	"strconv"
	"time"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/dispatcher"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/resumer"
)

// job is one request with the state of its attempts.
type job struct {
	*Dispatch
	request *filter.Request
	forward *filter.Forward
	budget  *dispatcher.Budget
	// attemptsSent counts the attempts, arrivals those of which something may have reached
	// a replica, and possibleRuns those that may have run.
	attemptsSent, arrivals, possibleRuns int
	// paid is set while the next arrival has been taken from the budget.
	paid     bool
	excluded []string
	events   EventStream
	// responseStarted reports whether the head of the response was sent to the
	// caller.
	responseStarted bool
	// origin is where the stream began. It is nil before its first event, and for requests
	// that cannot be resumed.
	origin *resumer.Origin
	// originRecorded is set once the origin was recorded. version is the software version of
	// the replica of the latest attempt.
	originRecorded bool
	version        string
	// fallback is the error response of a replica, which is returned if no
	// later attempt succeeds.
	fallback *filter.Accept
	// lastErr is the error of the latest failed attempt.
	lastErr error
	// notice is what the replica of the latest attempt has announced.
	notice     Notice
	candidates int
	waited     time.Duration
	// observed is what the latest attempt shows about the speed of its replica.
	observed observation
}

// parseEventID returns an event ID as a number, -1 if it is missing or not a
// number.
func parseEventID(id string) int64 {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return last
}

// tryReplica makes one attempt. It returns nil if another one may follow.
func (j *job) tryReplica(ctx context.Context) filter.Verdict {
	now := j.Clock.Now()
	left := j.request.Deadline.Sub(now)
	if left < minTimeLeft {
		return j.end(filter.DeadlinePassed, "the time is over")
	}
	// An attempt that does not reach a replica, such as one to a closed port, costs the
	// replicas nothing.
	if j.arrivals > 0 && !j.paid {
		if !j.budget.Spend() {
			return j.end(filter.Overloaded, "no budget for another attempt")
		}
		j.paid = true
	}
	placement, err := j.Placer.Place(ctx, j.placementNeed(now, left))
	if err != nil {
		return j.end(filter.Overloaded, err.Error())
	}
	if placement.Refused != nil {
		return j.placementRefused(*placement.Refused)
	}
	j.candidates, j.waited = placement.Candidates, j.waited+placement.Waited
	return j.attempt(ctx, placement)
}

// placementNeed returns the requirements of the request for its placement.
func (j *job) placementNeed(now time.Time, left time.Duration) balancer.Need {
	route := j.forward.Route
	maxWait := min(time.Duration(maxWaitShare*float64(left)), maxWaitObjectives*route.Objective)
	giveUpAt := j.request.Arrived.Add(maxWait)
	switch {
	case j.responseStarted:
		giveUpAt = now.Add(min(left, maxResumeWait))
	case j.attemptsSent > 0:
		giveUpAt = now.Add(min(maxWait, max(route.Objective, minRetryWait)))
	}
	need := balancer.Need{
		Service:      j.forward.Service,
		Model:        j.forward.Model,
		Adapter:      j.forward.Adapter,
		Tokens:       j.forward.PromptTokens + j.forward.OutputTokens,
		PromptTokens: j.forward.PromptTokens,
		OutputTokens: j.forward.ExpectedOutputTokens,
		Whole:        route.Kind != resolver.Streaming,
		Parts:        j.forward.PromptParts,
		SharedParts:  len(j.forward.SharedParts),
		LateAt:       j.request.Arrived.Add(route.Objective),
		GiveUpAt:     giveUpAt,
		Excluded:     j.excluded,
		Stream:       j.isResumable(),
	}
	if j.origin != nil {
		need.Continued, need.Version = true, j.origin.Version
	}
	return need
}

// isKeyCurrent reports whether the request's key is still known to be granted.
func (j *job) isKeyCurrent(now time.Time) bool {
	if j.forward.Route.Public {
		return true
	}
	configuration, currentAsOf := j.View.Configuration()
	if now.Sub(currentAsOf) > j.MaxKeyAge() {
		return false
	}
	_, granted := configuration.Authorize(j.request.KeyDigest)
	return granted
}

// lastEventID returns the ID of the last event that the caller has received.
func (j *job) lastEventID() string {
	if j.events.LastID < 0 {
		return j.forward.LastEventID
	}
	return strconv.FormatInt(j.events.LastID, 10)
}

// prioritiesPerRank leaves two priorities for each rank: within a rank, requests
// that cannot be repeated go first.
const prioritiesPerRank = 2

// priority returns the priority that is sent to the replica.
func (j *job) priority() int {
	rank := j.forward.Route.Priority
	if j.forward.Workspace.Priority != nil {
		rank = *j.forward.Workspace.Priority
	}
	priority := rank * prioritiesPerRank
	if j.forward.Route.Repeatable() {
		priority++
	}
	return min(9, priority)
}

// firstByteTimeout returns how long the replica may take for its first byte.
func (j *job) firstByteTimeout(left time.Duration, placement balancer.Placement) time.Duration {
	route := j.forward.Route
	if !route.Repeatable() || j.possibleRuns+1 >= route.MaxAttempts {
		return left
	}
	timeout := max(minFirstByteTimeout, time.Duration(firstByteObjectives*float64(route.Objective)), 3*placement.Expected)
	if placement.Candidates == 1 {
		timeout = time.Duration(soleCandidateFactor * float64(timeout))
	}
	return min(left, timeout)
}
