package rationer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// silence is how long after the last word of the others a node keeps to
	// its share: four exchanges.
	usageTTL = 1100 * time.Millisecond
	// assumedNodes stands for the number of nodes before any is known. It is
	// above those of today's deployments, as all may start at once.
	assumedNodes = 100
	// slackShare is the part of the allowed overshoot that a bucket holds on
	// top of its burst. The rest covers what the nodes take before they hear
	// of each other.
	bucketSlackShare = 0.1
	// restartShare is the part of a burst that a node starts with.
	initialBurstShare = 0.2
	// debtSpan bounds the debt of a bucket by the limit's rate.
	maxDebtTime = 8 * time.Second
	// busyShare is the part of a limit's rate from which on a workspace is
	// busy, and lowShare the part of the bucket below which a busy one's units
	// are divided among the nodes until they hear of each other again.
	busyShare   = 0.8
	scarceShare = 0.6
	// partShare is the weight of a new measurement in a node's part.
	shareSmoothing = 0.5
	// leastRetry is the shortest time after which a refused request may come
	// back.
	minRetryAfter = 100 * time.Millisecond
	// mostRetry is the longest such time: a node that keeps to its share hears
	// of the others again before long.
	maxRetryAfter = 2 * time.Second
)

// Message is an input of Controller.
type Message interface{ isMessage() }

// Tick does nothing: the controller acts only when it is asked.
type Tick struct{}

// Take asks for units of a workspace's limit.
type Take struct {
	Call      runner.Call
	Workspace resolver.Workspace
	Units     float64
}

// Heard tells what the other nodes took since the holder first heard of them.
type UsageUpdate struct {
	// Epoch identifies the holder's tenure, with which the counts start anew.
	Epoch uint64
	Spent []planner.Spent
	// Nodes is the number of live nodes.
	LiveNodes int
	// Registered is the number of nodes, with those that the holder does not
	// hear: they go on with an equal share each.
	Registered int
}

// SetNodes tells the number of registered nodes, as the store shows it. It
// counts until a holder tells more.
type SetNodes struct{ Registered int }

// Collect asks what this node has taken since its start.
type Collect struct{ Call runner.Call }

func (Tick) isMessage()        {}
func (Take) isMessage()        {}
func (UsageUpdate) isMessage() {}
func (SetNodes) isMessage()    {}
func (Collect) isMessage()     {}

// Effect is an output of Controller: AnswerTake or AnswerCollect.
type Effect interface{ isEffect() }

// AnswerTake answers a Take.
type AnswerTake struct {
	Call     runner.Call
	Decision Decision
}

// Decision says whether the units were taken.
type Decision struct {
	Taken bool
	// RetryAfter is when the units are there if nobody else takes them.
	RetryAfter time.Duration
	// Level is what is left, and Age the time since the others were heard.
	Level float64
	Age   time.Duration
}

// AnswerCollect answers a Collect.
type AnswerCollect struct {
	Call  runner.Call
	Spent []planner.Spent
}

func (AnswerTake) isEffect()    {}
func (AnswerCollect) isEffect() {}

// Controller keeps the buckets of one node.
type Controller struct {
	// Slack is how many units all nodes together may go over a limit.
	Slack   float64
	Buckets map[string]*Bucket
	// Counted says that the others have reported to the present holder: its
	// first answer may come before their reports.
	OthersReported bool
	// Random decides about requests that are larger than this node's part.
	Random *rand.Rand
	// Since is when the controller handled its first message.
	StartedAt time.Time
	Epoch     uint64
	UpdatedAt time.Time
	// Others is what the other nodes took in the present epoch, as last told,
	// by workspace. A bucket that is new must not pay for it again.
	OthersSpent map[string]float64
	// Nodes is the number of registered nodes, and Alive that of those that
	// the holder hears.
	Registered, LiveNodes int
}

