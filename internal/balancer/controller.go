package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
)

const (
	// unknownLatency stands for the latency of a replica without answers.
	unknownLatency = 50 * time.Millisecond
	// affinityGain is the advantage of the replica that has a long prefix.
	affinityGain = 0.6
	// suspectCost is the disadvantage of a replica that fails other nodes.
	suspectCost = 2
	// noiseShare spreads the choices of nodes that know the same.
	noiseShare = 0.15
	// relaxAfter is how long a request waits for another replica than those
	// that failed: about the time of a load from disk.
	relaxAfter = 900 * time.Millisecond
	// fullLoad is the share of a plain replica's slots from which on requests
	// wait at the node: the replica would queue them without order.
	fullLoad = 2.0
	// fullEngine is that share for an engine, which admits a few requests
	// more; what the other nodes run is known with a delay.
	fullEngine = 1.1
	// noHolderRetry is when a request may come back that nobody can load a
	// model for.
	noHolderRetry = 2500 * time.Millisecond
	// overloadRetry is when a request may come back that found all replicas full.
	overloadRetry = 400 * time.Millisecond
	// waitingCheck is the longest time between two looks at waiting requests.
	waitingCheck = 20 * time.Millisecond
	// waitingPause is the shortest such time.
	waitingPause = time.Millisecond
	// maxWaiting bounds the waiting requests of a node.
	maxWaiting = 2000
)

// Controller chooses replicas for one node.
type Controller struct {
	Replicas map[string]*Replica
	Ordering bool
	// Waits holds the waiting requests in the order of their arrival.
	Waits []*Wait
	// Grants holds the placements that have not ended.
	Grants map[runner.Call]*grant
	// Uses counts what was sent since the last Collect.
	Uses map[useKey]*planner.Use
	// LookedAt is when the waiting requests were last looked at.
	LookedAt time.Time
	// Random makes the choices of this node differ from those of the others.
	Random *rand.Rand
}

// Wait is a request without a replica.
type Wait struct {
	Call  runner.Call
	Need  Need
	Since time.Time
}

// grant is a placement that has not ended. The replica's record may have been
// replaced since.
type grant struct {
	replica *Replica
	need    Need
}

type useKey struct {
	service string
	item
}

