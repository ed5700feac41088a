package planner

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// peerReportTimeout is the time since its last report after which a node's
	// address is no longer given to callers. It allows for six exchanges, and
	// callers would notice if a process paused for that long.
	peerReportTimeout = 1500 * time.Millisecond
	// MaxCallerSilence is the longest time since its last report for which a node is
	// published for callers.
	MaxCallerSilence = peerReportTimeout
	// nodeRemovalTimeout is the time since its last report after which the entry
	// of a registered node is removed. A node registers again when it finds its
	// entry missing.
	nodeRemovalTimeout = 12 * time.Second
	// maxActingListAge is the age of the list of replicas up to which an acting node
	// publishes the state of the fleet: a few reads.
	maxActingListAge = 1500 * time.Millisecond
	// rateWindow is the time constant of the request and token rates of models.
	rateWindow = 4 * time.Second
	// demandLifetime is the time after which a demand expires unless a node
	// reports it again.
	demandLifetime = time.Second
)

// Peer is the lease holder's view of a node, from the node's reports.
type Peer struct {
	Node         surveyor.Node
	LastReportAt time.Time
	Leaving      bool
	Partitioned  bool
	Running      []Running
	// Suspects are the replicas that failed the node's requests.
	Suspects []string
	// Consumed is the number of units by workspace that the node's run has
	// consumed, as counted in the totals.
	Consumed map[string]float64
	// Sequence is that of the last report, and Included that of the last report
	// that the published state contains.
	Sequence, Included uint64
}

// runningKey identifies a model on a replica.
type runningKey struct{ replica, model string }

// Totals holds sums over the reports of all peers. Each report updates them by
// its difference from the previous one, because recomputing the sums for each
// report would cost time quadratic in the number of nodes.
type Totals struct {
	Running map[runningKey]int
	// Active counts running requests by replica.
	Active map[string]int
	// Consumed counts consumed units by workspace.
	Consumed map[string]float64
}

func newTotals() Totals {
	return Totals{Running: map[runningKey]int{}, Active: map[string]int{}, Consumed: map[string]float64{}}
}

// addRunning adds the running requests of a peer, or subtracts them if sign is
// -1.
func (t *Totals) addRunning(running []Running, sign int) {
	for _, entry := range running {
		key := runningKey{entry.Replica, entry.Model}
		if t.Running[key] += sign * entry.Count; t.Running[key] == 0 {
			delete(t.Running, key)
		}
		if t.Active[entry.Replica] += sign * entry.Count; t.Active[entry.Replica] == 0 {
			delete(t.Active, entry.Replica)
		}
	}
}

// PendingDemand is the unmet demand for a model or an adapter. It ends at
// ExpiresAt, the latest deadline of the waiting requests.
type PendingDemand struct {
	Count        int
	Since        time.Time
	LastReportAt time.Time
	ExpiresAt    time.Time
	// LateAt is when the last of the requests misses its latency objective.
	LateAt time.Time
}

// Rate is a moving average of the requests and tokens per second of a model, as
// of UsedAt.
type Rate struct {
	Requests, Tokens float64 // per second
	UsedAt           time.Time
}

// add adds requests and their tokens to the average.
func (r *Rate) add(now time.Time, requests, tokens int) {
	r.decay(now)
	r.Requests += float64(requests) / rateWindow.Seconds()
	r.Tokens += float64(tokens) / rateWindow.Seconds()
}

func (r *Rate) decay(now time.Time) {
	if !r.UsedAt.IsZero() {
		factor := max(0, 1-float64(now.Sub(r.UsedAt))/float64(rateWindow))
		r.Requests *= factor
		r.Tokens *= factor
	}
	r.UsedAt = now
}

