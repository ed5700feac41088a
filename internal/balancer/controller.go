package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// avoidanceTimeout is how long a request waits for a replica other than
	// those to be avoided.
	avoidanceTimeout = typicalLoadTime
	// maxPlainLoad is the load of a plain service's replica, relative to its
	// slots, at and above which requests wait at the node, because the replica
	// would queue them without regard to their order.
	maxPlainLoad = 2.0
	// maxEngineLoad is the corresponding load of an engine. It is slightly
	// above 1, because an engine admits a few requests more than it has slots
	// and the requests of other nodes are known only with a delay.
	maxEngineLoad = 1.1
	// typicalLoadTime is the time to make room for a model and to load it from
	// a replica's own copies.
	typicalLoadTime = 900 * time.Millisecond
	// noHolderRetryAfter is the retry delay for a request whose model cannot be
	// loaded because no holder has been found yet.
	noHolderRetryAfter = 2500 * time.Millisecond
	// overloadRetryAfter is the retry delay for a request for which no replica
	// was available.
	overloadRetryAfter = 400 * time.Millisecond
	// minCheckInterval is the shortest time between two checks of the waiting requests
	// without a message.
	minCheckInterval = time.Millisecond
	// maxWaiters bounds the number of waiting requests at a node.
	maxWaiters = 2000
)

// Controller chooses replicas for one node.
type Controller struct {
	// StartedAt is the time of the first message.
	StartedAt time.Time
	Replicas  map[string]*Replica
	// ReplicasListed is set once a list of replicas was received.
	ReplicasListed bool
	// Notices holds what replicas have announced. It outlasts the entries of
	// Replicas, and a list that shows an earlier start.
	Notices map[replicaStart]*Notice
	// SortedIDs caches the sorted IDs of the replicas. It is nil after a change.
	SortedIDs []string
	// Holders caches the replicas that may have a model. It is nil after a change.
	Holders map[holderKey][]*Replica
	// Estimator knows the speeds of replicas and the paces of models. OverdueReviewedAt is
	// when requests without a first event were last taken into account.
	Estimator         *estimator.Estimator
	OverdueReviewedAt time.Time
	// Caches knows the beginnings of prompts that replicas keep.
	Caches Caches
	// Epoch is that of the holder which has this node's measurements.
	Epoch uint64
	// OrdersAllowedAt is when the holder may order loads, according to its last
	// answer. It is zero until a holder has answered.
	OrdersAllowedAt time.Time
	// Waiting holds the waiting requests.
	Waiting Waiting
	// Changes counts the changes after which the replicas must be scanned again for every
	// waiting request. Freed holds the replicas of which only an attempt has ended since
	// the waiting requests were last checked.
	Changes uint64
	Freed   []string
	// Assignments holds the placements that have not ended.
	Assignments map[runner.Call]*assignment
	// Uses counts the requests that were sent since the last Collect.
	Uses map[useKey]*planner.Use
	// DrainDeadline bounds the waiting time of all requests while the node
	// shuts down. It is zero otherwise.
	DrainDeadline time.Time
	// CheckedAt is when the waiting requests were last checked.
	CheckedAt time.Time
	// FailedAlone holds the IDs of the replicas that have failed attempts since any replica
	// answered one.
	FailedAlone map[string]bool
	// Beginning holds the software versions that may begin streams, by service, and Assigned the
	// shares of the versions by model. assignedServed remembers during a step whether the
	// assigned version can serve a stream, by its AssignedTo.
	Beginning      map[string][]string
	Assigned       map[resumer.ModelKey][]resumer.Share
	assignedServed map[*string]bool
	// BrittleServices holds when a replica of a service was last known to be brittle.
	BrittleServices map[string]time.Time
	// Cold is what is known of cold replicas in general.
	Cold ColdState
	// Limits counts the requests that may be sent to replicas with limits.
	Limits *rationer.Controller
	// Random is seeded differently at each node, so that their choices differ. Spread does
	// the same for retry delays, apart from the choice of replicas.
	Random, Spread *rand.Rand
	// candidates is reused by each choice.
	candidates []candidate
}

