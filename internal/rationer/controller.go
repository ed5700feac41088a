package rationer

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// silence is how long after the last word of the others a node keeps to
	// its share: four exchanges.
	silence = 1100 * time.Millisecond
	// assumedNodes stands for the number of nodes before any is known. It is
	// above those of today's deployments, as all may start at once.
	assumedNodes = 100
	// slackShare is the part of the allowed overshoot that a bucket holds on
	// top of its burst. The rest covers what the nodes take before they hear
	// of each other.
	slackShare = 0.15
	// debtSpan bounds the debt of a bucket by the limit's rate.
	debtSpan = 8 * time.Second
	// busyShare is the part of a limit's rate from which on a workspace is
	// busy, and lowShare the part of the bucket below which a busy one's units
	// are divided among the nodes.
	busyShare = 0.8
	lowShare  = 0.6
	// partShare is the weight of a new measurement in a node's part.
	partShare = 0.5
	// leastRetry is the shortest time after which a refused request may come
	// back.
	leastRetry = 100 * time.Millisecond
	// mostRetry is the longest such time: a node that keeps to its share hears
	// of the others again before long.
	mostRetry = 2 * time.Second
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
type Heard struct {
	// Epoch identifies the holder's tenure, with which the counts start anew.
	Epoch uint64
	Spent []planner.Spent
	// Nodes is the number of live nodes.
	Nodes int
	// Registered is the number of nodes, with those that the holder does not
	// hear: they go on with an equal share each.
	Registered int
}

// Collect asks what this node has taken since its start.
type Collect struct{ Call runner.Call }

func (Tick) isMessage()    {}
func (Take) isMessage()    {}
func (Heard) isMessage()   {}
func (Collect) isMessage() {}

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
	Epoch   uint64
	HeardAt time.Time
	// Others is what the other nodes took in the present epoch, as last told,
	// by workspace. A bucket that is new must not pay for it again.
	Others map[string]float64
	// Nodes is the number of registered nodes, and Alive that of those that
	// the holder hears.
	Nodes, Alive int
}

// Bucket is the state of a workspace's limit.
type Bucket struct {
	Level float64
	At    time.Time
	// Part is this node's part of what all nodes take, and Local what it may
	// take before it hears of the others again. Without it all nodes would
	// take the last units at once.
	Part, Local float64
	// Recent is what this node took since it last heard of the others.
	Recent float64
	// Busy says that all nodes together took units at about the limit's rate.
	Busy bool
	// Spent is what this node took since its start, and Others what the other
	// nodes took in the present epoch.
	Spent  float64
	Others float64
	// Collected is what went into the last report, and Told what a holder has
	// heard of.
	Collected, Told float64
	// Rate is the limit's rate when units were last taken.
	Rate float64
}

// NewController returns a controller without buckets.
func NewController(slack float64) *Controller {
	return &Controller{Slack: slack, Buckets: map[string]*Bucket{}}
}

// Wake returns the zero time: nothing happens by itself.
func (c *Controller) Wake() time.Time { return time.Time{} }

// Step handles one message.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case Tick:
	case Take:
		return []Effect{AnswerTake{message.Call, c.take(now, message)}}
	case Heard:
		c.heard(now, message)
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
		level := c.room(now, workspace)
		part := c.leastPart()
		bucket = &Bucket{Level: level, Part: part, Local: level * part, At: now, Rate: workspace.Rate, Others: c.Others[workspace.Name]}
		c.Buckets[workspace.Name] = bucket
	}
	c.fill(now, bucket, workspace)
	decision := Decision{Level: bucket.Level, Age: now.Sub(c.HeardAt)}
	if c.hears(now) && bucket.Busy && bucket.Level < lowShare*c.room(now, workspace) {
		decision.Level = min(bucket.Level, bucket.Local)
	}
	if decision.Level <= 0 {
		wait := time.Duration(-min(0, bucket.Level) / (workspace.Rate * c.share(now)) * float64(time.Second))
		decision.RetryAfter = min(mostRetry, max(leastRetry, wait))
		return decision
	}
	// A request may take the bucket below zero, as its size is not known to
	// the caller of a workspace that has units left; the debt is paid first.
	bucket.Level -= message.Units
	bucket.Local -= message.Units
	bucket.Recent += message.Units
	bucket.Spent += message.Units
	decision.Taken = true
	return decision
}

// share is the part of a limit that this node may give out by itself: all of
// it while it hears what the others take.
func (c *Controller) share(now time.Time) float64 {
	if c.hears(now) {
		return float64(c.Alive) / float64(c.Nodes)
	}
	return c.leastPart()
}

// hears says whether what the others take is known.
func (c *Controller) hears(now time.Time) bool { return now.Sub(c.HeardAt) <= silence }

// leastPart is an equal part of a limit.
func (c *Controller) leastPart() float64 {
	if c.Nodes == 0 {
		return 1.0 / assumedNodes
	}
	return 1 / float64(c.Nodes)
}

func (c *Controller) room(now time.Time, workspace resolver.Workspace) float64 {
	return (workspace.Burst + c.Slack*slackShare) * c.share(now)
}

// fill adds what has come since the last time.
func (c *Controller) fill(now time.Time, bucket *Bucket, workspace resolver.Workspace) {
	passed := max(0, now.Sub(bucket.At).Seconds())
	bucket.Level = min(c.room(now, workspace), bucket.Level+passed*workspace.Rate*c.share(now))
	bucket.Local += passed * workspace.Rate * bucket.Part
	bucket.At, bucket.Rate = now, workspace.Rate
}

// heard subtracts what the others took since the last time.
func (c *Controller) heard(now time.Time, message Heard) {
	anew := message.Epoch != c.Epoch
	elapsed := now.Sub(c.HeardAt)
	c.Epoch, c.HeardAt = message.Epoch, now
	c.Alive = max(1, message.Nodes)
	c.Nodes = max(c.Alive, message.Registered)
	if anew {
		for _, bucket := range c.Buckets {
			bucket.Others = 0
		}
	}
	others := make(map[string]float64, len(message.Spent))
	for _, spent := range message.Spent {
		others[spent.Workspace] = spent.Units
	}
	c.Others = others
	for name, bucket := range c.Buckets {
		c.settle(bucket, others[name], elapsed)
	}
}

// settle subtracts what the others took in a time and measures this node's
// part.
func (c *Controller) settle(bucket *Bucket, others float64, elapsed time.Duration) {
	more := max(0, others-bucket.Others)
	bucket.Others = others
	bucket.Told = bucket.Collected
	bucket.Level = max(bucket.Level-more, -bucket.Rate*debtSpan.Seconds())
	if total := bucket.Recent + more; total > 0 {
		bucket.Part += partShare * (bucket.Recent/total - bucket.Part)
	}
	bucket.Busy = bucket.Recent+more > busyShare*bucket.Rate*elapsed.Seconds()
	bucket.Part = max(bucket.Part, c.leastPart())
	bucket.Recent = 0
	bucket.Local = max(0, bucket.Level) * bucket.Part
}

func (c *Controller) collect(call runner.Call) AnswerCollect {
	answer := AnswerCollect{Call: call}
	for name, bucket := range c.Buckets {
		answer.Spent = append(answer.Spent, planner.Spent{Workspace: name, Units: bucket.Spent, Told: bucket.Told})
		bucket.Collected = bucket.Spent
	}
	slices.SortFunc(answer.Spent, func(a, b planner.Spent) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return answer
}
