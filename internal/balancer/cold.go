package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// coldBudgetShare is the part of the requests that a cold replica may get in any second
	// that is used. The rest covers requests that arrive closer together than they were
	// sent, and nodes that see different lists of nodes for a moment.
	coldBudgetShare = 0.8
	// minSenderShare is the least part of that budget which is spent on the burst of one
	// request of each sender.
	minSenderShare = 0.25
	// assumedNodes is the number of nodes that is assumed until firstListTime after the
	// first list of nodes. It is above that of present deployments: if all nodes start at
	// once, the first lists have only the nodes that were early.
	assumedNodes  = 500
	firstListTime = 1500 * time.Millisecond
	// coldCostFactor raises the estimated times of a cold replica.
	coldCostFactor = 4
	// coldRecheckInterval is how long a node that may not send to a cold replica waits
	// before it checks again whether it may: about one exchange with the holder.
	coldRecheckInterval = 250 * time.Millisecond
	// maxSendDelay is the time from a placement to its use after which it must be made
	// again, because the process was frozen in between.
	maxSendDelay = 500 * time.Millisecond
)

// SetColdRules replaces the rules for cold replicas, by service. Replicas of other services
// are never cold.
type SetColdRules struct{ Rules map[string]ColdRule }

// ColdRule is what the cold replicas of a service bear.
type ColdRule struct {
	// Time is how long a replica is cold after a start. Rate is the number of requests a
	// second that it then bears, and MaxPerSecond the number that it may get in any second
	// from all nodes together.
	Time               time.Duration
	Rate, MaxPerSecond float64
}

// SetNodes replaces the nodes that serve callers, as the holder last published them.
type SetNodes struct {
	// Self and the sorted Nodes are addresses for callers. Registered is the number of all
	// nodes, including those that do not reach the holder.
	Self       string
	Nodes      []string
	Registered int
}

func (SetColdRules) isMessage() {}
func (SetNodes) isMessage()     {}

// ColdState is what the balancer knows of cold replicas in general.
type ColdState struct {
	Rules map[string]ColdRule
	SetNodes
	// Hashes are those of Nodes. FirstListAt is when the first list came, the zero time
	// before.
	Hashes      []uint64
	FirstListAt time.Time
	// Version counts the changes of SetNodes.
	Version int
	// Replicas is the number of cold replicas.
	Replicas int
}

// Coldness is the cold time of one start of a replica.
type Coldness struct {
	// Until is the end of the cold time according to the replica's entry. From AssumedAt
	// on, the replica is assumed to be cold for the time of its service: its start was not
	// known before, or its data centre was returned to service.
	Until, AssumedAt time.Time
	Source           string
	Evacuated        bool
	// Active is set while the replica is cold, and HeldBack counts how often a request was
	// held back since.
	Active   bool
	HeldBack int
	// Level is the number of requests that this node may send as of FilledAt, at most 1.
	Level    float64
	FilledAt time.Time
	// IsSender is set if this node may send requests to the replica. It was determined for
	// SenderVersion of the list of nodes.
	IsSender      bool
	SenderVersion int
}

// pace returns how many nodes may send to a cold replica, each of them one request at once,
// and the requests a second that they may send together. In no second they send more than
// the sum of both.
func (r ColdRule) pace() (senders int, rate float64) {
	budget := coldBudgetShare * r.MaxPerSecond
	senders = max(1, int(max(budget-r.Rate, minSenderShare*budget)))
	return senders, max(min(r.Rate, budget-float64(senders)), budget/2)
}

// observeCold adopts a replica's cold time from a list. isNew is set if this start of
// the replica was not known before.
func (n *Notice) observeCold(now time.Time, isNew bool, description surveyor.Replica) {
	cold := &n.Cold
	switch {
	case isNew && !description.ColdKnown:
		cold.AssumedAt, cold.Source = now, "start"
	case cold.Evacuated && !description.Evacuated:
		cold.AssumedAt, cold.Source = now, "return to service"
	}
	cold.Evacuated = description.Evacuated
	if until := now.Add(description.ColdFor); description.ColdFor > 0 && until.After(cold.Until) {
		cold.Until = until
		if !cold.Active {
			cold.Source = "entry"
		}
	}
}

