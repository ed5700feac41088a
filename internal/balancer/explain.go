package balancer

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Explain asks where a request would go now and why. It changes nothing: no slot and no part
// of a limit is taken, and no random number is drawn.
type Explain struct {
	Call runner.Call
	Need Need
}

func (Explain) isMessage() {}

// AnswerExplain answers an Explain.
type AnswerExplain struct {
	Call        runner.Call
	Explanation Explanation
}

func (AnswerExplain) isEffect() {}

// Reason is why a replica is left out or loses against others.
type Reason string

// The reasons for which a replica is left out, in the order in which they are checked.
const (
	// NotAllowed replicas are in a data centre that may not run the request.
	NotAllowed Reason = "not in an allowed data centre"
	Leaving    Reason = "leaves"
	Evacuated  Reason = "data centre is evacuated"
	// OtherVersion replicas run a software version that may not begin or continue the
	// stream.
	OtherVersion Reason = "other software version"
	Closed       Reason = "wants no requests for a time"
	// Reopening replicas were closed and have not answered the first requests since.
	Reopening       Reason = "has not answered the first requests after it was closed"
	RefusedRecently Reason = "refused a request just now"
	AtLimit         Reason = "its limit holds requests back"
	Full            Reason = "full"
	// ModelNotReady replicas load the model or adapter, or lack it.
	ModelNotReady Reason = "model or adapter is not loaded"
	// Avoided replicas have failed the request, or are suspect while the model can be
	// loaded elsewhere.
	Avoided Reason = "avoided while the request may wait"
)

// The reasons for which a usable replica loses.
const (
	// Suspect replicas are used only if there is no other.
	Suspect   Reason = "suspect, and others are not"
	TooCostly Reason = "cost is far above the lowest"
	TooLate   Reason = "would be late, and others are in time"
	// OtherHasPrefix is the reason if the replica that is preferred for the prompt prefix
	// is chosen.
	OtherHasPrefix Reason = "another one is preferred for the prompt prefix"
)

// Outcome is what would happen to a request.
type Outcome string

// The outcomes of requests.
const (
	Placed Outcome = "placed"
	Waits  Outcome = "waits"
	// Refuses stands for a refusal.
	Refuses Outcome = "refused"
)

// Explanation is where a request would go now and why.
type Explanation struct {
	Outcome Outcome
	// Refused is set for the outcome Refuses. Its retry delay lacks the random part and the
	// reservations for callers that return.
	Refused *Refusal `json:",omitempty"`
	// Replicas holds the replicas of the service that have the model or are loading it,
	// sorted by ID. WithoutModel counts the others.
	Replicas     []ReplicaExplanation
	WithoutModel int
	Queue        QueueExplanation
	// Loaded is set if a replica that may run the request has the model and adapter. If not,
	// Loading is set while one loads them, and LoadEndsIn is the time to the end of the first
	// load, 0 if it is not known.
	Loaded     bool
	Loading    bool          `json:",omitempty"`
	LoadEndsIn time.Duration `json:",omitempty"`
	// HolderAge is the time since the last answer of the holder, which brings the speeds and
	// the requests of the other nodes. HolderKnown is set if there was one.
	HolderKnown bool
	HolderAge   time.Duration `json:",omitempty"`
}

