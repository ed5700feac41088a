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
	// usageTTL is how long the last report about the other nodes' usage is
	// valid: four exchanges. After that a node restricts itself to an equal
	// share.
	usageTTL = 1100 * time.Millisecond
	// assumedNodes is the number of nodes that is assumed until it is known. It
	// is larger than present deployments, because all nodes may start at once.
	assumedNodes = 100
	// bucketSlackShare is the fraction of the allowed overshoot that a bucket
	// holds on top of its burst. The rest covers the units that nodes take
	// before they learn of each other's usage.
	bucketSlackShare = 0.1
	// isolatedSlackShare replaces bucketSlackShare while the others' usage is not
	// known: nothing is then taken before others learn of it. isolatedSlackTime is
	// the time whose rate is added to it: half of the allowed overage of a tenth in
	// a window of 8 s.
	isolatedSlackShare = 0.5
	isolatedSlackTime  = 400 * time.Millisecond
	// initialBurstShare is the fraction of the burst that is available when a
	// node has just started.
	initialBurstShare = 0.2
	// maxDebtTime bounds the debt of a bucket to the units that the limit's
	// rate adds in this time.
	maxDebtTime = 8 * time.Second
	// busyShare is the fraction of a limit's rate above which a workspace is
	// busy. scarceShare is the fraction of the bucket's capacity below which
	// the remaining units of a busy workspace are divided among the nodes until
	// their usage is next reported.
	busyShare   = 0.8
	scarceShare = 0.6
	// shareSmoothing is the weight of a new measurement in the moving average
	// of a node's share.
	shareSmoothing = 0.5
	// minRetryAfter is the shortest retry delay that a refused request is
	// given.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest retry delay. isolatedRetryAfter replaces it while
	// the others' usage is not known, because a node soon learns of it again.
	maxRetryAfter      = 2 * time.Second
	isolatedRetryAfter = 800 * time.Millisecond
)

// Controller maintains the token buckets of one node.
type Controller struct {
	// Slack is the number of units by which all nodes together may exceed a
	// limit.
	Slack   float64
	Buckets map[string]*Bucket
	// OthersReported is set once the other nodes have reported to the current
	// holder. The holder's first answer may precede their reports.
	OthersReported bool
	// Random decides on requests that are larger than this node's share.
	Random *rand.Rand
	// StartedAt is when the controller handled its first message.
	StartedAt time.Time
	Epoch     uint64
	UpdatedAt time.Time
	// OthersSpent is the usage of the other nodes in the current epoch as last
	// reported, by workspace. A new bucket starts from it, so that this usage
	// is not subtracted again.
	OthersSpent map[string]float64
	// Registered is the number of registered nodes, and LiveNodes the number of
	// those that report to the holder.
	Registered, LiveNodes int
	// Reports counts the reports of the others' usage.
	Reports uint64
	// Queues holds the requests that wait for units, by workspace.
	Queues map[string]*Queue
}

// Bucket is the token bucket of a workspace.
type Bucket struct {
	// Level is the number of units left for all nodes together, as far as the
	// others' usage is known. It is capped to Capacity only when that usage is
	// reported, because until then units above Capacity may be needed to pay
	// for it.
	Level float64
	// IsolatedLevel is the number of units left of this node's isolated share. It
	// applies while the others' usage is not known.
	IsolatedLevel float64
	FilledAt      time.Time
	// Share is this node's share of the usage of all nodes, but at least an equal
	// share. LocalLevel is the number of units that it may take before the others'
	// usage is next reported. Without it, all nodes would take the last units at
	// the same time.
	Share, LocalLevel float64
	// UsageShare is the share without that minimum, as a part of the whole limit: while
	// other nodes are cut off, those of the connected ones add up to the part that is
	// left to them. It is measured once the others' usage has been reported twice.
	UsageShare    float64
	ShareMeasured bool
	// RecentlySpent is this node's usage since the last report of the others'
	// usage.
	RecentlySpent float64
	// Busy is set if all nodes together take units at about the limit's rate, or if this
	// node has refused requests. OthersRate is the others' usage in units per second.
	Busy       bool
	OthersRate float64
	// Refused is set if this node has refused requests since the last report of the
	// others' usage.
	Refused bool
	// Spent is this node's usage since its start. OthersSpent is the other
	// nodes' usage in the current epoch.
	Spent       float64
	OthersSpent float64
	// Collected is the usage in the last report, and Acknowledged the usage
	// that a holder has received. Propagated is the usage that the holder has
	// also passed on to the other nodes, each of which asks once in the time
	// between two reports of this node.
	Collected, Acknowledged, Propagated float64
	// Baseline is the usage from which the holder of the current epoch counts: the
	// propagated usage when the epoch began.
	Baseline float64
	// Rate is the limit's rate, Capacity the bucket's capacity and IsolatedCapacity that
	// of the isolated levels of all nodes, as of the last Take.
	Rate, Capacity, IsolatedCapacity float64
	// ReturnAt is the time up to which units are reserved for callers that were asked to
	// return.
	ReturnAt time.Time
}