// coldUntil returns the end of the replica's cold time, or the zero time.
func (c *Controller) coldUntil(replica *Replica) time.Time {
	rule, cold := c.Cold.Rules[replica.Description.Service], replica.Notice.Cold
	if rule.Rate <= 0 {
		return time.Time{}
	}
	if assumed := cold.AssumedAt.Add(rule.Time); !cold.AssumedAt.IsZero() && assumed.After(cold.Until) {
		return assumed
	}
	return cold.Until
}

func (c *Controller) isCold(now time.Time, replica *Replica) bool {
	return now.Before(c.coldUntil(replica))
}

// reviewCold returns notes for the replicas that have become cold or warm since it was last
// called.
func (c *Controller) reviewCold(now time.Time) []Effect {
	if len(c.Cold.Rules) == 0 && c.Cold.Replicas == 0 {
		return nil
	}
	c.Cold.Replicas = 0
	var changed []*Replica
	for _, id := range c.sortedIDs() {
		replica := c.Replicas[id]
		cold := c.isCold(now, replica)
		if cold {
			c.Cold.Replicas++
		}
		if cold != replica.Notice.Cold.Active {
			changed = append(changed, replica)
		}
	}
	effects := make([]Effect, 0, len(changed))
	for _, replica := range changed {
		cold := &replica.Notice.Cold
		note := Note{Text: "replica is cold", Replica: replica.Description.ID, Source: cold.Source, ColdReplicas: c.Cold.Replicas}
		if cold.Active {
			note.Text, note.HeldBack = "replica is warm again", cold.HeldBack
			cold.HeldBack = 0
			replica.Notice.ThrottledUntil = time.Time{}
		} else {
			note.Remaining = c.coldUntil(replica).Sub(now)
		}
		cold.Active = !cold.Active
		effects = append(effects, note)
	}
	return effects
}

// mayTakeCold reports whether this node may send a request to a replica that may be cold. If
// not, the replica is not usable until ThrottledUntil.
func (c *Controller) mayTakeCold(now time.Time, replica *Replica) bool {
	until, cold := c.coldUntil(replica), &replica.Notice.Cold
	if !now.Before(until) {
		return true
	}
	retryAt := now.Add(coldRecheckInterval)
	if c.isSender(now, replica) {
		rate := c.senderRate(replica)
		cold.Level, cold.FilledAt = cold.levelAt(now, rate), now
		if cold.Level >= 1 {
			return true
		}
		retryAt = until
		// A rate close to 0 is a wait that no time.Duration holds.
		if wait := (1 - cold.Level) / rate * float64(time.Second); wait >= 0 && wait < float64(until.Sub(now)) {
			retryAt = now.Add(time.Duration(wait) + time.Microsecond)
		}
	}
	cold.HeldBack++
	replica.Notice.ThrottledUntil = earlier(retryAt, until)
	return false
}

// levelAt returns the number of requests that this node may send, at most 1, if it may send
// the given number a second.
func (c *Coldness) levelAt(now time.Time, rate float64) float64 {
	if c.FilledAt.IsZero() {
		return 1
	}
	return min(1, c.Level+rate*now.Sub(c.FilledAt).Seconds())
}

// takeCold takes a request that mayTakeCold has allowed.
func (c *Controller) takeCold(now time.Time, replica *Replica) {
	if c.isCold(now, replica) {
		replica.Notice.Cold.Level--
	}
}

// markCold records in a placement and its assignment what matters if the replica is or may
// become cold.
func (c *Controller) markCold(now time.Time, replica *Replica, placement *Placement) {
	if c.Cold.Rules[replica.Description.Service].Rate <= 0 {
		return
	}
	placement.SendBy = now.Add(maxSendDelay)
	if c.isCold(now, replica) {
		c.Assignments[placement.ID].cold = true
	}
}