// handleReport processes a node's report and answers it. It plans only if the last
// pass was at least minPlanInterval ago, so that the work of planning does not grow
// with the number of reports.
func (c *Controller) handleReport(now time.Time, message ReportReceived) []Effect {
	report := message.Report
	if c.Tenure == nil || c.Tenure.Acting && !c.actingViewIsFresh(now) {
		return []Effect{AnswerReport{Call: message.Call, Answer: c.viewAnswer(now, report)}}
	}
	peer := c.updatePeer(now, report)
	c.recordUses(now, report)
	c.recordAssigning(now, report)
	c.ReportedVersion = max(c.ReportedVersion, report.ConfigurationVersion)
	for _, demand := range report.Demands {
		c.recordDemand(now, demand)
	}
	c.Tenure.Prompts.Record(now, report.Node.Name, report.Prompts)
	c.recordLimits(now, report)
	c.recordNotices(now, report)
	c.Tenure.Estimates.Record(now, report.Speeds, report.Paces)
	c.Tenure.Cached.Record(now, report.Cached)
	effects := c.reviewPrompts(now)
	if now.Sub(c.Tenure.AdvancedAt) >= minPlanInterval {
		effects = append(effects, c.advance(now)...)
	}
	if c.Tenure == nil {
		// The lease has been handed over.
		return append(effects, AnswerReport{Call: message.Call, Answer: c.viewAnswer(now, report)})
	}
	return append(effects, AnswerReport{Call: message.Call, Answer: c.stateAnswer(now, peer, report)})
}

// actingViewIsFresh reports whether an acting node has read the replicas recently.
// Before it starts to act, it may have left that to the holder for a long time.
func (c *Controller) actingViewIsFresh(now time.Time) bool {
	return c.Configuration != nil && now.Sub(c.ReplicasAsOf) < maxActingListAge
}

// updatePeer records a node's report. Units that an earlier run of the node has
// consumed stay in the totals.
func (c *Controller) updatePeer(now time.Time, report Report) *Peer {
	totals := &c.Tenure.Totals
	peer := c.Tenure.Peers[report.Node.Name]
	if peer == nil || peer.Node.RunID != report.Node.RunID {
		if peer != nil {
			totals.addRunning(peer.Running, -1)
		}
		peer = &Peer{Consumed: map[string]float64{}}
		c.Tenure.Peers[report.Node.Name] = peer
	}
	totals.addRunning(peer.Running, -1)
	totals.addRunning(report.Running, 1)
	peer.Node, peer.LastReportAt, peer.Leaving, peer.Running = report.Node, now, report.Leaving, report.Running
	peer.Suspects, peer.Sequence, peer.Partitioned = report.Suspects, report.Sequence, report.Partitioned
	for _, spent := range report.Spent {
		consumed := spent.Consumed(report.UsageEpoch, c.Tenure.ID)
		totals.Consumed[spent.Workspace] += consumed - peer.Consumed[spent.Workspace]
		peer.Consumed[spent.Workspace] = consumed
	}
	return peer
}

// recordUses adds a node's requests to the rates of models and updates the times
// of last use of models and adapters.
func (c *Controller) recordUses(now time.Time, report Report) {
	for _, use := range report.Uses {
		key := ModelKey{use.Service, use.Model}
		addUse(now, c.Tenure.Rates, key, use)
		if use.Adapter != "" && !c.EvacuationsAsOf.IsZero() {
			addUse(now, c.Tenure.AdapterRates, DemandKey{ModelKey: key, Adapter: use.Adapter}, use)
		}
		for _, endpoint := range c.Tenure.Endpoints {
			if resident := endpoint.Models[use.Model]; resident != nil && endpoint.Entry.Service == use.Service {
				resident.UsedAt = now
				if _, ok := resident.Adapters[use.Adapter]; ok {
					resident.Adapters[use.Adapter] = now
				}
			}
		}
	}
}

// addUse adds requests to the rate of what they used.
func addUse[K comparable](now time.Time, rates map[K]*Rate, key K, use Use) {
	rate := rates[key]
	if rate == nil {
		rate = &Rate{}
		rates[key] = rate
	}
	rate.add(now, use.Count, use.Tokens)
}

// hasRunningRequests reports whether requests for a model are running on a
// replica.
func (c *Controller) hasRunningRequests(e *Endpoint, model string) bool {
	return c.Tenure.Totals.Running[runningKey{e.Entry.ID, model}] > 0
}