// ReplicaExplanation is what the choice knows of a replica.
type ReplicaExplanation struct {
	Replica, DataCentre string
	Version             string `json:",omitempty"`
	// LeftOut is why the request may not be sent to the replica, Lost why it is no good
	// candidate. Good candidates have a Probability in the draw above 0.
	LeftOut     Reason  `json:",omitempty"`
	Lost        Reason  `json:",omitempty"`
	Probability float64 `json:",omitempty"`
	// Preferred is set for the replica that is preferred for the prompt prefix, and Cached is
	// the number of tokens of it that the replica is believed to keep.
	Preferred bool `json:",omitempty"`
	Cached    int  `json:",omitempty"`
	// HeldBack is set if the replica's limit would hold the request back after the draw, which
	// is then repeated without the replica. ByChance is set if this is not certain, because
	// the node is limited to its share.
	HeldBack bool `json:",omitempty"`
	ByChance bool `json:",omitempty"`
	// Estimate is that of the request at the replica, without the requests whose first event
	// is overdue since the last choice. Cost is the raised time to the first event.
	Estimate estimator.Estimate
	Cost     time.Duration
	// Slots is the size of a batch, Free the number of requests that the replica takes beyond
	// those that it runs, Running those of this node and RunningElsewhere those of others.
	Slots                     int
	Free                      float64
	Running, RunningElsewhere int
	// RateLimit is the requests a second that the replica has named, 0 for none.
	RateLimit float64 `json:",omitempty"`
	// ColdFor is the time for which the replica stays cold, 0 for a warm one.
	ColdFor                     time.Duration `json:",omitempty"`
	Evacuated, Leaving, Suspect bool          `json:",omitempty"`
}

// QueueExplanation is the queue of the model at this node.
type QueueExplanation struct {
	// Waiting holds the waiting requests of each rank with any.
	Waiting []RankExplanation
	// TokensAhead is the cost of the requests that go before the request.
	TokensAhead float64 `json:",omitempty"`
	// Pace is the tokens a second that leave the queue of the request's rank, 0 if it is not
	// known. RoomIn is the expected time to room for the request while RoomKnown is set.
	Pace      float64       `json:",omitempty"`
	RoomKnown bool          `json:",omitempty"`
	RoomIn    time.Duration `json:",omitempty"`
}

// RankExplanation is the number of waiting requests of a rank.
type RankExplanation struct{ Rank, Waiting int }

// explain asks the functions of the choice. The lists that they cache do not change later
// choices.
func (c *Controller) explain(now time.Time, need Need) Explanation {
	need.GiveUpAt = c.beforeDrainDeadline(need.GiveUpAt)
	waiter := &Waiter{Need: need, Since: now, lane: c.laneOf(need)}
	explanation := Explanation{
		Queue: c.explainQueue(now, need), Loaded: c.isLoaded(now, need),
		HolderKnown: !c.Estimator.PublishedAt.IsZero(),
	}
	if explanation.HolderKnown {
		explanation.HolderAge = now.Sub(c.Estimator.PublishedAt)
	}
	if !explanation.Loaded && need.Model != "" {
		explanation.Loading = c.isLoading(now, need)
		if at, known := c.loadExpectedAt(now, need); known {
			explanation.LoadEndsIn = at.Sub(now)
		}
	}
	explanation.Replicas = c.explainReplicas(now, waiter)
	for _, replica := range c.Replicas {
		if replica.Description.Service == need.Service {
			explanation.WithoutModel++
		}
	}
	explanation.WithoutModel -= len(explanation.Replicas)
	room := slices.ContainsFunc(explanation.Replicas, func(one ReplicaExplanation) bool {
		return one.LeftOut == "" && !one.HeldBack
	})
	if room && len(waiter.lane.ByGiveUp) == 0 {
		explanation.Outcome = Placed
		return explanation
	}
	explanation.Outcome = Waits
	if explanation.Refused = c.explainRefusal(now, need); explanation.Refused != nil {
		explanation.Outcome = Refuses
	}
	return explanation
}

// explainRefusal returns the refusal of a request for which no replica has room, or nil if it
// would wait.
func (c *Controller) explainRefusal(now time.Time, need Need) *Refusal {
	if refusal := c.whyRefused(now, need); refusal != nil {
		return refusal
	}
	if refusal := c.unreachable(now, need); refusal != nil {
		return refusal
	}
	if len(c.Waiting.ByCall) < maxWaiters {
		return nil
	}
	if _, sheds := c.Waiting.backlogs.Victim(need.rank(), need.Workspace, 1); sheds {
		return nil
	}
	return &Refusal{Reason: "too many requests wait", RetryAfter: overloadRetryAfter}
}

