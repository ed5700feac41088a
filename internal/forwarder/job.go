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
	// successor is reserved for the rest of a stream whose replica was given up.
	successor *balancer.Placement
	// reservation is the search for a successor while the replica is silent.
	reservation *reservation
	// result is that of the latest attempt. giveUpAt is set while the request has a replica
	// but no permit: it is then not given more time to wait.
	result   balancer.Result
	giveUpAt time.Time
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
	if j.successor != nil {
		placement := *j.successor
		j.successor = nil
		return j.attemptWithPermit(ctx, placement, time.Time{})
	}
	now := j.Clock.Now()
	left := j.request.Deadline.Sub(now)
	if left < minTimeLeft {
		return j.end(filter.DeadlinePassed, "the time is over")
	}
	if !j.pay() {
		return j.end(filter.Overloaded, "no budget for another attempt")
	}
	need := j.placementNeed(now, left)
	if !j.giveUpAt.IsZero() {
		need.GiveUpAt = j.giveUpAt
	}
	placement, err := j.place(ctx, need)
	if err != nil {
		return j.end(filter.Overloaded, err.Error())
	}
	if placement.Refused != nil {
		return j.placementRefused(*placement.Refused)
	}
	return j.attemptWithPermit(ctx, placement, need.GiveUpAt)
}

// placementNeed returns the requirements of the request for its placement.
func (j *job) placementNeed(now time.Time, left time.Duration) balancer.Need {
	route := j.forward.Route
	need := FirstNeed(j.forward, j.request.Workspace, j.request.Arrived, left)
	switch {
	case j.responseStarted:
		need.GiveUpAt = now.Add(min(left, maxResumeWait))
	case j.attemptsSent > 0:
		need.GiveUpAt = now.Add(min(maxWait(route, left), max(route.Objective, minRetryWait)))
	}
	need.Deadline, need.Excluded = j.request.Deadline, j.excluded
	if j.origin != nil {
		// The first event has come in time. What matters now is when the caller gives up.
		need.Continued, need.Version, need.LateAt = true, j.origin.Version, need.GiveUpAt
	}
	return need
}

// FirstNeed returns the requirements of a request for its first placement, which arrived at
// the given time and has the given time left.
func FirstNeed(forward *filter.Forward, workspace string, arrived time.Time, left time.Duration) balancer.Need {
	route := forward.Route
	return balancer.Need{
		Service:      forward.Service,
		Model:        forward.Model,
		Adapter:      forward.Adapter,
		Rank:         forward.Rank(),
		Workspace:    workspace,
		Tokens:       forward.PromptTokens + forward.OutputTokens,
		PromptTokens: forward.PromptTokens,
		OutputTokens: forward.ExpectedOutputTokens,
		Whole:        route.Kind != resolver.Streaming,
		Parts:        forward.PromptParts,
		SharedParts:  len(forward.SharedParts),
		LateAt:       arrived.Add(route.Objective),
		GiveUpAt:     arrived.Add(maxWait(route, left)),
		Deadline:     arrived.Add(left),
		Stream:       isResumable(route),
		StreamKey:    streamKey(forward),
		DataCentres:  forward.DataCentres,
	}
}

// maxWait returns how long a request with the given time left may wait for a replica.
func maxWait(route resolver.Route, left time.Duration) time.Duration {
	return min(time.Duration(maxWaitShare*float64(left)), maxWaitObjectives*route.Objective)
}

// isKeyCurrent reports whether the request's key is still known to be granted to the workspace
// for which it was admitted.
func (j *job) isKeyCurrent(now time.Time) bool {
	if j.forward.Route.Public {
		return true
	}
	configuration, currentAsOf := j.View.Configuration()
	if now.Sub(currentAsOf) > j.MaxKeyAge() {
		return false
	}
	workspace, granted := configuration.Authorize(j.request.KeyDigest)
	return granted && workspace.Name == j.request.Workspace
}

// lastEventID returns the ID of the last event that the caller has received.
func (j *job) lastEventID() string {
	if j.events.LastID < 0 {
		return j.forward.LastEventID
	}
	return strconv.FormatInt(j.events.LastID, 10)
}

const (
	// prioritiesPerRank leaves two priorities for each rank, so that the ranks 0 to 4 stay
	// apart.
	prioritiesPerRank = 2
	maxPriority       = 9
	// hurryShare is the share of its objective below which the time left puts a request
	// before others of its rank. First events take up to a quarter of the objective in the
	// median.
	hurryShare = 0.25
)

// priority returns the priority that is sent to the replica: by rank, and within a rank by the
// time left until the request is late. The rest of a stream goes before new requests.
func (j *job) priority(now time.Time) int {
	priority := max(0, j.forward.Rank()) * prioritiesPerRank
	objective := j.forward.Route.Objective
	if left := j.request.Arrived.Add(objective).Sub(now); left >= time.Duration(hurryShare*float64(objective)) && !j.responseStarted {
		priority++
	}
	return min(maxPriority, priority)
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