// expireRunning removes the running requests of nodes that have stopped reporting
// from the totals.
func (c *Controller) expireRunning(now time.Time) {
	for _, peer := range c.Tenure.Peers {
		if peer.Running != nil && now.Sub(peer.LastReportAt) >= nodeRemovalTimeout {
			c.Tenure.Totals.addRunning(peer.Running, -1)
			peer.Running = nil
		}
	}
}

func (c *Controller) recordDemand(now time.Time, demand Demand) {
	key := demand.key()
	if demand.ReplicasFull {
		c.recordSaturation(now, key)
	}
	waiting := c.Tenure.Demand[key]
	if waiting == nil {
		waiting = &PendingDemand{Since: now, ExpiresAt: now.Add(demand.TimeToDeadline)}
		c.Tenure.Demand[key] = waiting
	}
	waiting.Count, waiting.LastReportAt = demand.Waiting, now
	waiting.ExpiresAt = later(waiting.ExpiresAt, now.Add(demand.TimeToDeadline))
	waiting.LateAt = later(waiting.LateAt, now.Add(demand.TimeToLate))
}

func (c *Controller) livePeers(now time.Time) int {
	count := 0
	for _, peer := range c.Tenure.Peers {
		if now.Sub(peer.LastReportAt) < peerReportTimeout {
			count++
		}
	}
	return count
}

// callers returns the nodes that callers may use, sorted by address. These are the
// nodes that report and, until peerReportTimeout after the start of a tenure, the
// nodes that the previous holder published, because a node needs some time to find
// the new holder. Registration alone is not enough: a registered node may have been
// down for a long time.
func (c *Controller) callers(now time.Time) []Caller {
	var callers []Caller
	excluded := map[string]bool{}
	for _, peer := range c.Tenure.Peers {
		excluded[peer.Node.CallerAddress] = true
		if !peer.Leaving && now.Sub(peer.LastReportAt) < peerReportTimeout {
			callers = append(callers, Caller{
				Address: peer.Node.CallerAddress, Capacity: peer.Node.Capacity, PeerAddress: peer.Node.PeerAddress, DataCentre: peer.Node.DataCentre,
			})
		}
	}
	if now.Sub(c.Tenure.Since) < peerReportTimeout {
		for _, caller := range c.Tenure.InheritedCallers {
			if !excluded[caller.Address] {
				// The age grows as long as the node does not report itself.
				caller.ConfirmedAge = max(caller.ConfirmedAge, time.Nanosecond) + now.Sub(c.Tenure.InheritedAt)
				callers = append(callers, caller)
			}
		}
	}
	slices.SortFunc(callers, func(a, b Caller) int { return cmp.Compare(a.Address, b.Address) })
	return slices.CompactFunc(callers, func(a, b Caller) bool { return a.Address == b.Address })
}

// sameCaller reports whether two entries are equal in what nodes act on. An age grows at the
// nodes as well.
func sameCaller(a, b Caller) bool {
	inherited := (a.ConfirmedAge > 0) == (b.ConfirmedAge > 0)
	a.ConfirmedAge = b.ConfirmedAge
	return inherited && a == b
}

// removeSilentNodes removes the entries of nodes that have not reported within
// nodeRemovalTimeout. A new holder waits that long before it removes any.
func (c *Controller) removeSilentNodes(now time.Time) []Effect {
	if now.Sub(c.Tenure.Since) < nodeRemovalTimeout {
		return nil
	}
	var effects []Effect
	c.Nodes = slices.DeleteFunc(slices.Clone(c.Nodes), func(node surveyor.Node) bool {
		peer := c.Tenure.Peers[node.Name]
		if peer != nil && now.Sub(peer.LastReportAt) < nodeRemovalTimeout {
			return false
		}
		effects = append(effects, RemoveNode{Name: node.Name, Revision: node.Revision})
		c.Tenure.CandidatesStale = true
		return true
	})
	return effects
}