// NewController returns a controller without buckets whose random choices are
// derived from seed.
func NewController(slack float64, seed uint64) *Controller {
	return &Controller{Slack: slack, Buckets: map[string]*Bucket{}, Queues: map[string]*Queue{}, Random: rand.New(rand.NewPCG(seed, seed))}
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if inspect, ok := message.(Inspect); ok {
		return []Effect{AnswerInspect{inspect.Call, c.Inspect(now, inspect.Workspace, inspect.Units)}}
	}
	if c.StartedAt.IsZero() {
		c.StartedAt = now
	}
	switch message := message.(type) {
	case Tick:
		return c.serveQueues(now)
	case Take:
		return c.takeOrWait(now, message)
	case CancelTake:
		c.cancel(message.Call)
	case UsageUpdate:
		c.applyUsage(now, message)
		return c.serveQueues(now)
	case SetNodes:
		if !c.usageIsFresh(now) {
			c.Registered = message.Registered
		}
	case Collect:
		return []Effect{c.collect(message.Call)}
	}
	return nil
}

// bucket returns the bucket of a workspace with the units that have accrued.
func (c *Controller) bucket(now time.Time, workspace resolver.Workspace) *Bucket {
	bucket := c.Buckets[workspace.Name]
	if bucket == nil {
		bucket = c.openBucket(now, workspace)
		c.Buckets[workspace.Name] = bucket
	}
	c.refill(now, bucket, workspace)
	return bucket
}

// take takes the units of a request if there are enough.
func (c *Controller) take(now time.Time, w *WaitingTake) Decision {
	bucket := c.bucket(now, w.Workspace)
	allowance := c.allowance(now, bucket)
	decision := Decision{Level: allowance.level, Age: now.Sub(c.UpdatedAt)}
	if allowance.level > 0 && allowance.ownShare > 0 {
		c.draw(w)
	}
	if allowance.level <= 0 || allowance.ownShare > 0 && allowance.level < w.Units*w.Draw {
		decision.RetryAfter = allowance.retryAfter(bucket.Rate, w.Units)
		bucket.Refused = true
		return decision
	}
	// A request may take the bucket below zero, because a caller whose
	// workspace has units left does not know the size of the request. The debt
	// is repaid before further requests are admitted. If a node's share is
	// smaller than the request, the request is admitted with the probability
	// that keeps the average usage within the share.
	bucket.Level -= w.Units
	bucket.IsolatedLevel -= w.Units
	bucket.LocalLevel -= w.Units
	bucket.RecentlySpent += w.Units
	bucket.Spent += w.Units
	decision.Taken = true
	return decision
}

// allowance is what a node may take of a limit.
type allowance struct {
	// level is the number of units that are left. debt is the number of units that have
	// been taken beyond the limit, which is repaid from debtShare of the limit's rate.
	level, debt, debtShare float64
	// ownShare is the node's share of the limit if it may take no more than that, or 0.
	ownShare float64
	maxRetry time.Duration
}

func (c *Controller) allowance(now time.Time, bucket *Bucket) allowance {
	level := min(bucket.Level, bucket.Capacity)
	switch {
	case !c.usageIsFresh(now):
		share := c.isolatedShare(bucket)
		return allowance{bucket.IsolatedLevel, -bucket.IsolatedLevel, share, share, isolatedRetryAfter}
	case bucket.isScarce(now.Sub(c.UpdatedAt)):
		return allowance{min(level, bucket.LocalLevel), -bucket.Level, c.liveShare(), bucket.Share, maxRetryAfter}
	}
	return allowance{level, -bucket.Level, c.liveShare(), 0, maxRetryAfter}
}

// retryAfter returns the time until the debt is repaid and, if the node is limited to its
// share, until that covers the request for certain.
func (a allowance) retryAfter(rate, units float64) time.Duration {
	wait := max(0, a.debt) / (rate * a.debtShare)
	if a.ownShare > 0 {
		wait += max(0, units-max(0, a.level)) / (rate * a.ownShare)
	}
	return min(a.maxRetry, max(minRetryAfter, time.Duration(wait*float64(time.Second))))
}

// openBucket returns a bucket for a workspace that this node has not served
// yet. It starts below the full burst, because the node may have used the burst
// before a restart.
func (c *Controller) openBucket(now time.Time, workspace resolver.Workspace) *Bucket {
	share, capacity := c.equalShare(), c.bucketCapacity(workspace)
	level := min(capacity, initialBurstShare*workspace.Burst+workspace.Rate*now.Sub(c.StartedAt).Seconds())
	return &Bucket{Level: level, IsolatedLevel: level * share, Share: share, LocalLevel: level * share, Busy: true, OthersRate: workspace.Rate, FilledAt: now, Rate: workspace.Rate, Capacity: capacity, IsolatedCapacity: c.isolatedCapacity(workspace), OthersSpent: c.OthersSpent[workspace.Name]}
}

