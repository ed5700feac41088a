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
	// assumedNodes stands for the number of nodes before any is known.
	assumedNodes = 8
	// slackShare is the part of the allowed overshoot that a bucket holds on
	// top of its burst. The rest covers what the nodes take before they hear
	// of each other.
	slackShare = 0.15
	// debtSpan bounds the debt of a bucket by the limit's rate.
	debtSpan = 3 * time.Second
	// leastRetry is the shortest time after which a refused request may come
	// back.
	leastRetry = 100 * time.Millisecond
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
	Nodes   int
}

// Bucket is the state of a workspace's limit.
type Bucket struct {
	Level float64
	At    time.Time
	// Spent is what this node took since its start, and Others what the other
	// nodes took in the present epoch.
	Spent  float64
	Others float64
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
		bucket = &Bucket{Level: c.room(now, workspace), At: now}
		c.Buckets[workspace.Name] = bucket
	}
	c.fill(now, bucket, workspace)
	decision := Decision{Level: bucket.Level, Age: now.Sub(c.HeardAt)}
	if bucket.Level <= 0 {
		wait := time.Duration(-bucket.Level / (workspace.Rate * c.share(now)) * float64(time.Second))
		decision.RetryAfter = max(leastRetry, wait)
		return decision
	}
	// A request may take the bucket below zero, as its size is not known to
	// the caller of a workspace that has units left; the debt is paid first.
	bucket.Level -= message.Units
	bucket.Spent += message.Units
	decision.Taken = true
	return decision
}

// share is the part of a limit that this node may give out by itself: all of
// it while it hears what the others take.
func (c *Controller) share(now time.Time) float64 {
	if now.Sub(c.HeardAt) <= silence {
		return 1
	}
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
	bucket.At, bucket.Rate = now, workspace.Rate
}

// heard subtracts what the others took since the last time.
func (c *Controller) heard(now time.Time, message Heard) {
	anew := message.Epoch != c.Epoch
	c.Epoch, c.HeardAt, c.Nodes = message.Epoch, now, max(1, message.Nodes)
	if anew {
		for _, bucket := range c.Buckets {
			bucket.Others = 0
		}
	}
	for _, spent := range message.Spent {
		bucket := c.Buckets[spent.Workspace]
		if bucket == nil {
			continue
		}
		if more := spent.Units - bucket.Others; more > 0 {
			bucket.Level = max(bucket.Level-more, -bucket.Rate*debtSpan.Seconds())
		}
		bucket.Others = spent.Units
	}
}

func (c *Controller) collect(call runner.Call) AnswerCollect {
	answer := AnswerCollect{Call: call}
	for name, bucket := range c.Buckets {
		answer.Spent = append(answer.Spent, planner.Spent{Workspace: name, Units: bucket.Spent})
	}
	slices.SortFunc(answer.Spent, func(a, b planner.Spent) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return answer
}