// senderRate returns the requests a second that this node may send to a cold replica, which
// may have named a lower limit for all nodes.
func (c *Controller) senderRate(replica *Replica) float64 {
	senders, rate := c.Cold.Rules[replica.Description.Service].pace()
	if limit := replica.Notice.RateLimit; limit > 0 {
		rate = min(rate, limit)
	}
	if known := c.Cold.Registered; known > 0 {
		senders = min(senders, known)
	}
	return rate / float64(senders)
}

// isSender reports whether this node may send to a replica while it is cold. The nodes with
// the highest rendezvous hashes may: with all nodes, the shares of each would be smaller than
// one request. Nodes that do not reach each other are distinguished by the number of registered
// nodes, of which each group uses its part only.
func (c *Controller) isSender(now time.Time, replica *Replica) bool {
	cold, id := &replica.Notice.Cold, replica.Description.ID
	if cold.SenderVersion == c.Cold.Version+1 {
		return cold.IsSender
	}
	registered := max(len(c.Cold.Nodes), c.Cold.Registered)
	if now.Sub(c.Cold.FirstListAt) < firstListTime {
		registered = max(registered, assumedNodes)
	} else {
		cold.SenderVersion = c.Cold.Version + 1
	}
	senders, _ := c.Cold.Rules[replica.Description.Service].pace()
	nodes, replicaHash := c.Cold.Nodes, xxhash.Sum64String(id)
	own := weight(xxhash.Sum64String(c.Cold.Self), replicaHash)
	if len(nodes) == 0 {
		cold.IsSender = fraction(own) < float64(senders)/assumedNodes
		return cold.IsSender
	}
	allowed := float64(senders) * float64(len(nodes)) / float64(registered)
	whole, rest := math.Modf(allowed)
	if fraction(weight(c.Cold.Hashes[0], replicaHash)) < rest {
		whole++
	}
	_, listed := slices.BinarySearch(nodes, c.Cold.Self)
	rank := 0.0
	for _, hash := range c.Cold.Hashes {
		if weight(hash, replicaHash) > own {
			rank++
		}
	}
	cold.IsSender = listed && rank < whole
	return cold.IsSender
}

// weight returns the rendezvous hash of a node and a replica from their hashes. Thousands of
// them are compared for each cold replica, so the names are not hashed together. The last
// steps of SplitMix64 spread the bits.
func weight(node, replica uint64) uint64 {
	mixed := node ^ replica
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// fraction returns a hash as a number in [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// setNodes adopts a list of nodes.
func (c *Controller) setNodes(now time.Time, message SetNodes) {
	if c.Cold.FirstListAt.IsZero() && len(message.Nodes) > 0 {
		c.Cold.FirstListAt = now
	}
	if c.Cold.Self != message.Self || c.Cold.Registered != message.Registered || !slices.Equal(c.Cold.Nodes, message.Nodes) {
		c.Cold.SetNodes, c.Cold.Hashes = message, make([]uint64, len(message.Nodes))
		for i, node := range message.Nodes {
			c.Cold.Hashes[i] = xxhash.Sum64String(node)
		}
		c.Cold.Version++
	}
}

// whyRefusedCold returns a refusal if all replicas that a request may use are cold beyond its
// time and get nothing from this node. RetryAfter is the time until the first of them is
// warm. While replicas have its model, the others do not matter: the holder loads no further
// copy because of cold ones.
func (c *Controller) whyRefusedCold(now time.Time, need Need) *Refusal {
	var warmAt time.Time
	onlyHolders := need.Model != "" && c.isLoaded(now, need)
	for _, replica := range c.Replicas {
		if !need.allows(replica.Description) || replica.isExcluded() || replica.isClosed(need.GiveUpAt) {
			continue
		}
		if onlyHolders && !replica.hasOrLoads(modelKey{need.Model, need.Adapter}) {
			continue
		}
		until := c.coldUntil(replica)
		if !need.GiveUpAt.Before(until) || c.isSender(now, replica) {
			return nil
		}
		if warmAt.IsZero() || until.Before(warmAt) {
			warmAt = until
		}
	}
	if warmAt.IsZero() {
		return nil
	}
	return &Refusal{Reason: "all replicas are cold and take no requests of this node", RetryAfter: warmAt.Sub(now), spread: reopenSpread}
}