// refill adopts the current limit and adds the units that have accrued.
func (c *Controller) refill(now time.Time, bucket *Bucket, workspace resolver.Workspace) {
	bucket.Rate, bucket.Capacity = workspace.Rate, c.bucketCapacity(workspace)
	bucket.IsolatedCapacity = c.isolatedCapacity(workspace)
	c.accrue(now, bucket)
}

// accrue adds the units that have accrued since it was last called.
func (c *Controller) accrue(now time.Time, bucket *Bucket) {
	elapsed := max(0, now.Sub(bucket.FilledAt).Seconds())
	bucket.Level += elapsed * bucket.Rate * c.liveShare()
	share := c.isolatedShare(bucket)
	bucket.IsolatedLevel = min(bucket.IsolatedCapacity*share, bucket.IsolatedLevel+elapsed*bucket.Rate*share)
	bucket.LocalLevel += elapsed * bucket.Rate * bucket.Share
	bucket.FilledAt = now
}

// applyUsage subtracts the other nodes' usage since the last report.
func (c *Controller) applyUsage(now time.Time, message UsageUpdate) {
	newEpoch := message.Epoch != c.Epoch
	elapsed := now.Sub(c.UpdatedAt)
	c.Epoch, c.UpdatedAt = message.Epoch, now
	c.Reports++
	c.LiveNodes = max(1, message.LiveNodes)
	c.Registered = max(c.LiveNodes, message.Registered)
	if newEpoch {
		for _, bucket := range c.Buckets {
			bucket.OthersSpent, bucket.Baseline = 0, bucket.Propagated
		}
	}
	others := make(map[string]float64, len(message.Spent))
	for _, spent := range message.Spent {
		others[spent.Workspace] = spent.Units
	}
	c.OthersSpent = others
	c.OthersReported = !newEpoch
	for name, bucket := range c.Buckets {
		// Without this, a bucket that was not used for some time would exceed its
		// capacity by what accrued in that time.
		c.accrue(now, bucket)
		if !newEpoch {
			bucket.updateShare(others[name]-bucket.OthersSpent, elapsed, c.liveShare())
		}
		c.subtractOthers(bucket, others[name])
	}
}

// updateShare updates this node's share of the usage of all nodes over the
// elapsed time. It is not called for the first report of a new holder, whose
// counts lack the usage before its start.
func (b *Bucket) updateShare(increase float64, elapsed time.Duration, liveShare float64) {
	total := b.RecentlySpent + increase
	if total > 0 {
		b.Share += shareSmoothing * (b.RecentlySpent/total - b.Share)
		if !b.ShareMeasured {
			b.UsageShare, b.ShareMeasured = liveShare*b.RecentlySpent/total, true
		}
		b.UsageShare += shareSmoothing * (liveShare*b.RecentlySpent/total - b.UsageShare)
	}
	// While a debt is repaid, nothing is taken, and the demand would be admitted at all
	// nodes at once when the debt ends.
	b.Busy = b.Refused || total > busyShare*b.Rate*elapsed.Seconds()
	b.OthersRate = increase / max(elapsed, time.Millisecond).Seconds()
}

// isScarce reports whether few units are left of a busy workspace's limit,
// given the age of the last report and the others' usage rate.
func (b *Bucket) isScarce(age time.Duration) bool {
	return b.Busy && b.Level-b.OthersRate*age.Seconds() < scarceShare*b.Capacity
}

// subtractOthers subtracts the increase of the others' usage from the bucket
// and starts a new reporting period.
func (c *Controller) subtractOthers(bucket *Bucket, others float64) {
	increase := max(0, others-bucket.OthersSpent)
	bucket.OthersSpent = others
	bucket.Propagated, bucket.Acknowledged = bucket.Acknowledged, bucket.Collected
	bucket.Level = max(bucket.Level-increase, -bucket.Rate*maxDebtTime.Seconds())
	bucket.Share = max(bucket.Share, c.equalShare())
	bucket.RecentlySpent, bucket.Refused = 0, false
	if c.OthersReported {
		bucket.Level = min(bucket.Level, bucket.Capacity)
		bucket.IsolatedLevel = bucket.Level * c.isolatedShare(bucket)
	}
	bucket.LocalLevel = max(0, bucket.Level) * bucket.Share
}

func (c *Controller) collect(call runner.Call) AnswerCollect {
	answer := AnswerCollect{Call: call, Epoch: c.Epoch}
	for name, bucket := range c.Buckets {
		answer.Spent = append(answer.Spent, planner.Spent{Workspace: name, Units: bucket.Spent, Acknowledged: bucket.Propagated, Baseline: bucket.Baseline})
		bucket.Collected = bucket.Spent
	}
	slices.SortFunc(answer.Spent, func(a, b planner.Spent) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return answer
}