// NewController returns a controller whose random choices are derived from seed.
func NewController(seed uint64) *Controller {
	return &Controller{
		Replicas:    map[string]*Replica{},
		Notices:     map[replicaStart]*Notice{},
		Assignments: map[runner.Call]*assignment{},
		FailedAlone: map[string]bool{},
		Uses:        map[useKey]*planner.Use{},
		Estimator:   estimator.New(),
		Caches:      newCaches(),
		Limits:      rationer.NewController(0, seed),
		Waiting:     newWaiting(),

		BrittleServices: map[string]time.Time{},
		assignedServed:  map[*string]bool{},
		Random:          rand.New(rand.NewPCG(seed, seed)),
		Spread:          rand.New(rand.NewPCG(seed, seed+1)),
	}
}

// Wake returns when the waiting requests are next checked: when a load or a back-off ends,
// when one of them is given up, and otherwise at maxCheckInterval.
func (c *Controller) Wake() time.Time {
	wake := c.nextCheckAt()
	if earliest := c.CheckedAt.Add(minCheckInterval); !wake.IsZero() && wake.Before(earliest) {
		return earliest
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	c.noteChange(message)
	clear(c.assignedServed)
	if c.StartedAt.IsZero() {
		c.StartedAt = now
	}
	switch message := message.(type) {
	case Tick:
	case SetReplicas:
		c.ReplicasListed = true
		return append(c.setReplicas(now, message), c.serveWaiters(now)...)
	case SetColdRules:
		c.Cold.Rules = message.Rules
		c.Cold.Version++
		return append(c.reviewCold(now), c.serveWaiters(now)...)
	case SetNodes:
		c.setNodes(now, message)
	case SetPeerState:
		return append(c.setPeerState(now, message), c.serveWaiters(now)...)
	case Place:
		return c.place(now, message)
	case Cancel:
		if waiter := c.Waiting.ByCall[message.Call]; waiter != nil {
			c.dequeue(now, waiter, false)
		}
		c.endAttempt(now, AttemptEnded{PlacementID: message.Call, Result: Abandoned})
	case SetModels:
		c.Estimator.Sizes, c.Caches.Tokens = message.Sizes, message.CacheTokens
	case AnswerBegun:
		return c.recordBegun(now, message)
	case AnswerProgressed:
		return c.recordProgress(now, message)
	case AttemptEnded:
		return append(c.endAttempt(now, message), c.serveWaiters(now)...)
	case NoticeReceived:
		return c.recordNotice(now, message)
	case SetBeginning:
		c.setBeginning(message)
	case UsageUpdate:
		c.Limits.Step(now, message.Usage)
		c.setEpoch(now, message.Usage.Epoch)
	case Leave:
		c.DrainDeadline = message.Until
		c.boundWaits()
	case Explain:
		return []Effect{AnswerExplain{message.Call, c.explain(now, c.assignVersion(now, message.Need))}}
	case AdmitRelay:
		return []Effect{c.admitRelay(now, message)}
	case CacheEvents:
		c.recordEvents(now, message)
	case Collect:
		return append(c.reviewCold(now), c.collect(now, message.Call))
	}
	return c.serveWaiters(now)
}

// setPeerState adopts the state of the other nodes.
func (c *Controller) setPeerState(now time.Time, message SetPeerState) []Effect {
	c.OrdersAllowedAt = now.Add(message.OrdersAllowedIn)
	c.Estimator.Adopt(now, message.Speeds, message.Paces)
	c.applyCached(now, message.Cached)
	effects := c.reviewCold(now)
	for _, id := range c.sortedIDs() {
		replica := c.Replicas[id]
		replica.RunningElsewhere = message.Active[id]
		if slices.Contains(message.Suspects, id) {
			replica.SuspectedUntil = now.Add(peerSuspicionTTL)
		}
		effects = append(effects, replica.Notice.applyPublished(now, id, message)...)
		c.noteBrittle(now, replica)
		replica.Notice.ClosedElsewhereUntil = now.Add(message.Closed[id])
		effects = append(effects, replica.noteSpeed()...)
	}
	return effects
}

func (c *Controller) setReplicas(now time.Time, message SetReplicas) []Effect {
	c.SortedIDs, c.Holders = nil, nil
	found := make(map[string]bool, len(message.Replicas))
	for _, description := range message.Replicas {
		found[description.ID] = true
		known := c.Replicas[description.ID]
		isNew := c.Notices[replicaStart{description.ID, description.StartedMS}] == nil
		if known == nil || known.Description.StartedMS != description.StartedMS || known.Description.Address != description.Address {
			known = &Replica{
				LoadEndsAt:   map[modelKey]time.Time{},
				MissingUntil: map[modelKey]time.Time{},
				Running:      map[string]int{},
				Notice:       c.noticeOf(description.ID, description.StartedMS),
			}
			c.Replicas[description.ID] = known
		}
		known.Speed = c.Estimator.Replica(description.ID, description.StartedMS)
		known.update(now, description)
		known.Notice.observeCold(now, isNew, description)
	}
	for id := range c.Replicas {
		if !found[id] {
			delete(c.Replicas, id)
			delete(c.Limits.Buckets, planner.LimitName(id))
		}
	}
	c.expireNotices(now)
	c.retainBeliefs()
	c.Estimator.Retain(now, func(id string) bool { return found[id] })
	return c.reviewCold(now)
}

// place assigns a replica immediately, refuses the request, or adds it to the
// waiting requests. Requests that wait already go first.
func (c *Controller) place(now time.Time, message Place) []Effect {
	message.Need = c.assignVersion(now, message.Need)
	waiter := &Waiter{Call: message.Call, Need: message.Need, Since: now}
	waiter.Need.GiveUpAt = c.beforeDrainDeadline(waiter.Need.GiveUpAt)
	var effects []Effect
	if service := c.Waiting.Services[message.Need.Service]; service != nil {
		effects = c.serveService(now, service)
	}
	waiter.lane = c.laneOf(waiter.Need)
	if len(waiter.lane.ByGiveUp) == 0 {
		if placement, ok := c.chooseReplica(now, waiter); ok {
			return append(effects, AnswerPlace{message.Call, placement})
		}
	}
	if refusal := c.admission(now, waiter); refusal != nil {
		return append(effects, AnswerPlace{message.Call, Placement{Refused: refusal}})
	}
	shed, refusal := c.makeRoom(now, waiter.Need)
	effects = append(effects, shed...)
	if refusal != nil {
		return append(effects, AnswerPlace{message.Call, Placement{Refused: refusal}})
	}
	c.enqueue(waiter)
	if !waiter.lane.Blocked {
		c.hasRoom(now, waiter) // records when the lane must be checked
	}
	if message.Need.Model != "" && !c.isLoading(now, message.Need) {
		effects = append(effects, NewDemand{})
	}
	return effects
}

// beforeDrainDeadline returns giveUpAt or the drain deadline, whichever is earlier.
func (c *Controller) beforeDrainDeadline(giveUpAt time.Time) time.Time {
	if c.DrainDeadline.IsZero() {
		return giveUpAt
	}
	return earlier(giveUpAt, c.DrainDeadline)
}

// endAttempt ends a placement, records its result, and returns a note when the
// replica becomes suspect or is trusted again.
func (c *Controller) endAttempt(now time.Time, message AttemptEnded) []Effect {
	ended := c.Assignments[message.PlacementID]
	if ended == nil {
		return nil
	}
	delete(c.Assignments, message.PlacementID)
	ended.endReturn(now, message.Result != Refused && message.Result != Abandoned && message.Result != NotPermitted)
	replica := ended.replica
	if message.Result == NotPermitted {
		c.denyPermit(now, ended, message.RetryAfter)
	}
	replica.recordResult(now, ended.need, message)
	c.recordContact(replica.Description.ID, message.Result)
	effects := c.recordEnd(now, ended, message)
	suspect := replica.failures(now) >= suspectThreshold
	if suspect == replica.SuspicionLogged {
		return effects
	}
	replica.SuspicionLogged = suspect
	text := "replica trusted again"
	if suspect {
		text = "replica suspected"
	}
	return append(effects, Note{Text: text, Replica: replica.Description.ID, Result: message.Result, Failures: replica.failures(now)})
}