// Bucket is the state of a workspace's limit.
type Bucket struct {
	// Level is what is left of the limit for all nodes together, as far as it
	// is known what the others took. It is cut to the room when that is heard:
	// before, it must pay for what they take.
	Level float64
	// Alone is what is left of this node's equal part, which counts while it
	// does not hear what the others take.
	IsolatedLevel float64
	FilledAt      time.Time
	// Part is this node's part of what all nodes take, and Local what it may
	// take before it hears of the others again. Without it all nodes would
	// take the last units at once.
	Share, LocalLevel float64
	// Recent is what this node took since it last heard of the others.
	RecentlySpent float64
	// Busy says that all nodes together took units at about the limit's rate,
	// and OthersRate is what the others took in a second.
	Busy       bool
	OthersRate float64
	// Spent is what this node took since its start, and Others what the other
	// nodes took in the present epoch.
	Spent       float64
	OthersSpent float64
	// Collected is what went into the last report, Acknowledged what a holder
	// has heard of, and Told what it has told the others, too: they ask once
	// in the time between two reports.
	Collected, Acknowledged, Propagated float64
	// Rate is the limit's rate, and Room the most that the bucket holds, when
	// units were last taken.
	Rate, Capacity float64
}

// NewController returns a controller without buckets, whose choices are drawn
// from a seed.
func NewController(slack float64, seed uint64) *Controller {
	return &Controller{Slack: slack, Buckets: map[string]*Bucket{}, Random: rand.New(rand.NewPCG(seed, seed))}
}

// Wake returns the zero time: nothing happens by itself.
func (c *Controller) Wake() time.Time { return time.Time{} }

// Step handles one message.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if c.StartedAt.IsZero() {
		c.StartedAt = now
	}
	switch message := message.(type) {
	case Tick:
	case Take:
		return []Effect{AnswerTake{message.Call, c.take(now, message)}}
	case UsageUpdate:
		c.applyUsage(now, message)
	case SetNodes:
		if !c.usageIsFresh(now) {
			c.Registered = message.Registered
		}
	case Collect:
		return []Effect{c.collect(message.Call)}
	}
	return nil
}

func (c *Controller) take(now time.Time, message Take) Decision {
	workspace := message.Workspace
	if workspace.Rate <= 0 {
		return Decision{Taken: true}
	}
	bucket := c.Buckets[workspace.Name]
	if bucket == nil {
		bucket = c.openBucket(now, workspace)
		c.Buckets[workspace.Name] = bucket
	}
	c.refill(now, bucket, workspace)
	decision := Decision{Level: min(bucket.Level, bucket.Capacity), Age: now.Sub(c.UpdatedAt)}
	available, share, limitedToShare := bucket.Level, c.liveShare(), false
	switch {
	case !c.usageIsFresh(now):
		decision.Level = bucket.IsolatedLevel
		available, share, limitedToShare = bucket.IsolatedLevel, c.equalShare(), true
	case bucket.isScarce(now.Sub(c.UpdatedAt)):
		decision.Level = min(decision.Level, bucket.LocalLevel)
		limitedToShare = true
	}
	if decision.Level <= 0 || limitedToShare && decision.Level < message.Units*c.Random.Float64() {
		wait := time.Duration(-min(0, available) / (workspace.Rate * share) * float64(time.Second))
		decision.RetryAfter = min(maxRetryAfter, max(minRetryAfter, wait))
		return decision
	}
	// A request may take the bucket below zero, as its size is not known to
	// the caller of a workspace that has units left; the debt is paid first.
	// A node's part may be smaller than any request: it is taken with the
	// probability that keeps the average within the part.
	bucket.Level -= message.Units
	bucket.IsolatedLevel -= message.Units
	bucket.LocalLevel -= message.Units
	bucket.RecentlySpent += message.Units
	bucket.Spent += message.Units
	decision.Taken = true
	return decision
}

// open returns the bucket of a workspace that this node has not served yet. A
// node that has just started may have taken the burst in an earlier life.
func (c *Controller) openBucket(now time.Time, workspace resolver.Workspace) *Bucket {
	share, capacity := c.equalShare(), c.bucketCapacity(workspace)
	level := min(capacity, initialBurstShare*workspace.Burst+workspace.Rate*now.Sub(c.StartedAt).Seconds())
	return &Bucket{Level: level, IsolatedLevel: level * share, Share: share, LocalLevel: level * share, Busy: true, OthersRate: workspace.Rate, FilledAt: now, Rate: workspace.Rate, Capacity: capacity, OthersSpent: c.OthersSpent[workspace.Name]}
}

// reach is the part of a limit that the nodes give out that the holder hears;
// the others go on with an equal part each.
func (c *Controller) liveShare() float64 {
	if c.Registered == 0 || c.LiveNodes == 0 {
		return 1
	}
	return float64(c.LiveNodes) / float64(c.Registered)
}