func (c *Controller) explainReplicas(now time.Time, waiter *Waiter) []ReplicaExplanation {
	need := waiter.Need
	c.findCandidates(now, waiter)
	reference := c.Estimator.Reference(need.work())
	c.rateCandidates(now, need, &reference)
	var preferred *Replica
	if one := c.pickForBeginning(now, need, &reference, (*Replica).hasRoomForAll); one != nil {
		preferred = one.replica
	}
	good, total := 0, 0.0
	if len(c.candidates) > 0 {
		good, total = c.compareCandidates(need.LateAt.Sub(now))
	}
	indexes := make(map[*Replica]int, len(c.candidates))
	for i, one := range c.candidates {
		indexes[one.replica] = i
	}
	explanations := []ReplicaExplanation{}
	for _, replica := range c.holders(need.Service, need.Model) {
		one := c.explainReplica(now, replica, need)
		index, isCandidate := indexes[replica]
		switch {
		case one.LeftOut != "":
		case isCandidate:
			found := c.candidates[index]
			one.Lost, one.Preferred = found.lost, replica == preferred
			switch {
			case one.Preferred:
				one.Lost, one.Probability = "", 1
			case preferred != nil:
				one.Lost = OtherHasPrefix
			case index < good:
				one.Probability = found.weight() / total
			}
			one.HeldBack, one.ByChance = c.isHeldBack(now, replica)
		case c.shouldAvoid(now, need, replica.Description.ID, one.Suspect):
			one.LeftOut = Avoided
		default:
			one.Lost = Suspect
		}
		explanations = append(explanations, one)
	}
	return explanations
}

func (c *Controller) explainReplica(now time.Time, replica *Replica, need Need) ReplicaExplanation {
	reference := c.Estimator.Reference(need.work())
	cached := c.cachedTokens(now, replica, need)
	estimate := c.estimate(now, replica, &reference, cached)
	return ReplicaExplanation{
		Replica: replica.Description.ID, DataCentre: replica.Description.DataCentre, Version: replica.Description.Version,
		LeftOut: c.whyUnusable(now, replica, need, modelKey{need.Model, need.Adapter}),
		Cached:  cached, Estimate: estimate, Cost: time.Duration(replica.cost(now, estimate)),
		Slots: replica.Description.Slots, Free: replica.free(),
		Running: replica.RunningTotal, RunningElsewhere: replica.RunningElsewhere,
		RateLimit: replica.Notice.RateLimit, ColdFor: max(0, c.coldUntil(replica).Sub(now)),
		Evacuated: replica.Description.Evacuated, Leaving: replica.isLeaving(), Suspect: replica.isSuspect(now),
	}
}

// isHeldBack reports whether takeOfLimit would hold a request back from the replica, and
// whether that is a matter of chance.
func (c *Controller) isHeldBack(now time.Time, replica *Replica) (held, byChance bool) {
	if c.isCold(now, replica) && (!c.isSender(now, replica) || replica.Notice.Cold.levelAt(now, c.senderRate(replica)) < 1) {
		return true, false
	}
	if replica.Notice.RateLimit == 0 {
		return false, false
	}
	limit := resolver.Workspace{Name: planner.LimitName(replica.Description.ID), Rate: replica.Notice.RateLimit, Burst: limitBurst}
	inspection := c.Limits.Inspect(now, limit, 1)
	return inspection.Probability == 0, inspection.Probability > 0 && inspection.Probability < 1
}

func (c *Controller) explainQueue(now time.Time, need Need) QueueExplanation {
	queue := QueueExplanation{Waiting: []RankExplanation{}}
	for rank := range maxRank + 1 {
		if model := c.Waiting.Models[modelQueueKey{need.useKey(), need.dataCentresKey(), rank}]; model != nil && model.Waiting > 0 {
			queue.Waiting = append(queue.Waiting, RankExplanation{rank, model.Waiting})
		}
	}
	if model := c.Waiting.Models[need.modelQueueKey()]; model != nil {
		queue.TokensAhead = model.ahead(need.Workspace, c.ownAhead(need))
		queue.Pace, _ = model.pace(now)
	}
	if at, known := c.roomExpectedAt(now, need); known {
		queue.RoomKnown, queue.RoomIn = true, max(0, at.Sub(now))
	}
	return queue
}