// NewController returns a controller whose choices are drawn from a seed.
func NewController(seed uint64) *Controller {
	return &Controller{
		Replicas: map[string]*Replica{},
		Grants:   map[runner.Call]*grant{},
		Uses:     map[useKey]*planner.Use{},
		Random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Wake returns when the waiting requests are looked at next: when a load ends,
// when one of them is given up, and otherwise at intervals.
func (c *Controller) Wake() time.Time {
	if len(c.Waits) == 0 {
		return time.Time{}
	}
	wake := c.LookedAt.Add(waitingCheck)
	soonest := c.LookedAt.Add(waitingPause)
	for _, wait := range c.Waits {
		wake = earlier(wake, wait.Need.GiveUpAt)
		for _, replica := range c.Replicas {
			if ready, ok := replica.readyAt(item{wait.Need.Model, wait.Need.Adapter}); ok && ready.After(c.LookedAt) {
				wake = earlier(wake, ready)
			}
		}
	}
	if wake.Before(soonest) {
		return soonest
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Step handles one message.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	switch message := message.(type) {
	case Tick:
	case SetReplicas:
		c.setReplicas(now, message)
	case SetOthers:
		c.Ordering = message.Ordering
		for id, replica := range c.Replicas {
			replica.Others = message.Active[id]
			if slices.Contains(message.Suspects, id) {
				replica.SuspectedUntil = now.Add(suspectSpan)
			}
		}
	case Place:
		return c.place(now, message)
	case Withdraw:
		c.Waits = slices.DeleteFunc(c.Waits, func(wait *Wait) bool { return wait.Call == message.Call })
		c.ended(now, Ended{Ticket: message.Call, Result: Abandoned})
	case Ended:
		return append(c.ended(now, message), c.serveWaits(now)...)
	case Collect:
		return []Effect{c.collect(now, message.Call)}
	}
	return c.serveWaits(now)
}

func (c *Controller) setReplicas(now time.Time, message SetReplicas) {
	found := make(map[string]bool, len(message.Replicas))
	for _, told := range message.Replicas {
		found[told.ID] = true
		known := c.Replicas[told.ID]
		if known == nil || known.Told.Born != told.Born || known.Told.Address != told.Address {
			known = &Replica{
				ReadyAt:      map[item]time.Time{},
				MissingUntil: map[item]time.Time{},
				Running:      map[string]int{},
			}
			c.Replicas[told.ID] = known
		}
		known.tell(now, told)
	}
	for id := range c.Replicas {
		if !found[id] {
			delete(c.Replicas, id)
		}
	}
}

// place grants a replica at once, refuses, or lets the request wait.
func (c *Controller) place(now time.Time, message Place) []Effect {
	wait := &Wait{Call: message.Call, Need: message.Need, Since: now}
	if placement, ok := c.choose(now, wait); ok {
		return []Effect{Grant{message.Call, placement}}
	}
	if refusal := c.hopeless(now, wait); refusal != nil {
		return []Effect{Grant{message.Call, Placement{Refused: refusal}}}
	}
	c.Waits = append(c.Waits, wait)
	c.LookedAt = now
	if message.Need.Model != "" && !c.coming(message.Need) {
		return []Effect{Demanded{}}
	}
	return nil
}

// hopeless returns a refusal for a request that waiting cannot help.
func (c *Controller) hopeless(now time.Time, wait *Wait) *Refusal {
	need := wait.Need
	switch {
	case !now.Before(need.GiveUpAt):
		return &Refusal{Reason: "no replica in time", RetryAfter: overloadRetry}
	case len(c.Waits) >= maxWaiting:
		return &Refusal{Reason: "too many requests wait", RetryAfter: overloadRetry}
	case !c.serves(need.Service):
		return &Refusal{Reason: "service has no replicas", RetryAfter: overloadRetry}
	case need.Model == "":
		return nil
	}
	if !c.Ordering && !c.coming(need) && !c.present(need) {
		return &Refusal{Reason: "model is not loaded and no holder can order it", RetryAfter: noHolderRetry}
	}
	return nil
}

func (c *Controller) serves(service string) bool {
	for _, replica := range c.Replicas {
		if replica.Told.Service == service {
			return true
		}
	}
	return false
}

// coming says whether a load of what the request needs is in progress.
func (c *Controller) coming(need Need) bool {
	for _, replica := range c.Replicas {
		if replica.Told.Service == need.Service && !replica.Told.Leaving {
			if _, ok := replica.readyAt(item{need.Model, need.Adapter}); ok {
				return true
			}
		}
	}
	return false
}

// present says whether a replica has what the request needs, full or not.
func (c *Controller) present(need Need) bool {
	for _, replica := range c.Replicas {
		if replica.Told.Service == need.Service && !replica.Told.Leaving && replica.Told.Has(need.Model, need.Adapter) {
			return true
		}
	}
	return false
}

// full says whether all replicas that have what the request needs are full.
func (c *Controller) full(need Need) bool {
	found := false
	for _, replica := range c.Replicas {
		if replica.Told.Service != need.Service || replica.Told.Leaving || !replica.Told.Has(need.Model, need.Adapter) {
			continue
		}
		if !replica.isFull() {
			return false
		}
		found = true
	}
	return found
}

// choose picks the replica with the least expected time.
func (c *Controller) choose(now time.Time, wait *Wait) (Placement, bool) {
	need := wait.Need
	wanted := item{need.Model, need.Adapter}
	var best *Replica
	bestCost := math.Inf(1)
	bestSuspect := false
	candidates := 0
	home := c.home(now, need, wanted)
	relaxed := now.Sub(wait.Since) > relaxAfter
	for _, id := range c.ids() {
		replica := c.Replicas[id]
		suspect := replica.suspect(now)
		if !c.usable(now, replica, need, wanted) || !relaxed && c.avoids(need, id, suspect) {
			continue
		}
		candidates++
		cost := c.cost(now, replica) * (1 + noiseShare*c.Random.Float64())
		if id == home {
			cost *= affinityGain
		}
		if best == nil || bestSuspect && !suspect || suspect == bestSuspect && cost < bestCost {
			best, bestCost, bestSuspect = replica, cost, suspect
		}
	}
	if best == nil {
		return Placement{}, false
	}
	c.take(best, wait.Call, need)
	return Placement{
		Ticket:     wait.Call,
		Replica:    best.Told.ID,
		Address:    best.Told.Address,
		Expected:   best.Latency,
		Candidates: candidates,
		Waited:     now.Sub(wait.Since),
	}, true
}

// avoids says whether a request rather waits than goes to a replica: one that
// failed it before, or one that fails requests while the holder can have the
// model loaded elsewhere.
func (c *Controller) avoids(need Need, id string, suspect bool) bool {
	return slices.Contains(need.Excluded, id) || suspect && need.Model != "" && c.Ordering
}

func (c *Controller) usable(now time.Time, replica *Replica, need Need, wanted item) bool {
	switch {
	case replica.Told.Service != need.Service, replica.Told.Leaving:
		return false
	case now.Before(replica.RefusedUntil):
		return false
	case need.Model == "":
		return replica.load() < fullLoad
	}
	return !replica.isFull() && replica.has(now, wanted)
}

// cost estimates the time to the first byte, in arbitrary units.
func (c *Controller) cost(now time.Time, replica *Replica) float64 {
	latency := replica.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	cost := float64(latency) * (1 + 3*replica.load()) * (1 + replica.failures(now))
	if now.Before(replica.SuspectedUntil) {
		cost *= suspectCost
	}
	return cost
}

// home returns the replica that requests with a long common prefix go to, the
// first by rendezvous hash.
func (c *Controller) home(now time.Time, need Need, wanted item) string {
	if need.Affinity == "" {
		return ""
	}
	first, firstWeight := "", uint64(0)
	for _, id := range c.ids() {
		if !c.usable(now, c.Replicas[id], need, wanted) {
			continue
		}
		if weight := xxhash.Sum64String(need.Affinity + "\x00" + id); first == "" || weight > firstWeight {
			first, firstWeight = id, weight
		}
	}
	return first
}

func (c *Controller) ids() []string {
	ids := make([]string, 0, len(c.Replicas))
	for id := range c.Replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Controller) take(replica *Replica, ticket runner.Call, need Need) {
	c.Grants[ticket] = &grant{replica, need}
	replica.Running[need.Model]++
	if need.Model == "" {
		return
	}
	key := useKey{need.Service, item{need.Model, need.Adapter}}
	use := c.Uses[key]
	if use == nil {
		use = &planner.Use{Service: need.Service, Model: need.Model, Adapter: need.Adapter}
		c.Uses[key] = use
	}
	use.Count++
	use.Tokens += need.Tokens
}

// ended settles a placement and notes when a replica becomes suspect or is
// trusted again.
func (c *Controller) ended(now time.Time, message Ended) []Effect {
	granted := c.Grants[message.Ticket]
	if granted == nil {
		return nil
	}
	delete(c.Grants, message.Ticket)
	replica := granted.replica
	replica.settle(now, granted.need, message)
	suspect := replica.failures(now) >= suspectFailures
	if suspect == replica.Noted {
		return nil
	}
	replica.Noted = suspect
	text := "replica trusted again"
	if suspect {
		text = "replica suspected"
	}
	return []Effect{Note{Text: text, Replica: replica.Told.ID, Result: message.Result, Failures: replica.failures(now)}}
}

// serveWaits grants what has become possible and refuses what is over.
func (c *Controller) serveWaits(now time.Time) []Effect {
	c.LookedAt = now
	var effects []Effect
	c.Waits = slices.DeleteFunc(c.Waits, func(wait *Wait) bool {
		if placement, ok := c.choose(now, wait); ok {
			effects = append(effects, Grant{wait.Call, placement})
			return true
		}
		if refusal := c.hopeless(now, wait); refusal != nil {
			effects = append(effects, Grant{wait.Call, Placement{Refused: refusal, Waited: now.Sub(wait.Since)}})
			return true
		}
		return false
	})
	return effects
}

// collect returns what the holder is told, and starts a new count of uses.
func (c *Controller) collect(now time.Time, call runner.Call) AnswerCollect {
	answer := AnswerCollect{Call: call}
	for _, id := range c.ids() {
		models := make([]string, 0, len(c.Replicas[id].Running))
		for model := range c.Replicas[id].Running {
			models = append(models, model)
		}
		slices.Sort(models)
		for _, model := range models {
			answer.Running = append(answer.Running, planner.Running{Replica: id, Model: model, Count: c.Replicas[id].Running[model]})
		}
	}
	for _, use := range c.Uses {
		answer.Uses = append(answer.Uses, *use)
	}
	slices.SortFunc(answer.Uses, func(a, b planner.Use) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	clear(c.Uses)
	for _, id := range c.ids() {
		if c.Replicas[id].failures(now) >= suspectFailures {
			answer.Suspects = append(answer.Suspects, id)
		}
	}
	answer.Demands = c.demands(now)
	return answer
}

// demands returns what requests wait for, in the order of their arrival.
func (c *Controller) demands(now time.Time) []planner.Demand {
	var demands []planner.Demand
	at := map[useKey]int{}
	for _, wait := range c.Waits {
		need := wait.Need
		if need.Model == "" {
			continue
		}
		key := useKey{need.Service, item{need.Model, need.Adapter}}
		i, ok := at[key]
		if !ok {
			i = len(demands)
			at[key] = i
			demands = append(demands, planner.Demand{Service: need.Service, Model: need.Model, Adapter: need.Adapter, InTime: need.InTimeUntil.Sub(now), Full: c.full(need)})
		}
		demands[i].Waiting++
		demands[i].InTime = max(demands[i].InTime, need.InTimeUntil.Sub(now))
		demands[i].Left = max(demands[i].Left, need.GiveUpAt.Sub(now))
	}
	return demands
}