// hears says whether what the others take is known.
func (c *Controller) usageIsFresh(now time.Time) bool {
	return c.OthersReported && now.Sub(c.UpdatedAt) <= usageTTL
}

// leastPart is an equal part of a limit.
func (c *Controller) equalShare() float64 {
	if c.Registered == 0 {
		return 1.0 / assumedNodes
	}
	return 1 / float64(c.Registered)
}

// room is the most that a bucket holds for all nodes together.
func (c *Controller) bucketCapacity(workspace resolver.Workspace) float64 {
	return (workspace.Burst + c.Slack*bucketSlackShare) * c.liveShare()
}

// fill adds what has come since the last time.
func (c *Controller) refill(now time.Time, bucket *Bucket, workspace resolver.Workspace) {
	elapsed := max(0, now.Sub(bucket.FilledAt).Seconds())
	bucket.Level += elapsed * workspace.Rate * c.liveShare()
	share := c.equalShare()
	bucket.IsolatedLevel = min((workspace.Burst+c.Slack*bucketSlackShare)*share, bucket.IsolatedLevel+elapsed*workspace.Rate*share)
	bucket.LocalLevel += elapsed * workspace.Rate * bucket.Share
	bucket.FilledAt, bucket.Rate, bucket.Capacity = now, workspace.Rate, c.bucketCapacity(workspace)
}

// heard subtracts what the others took since the last time.
func (c *Controller) applyUsage(now time.Time, message UsageUpdate) {
	newEpoch := message.Epoch != c.Epoch
	elapsed := now.Sub(c.UpdatedAt)
	c.Epoch, c.UpdatedAt = message.Epoch, now
	c.LiveNodes = max(1, message.LiveNodes)
	c.Registered = max(c.LiveNodes, message.Registered)
	if newEpoch {
		for _, bucket := range c.Buckets {
			bucket.OthersSpent = 0
		}
	}
	others := make(map[string]float64, len(message.Spent))
	for _, spent := range message.Spent {
		others[spent.Workspace] = spent.Units
	}
	c.OthersSpent = others
	c.OthersReported = !newEpoch
	for name, bucket := range c.Buckets {
		if !newEpoch {
			bucket.updateShare(others[name]-bucket.OthersSpent, elapsed)
		}
		c.subtractOthers(bucket, others[name])
	}
}

// measure finds this node's part of what all took in a time. A new holder's
// count does not tell what the others took before its start.
func (b *Bucket) updateShare(increase float64, elapsed time.Duration) {
	total := b.RecentlySpent + increase
	if total > 0 {
		b.Share += shareSmoothing * (b.RecentlySpent/total - b.Share)
	}
	b.Busy = total > busyShare*b.Rate*elapsed.Seconds()
	b.OthersRate = increase / max(elapsed, time.Millisecond).Seconds()
}

// scarce says whether little is left of a busy workspace's limit, some time
// after the others were heard.
func (b *Bucket) isScarce(age time.Duration) bool {
	return b.Busy && b.Level-b.OthersRate*age.Seconds() < scarceShare*b.Capacity
}

// settle subtracts what the others took in a time.
func (c *Controller) subtractOthers(bucket *Bucket, others float64) {
	increase := max(0, others-bucket.OthersSpent)
	bucket.OthersSpent = others
	bucket.Propagated, bucket.Acknowledged = bucket.Acknowledged, bucket.Collected
	bucket.Level = max(bucket.Level-increase, -bucket.Rate*maxDebtTime.Seconds())
	bucket.Share = max(bucket.Share, c.equalShare())
	bucket.RecentlySpent = 0
	if c.OthersReported {
		bucket.Level = min(bucket.Level, bucket.Capacity)
		bucket.IsolatedLevel = bucket.Level * c.equalShare()
	}
	bucket.LocalLevel = max(0, bucket.Level) * bucket.Share
}

func (c *Controller) collect(call runner.Call) AnswerCollect {
	answer := AnswerCollect{Call: call}
	for name, bucket := range c.Buckets {
		answer.Spent = append(answer.Spent, planner.Spent{Workspace: name, Units: bucket.Spent, Told: bucket.Propagated})
		bucket.Collected = bucket.Spent
	}
	slices.SortFunc(answer.Spent, func(a, b planner.Spent) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return answer
}
