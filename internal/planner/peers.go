package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// peerTimeout is how long after its last report a node is left out of the
	// address answers: six exchanges, and a pause of the process that callers
	// would notice.
	peerTimeout = 1500 * time.Millisecond
	// goneAfter is how long a registered node may be silent before its entry
	// is removed. Nodes register again when they find theirs missing.
	goneAfter = 12 * time.Second
	// rateWindow is the time constant of the rates of requests by model.
	rateWindow = 4 * time.Second
	// demandLifetime ends a demand that its node does not repeat.
	demandLifetime = time.Second
)

// Peer is what the holder knows of a node by its reports.
type Peer struct {
	Node    surveyor.Node
	HeardAt time.Time
	Leaving bool
	Running []Running
	// Suspects are the replicas that failed the node's requests.
	Suspects []string
	// Base counts units by workspace at the first report of this run, and
	// Taken what the node took since the start of the tenure, in all its runs.
	Base, Taken map[string]float64
}

// runningKey is a model at a replica.
type runningKey struct{ replica, model string }

// Totals adds up what the peers report. Each report changes them by its
// difference: adding up again would take a time that grows with the square of
// the nodes.
type Totals struct {
	Running map[runningKey]int
	// Active counts running requests by replica.
	Active map[string]int
	// Taken counts units by workspace.
	Taken map[string]float64
}

func newTotals() Totals {
	return Totals{Running: map[runningKey]int{}, Active: map[string]int{}, Taken: map[string]float64{}}
}

// count adds the requests of a peer, or takes them away with a sign of -1.
func (t *Totals) count(running []Running, sign int) {
	for _, run := range running {
		key := runningKey{run.Replica, run.Model}
		if t.Running[key] += sign * run.Count; t.Running[key] == 0 {
			delete(t.Running, key)
		}
		if t.Active[run.Replica] += sign * run.Count; t.Active[run.Replica] == 0 {
			delete(t.Active, run.Replica)
		}
	}
}

// Waiting is the demand for a model or adapter.
type Waiting struct {
	Count    int
	Since    time.Time
	HeardAt  time.Time
	GiveUpAt time.Time
	// InTimeUntil is when the last of the requests becomes late.
	InTimeUntil time.Time
}

// Rate is a moving average of the requests and tokens of a model.
type Rate struct {
	Requests, Tokens float64 // a second
	UsedAt           time.Time
}

// add counts requests into the average.
func (r *Rate) add(now time.Time, requests, tokens int) {
	r.decay(now)
	r.Requests += float64(requests) / rateWindow.Seconds()
	r.Tokens += float64(tokens) / rateWindow.Seconds()
}

func (r *Rate) decay(now time.Time) {
	if !r.UsedAt.IsZero() {
		left := max(0, 1-float64(now.Sub(r.UsedAt))/float64(rateWindow))
		r.Requests *= left
		r.Tokens *= left
	}
	r.UsedAt = now
}

// reported handles a node's report and answers it.
func (c *Controller) reported(now time.Time, message Reported) []Effect {
	if c.Tenure == nil {
		return []Effect{AnswerReport{Call: message.Call}}
	}
	report := message.Report
	peer := c.peer(now, report)
	c.count(now, report)
	for _, demand := range report.Demands {
		c.demand(now, demand)
	}
	effects := c.act(now)
	return append(effects, AnswerReport{Call: message.Call, Answer: c.answer(now, peer, report)})
}

func (c *Controller) peer(now time.Time, report Report) *Peer {
	peer := c.Tenure.Peers[report.Node.Name]
	if peer == nil || peer.Node.RunID != report.Node.RunID {
		peer = &Peer{Base: map[string]float64{}, Taken: map[string]float64{}}
		if old := c.Tenure.Peers[report.Node.Name]; old != nil {
			// What the former run took stays counted.
			c.Tenure.Totals.count(old.Running, -1)
			for workspace, units := range old.Taken {
				peer.Base[workspace], peer.Taken[workspace] = -units, units
			}
		} else {
			for _, spent := range report.Spent {
				peer.Base[spent.Workspace] = spent.Told
			}
		}
		c.Tenure.Peers[report.Node.Name] = peer
	}
	c.Tenure.Totals.count(peer.Running, -1)
	c.Tenure.Totals.count(report.Running, 1)
	peer.Node, peer.HeardAt, peer.Leaving, peer.Running = report.Node, now, report.Leaving, report.Running
	peer.Suspects = report.Suspects
	for _, spent := range report.Spent {
		taken := spent.Units - peer.Base[spent.Workspace]
		c.Tenure.Totals.Taken[spent.Workspace] += taken - peer.Taken[spent.Workspace]
		peer.Taken[spent.Workspace] = taken
	}
	return peer
}

// count adds a node's use of models to the rates and to the residents.
func (c *Controller) count(now time.Time, report Report) {
	for _, use := range report.Uses {
		key := ModelKey{use.Service, use.Model}
		rate := c.Tenure.Rates[key]
		if rate == nil {
			rate = &Rate{}
			c.Tenure.Rates[key] = rate
		}
		rate.add(now, use.Count, use.Tokens)
		for _, endpoint := range c.Tenure.Endpoints {
			if resident := endpoint.Models[use.Model]; resident != nil && endpoint.Listed.Service == use.Service {
				resident.UsedAt = now
				if _, ok := resident.Adapters[use.Adapter]; ok {
					resident.Adapters[use.Adapter] = now
				}
			}
		}
	}
}

// running says whether requests run on a model at a replica.
func (c *Controller) running(e *Endpoint, model string) bool {
	return c.Tenure.Totals.Running[runningKey{e.Listed.ID, model}] > 0
}

// forgetRunning stops counting the requests of nodes that have ended.
func (c *Controller) forgetRunning(now time.Time) {
	for _, peer := range c.Tenure.Peers {
		if peer.Running != nil && now.Sub(peer.HeardAt) >= goneAfter {
			c.Tenure.Totals.count(peer.Running, -1)
			peer.Running = nil
		}
	}
}

func (c *Controller) demand(now time.Time, demand Demand) {
	key := DemandKey{ModelKey{demand.Service, demand.Model}, demand.Adapter}
	if demand.Full {
		c.Tenure.Pressed[key.ModelKey] = now
	}
	waiting := c.Tenure.Demand[key]
	if waiting == nil {
		waiting = &Waiting{Since: now, GiveUpAt: now.Add(demand.Left)}
		c.Tenure.Demand[key] = waiting
	}
	waiting.Count, waiting.HeardAt = demand.Waiting, now
	waiting.GiveUpAt = later(waiting.GiveUpAt, now.Add(demand.Left))
	waiting.InTimeUntil = later(waiting.InTimeUntil, now.Add(demand.InTime))
}

func (c *Controller) answer(now time.Time, peer *Peer, report Report) Answer {
	table := c.table(now)
	answer := Answer{
		NodesVersion:     c.Tenure.NodesVersion,
		Holding:          true,
		Leader:           c.Settings.Node,
		Epoch:            c.Tenure.Epoch,
		Version:          c.Tenure.Version,
		Active:           c.othersActive(peer),
		Suspects:         c.othersSuspects(now, peer),
		Callers:          c.callers(now),
		ConfigurationAge: now.Sub(c.ConfigurationAsOf),
		ReplicasAge:      now.Sub(c.ReplicasAsOf),
		NodesAge:         now.Sub(c.NodesAsOf),
		SpentByOthers:    c.spentByOthers(peer),
		Peers:            max(1, c.alive(now)),
		Registered:       len(c.Nodes),
		OrdersIn:         max(0, c.Tenure.OrdersFrom.Sub(now)),
	}
	if c.Configuration != nil {
		answer.ConfigurationRevision = c.Configuration.Revision
	}
	if report.Epoch == c.Tenure.Epoch && report.Version <= c.Tenure.Version {
		answer.Replicas, answer.Gone = c.Tenure.since(report.Version)
	} else {
		answer.Full, answer.Replicas = true, slices.Clone(table)
	}
	for i, replica := range answer.Replicas {
		if endpoint := c.Tenure.Endpoints[replica.ID]; endpoint != nil && len(replica.Pending) > 0 {
			// The time left counts from the answer, not from the change.
			answer.Replicas[i].Pending = endpoint.pending(now)
		}
	}
	if report.Epoch != c.Tenure.Epoch || report.NodesVersion != c.Tenure.NodesVersion {
		answer.Nodes = c.Nodes
	}
	return answer
}

func (c *Controller) othersActive(self *Peer) map[string]int {
	active := maps.Clone(c.Tenure.Totals.Active)
	for _, running := range self.Running {
		if active[running.Replica] -= running.Count; active[running.Replica] == 0 {
			delete(active, running.Replica)
		}
	}
	return active
}

// othersSuspects returns the replicas that fail the requests of live nodes.
func (c *Controller) othersSuspects(now time.Time, self *Peer) []string {
	var suspects []string
	for _, peer := range c.Tenure.Peers {
		if peer != self && now.Sub(peer.HeardAt) < peerTimeout {
			suspects = append(suspects, peer.Suspects...)
		}
	}
	slices.Sort(suspects)
	return slices.Compact(suspects)
}

func (c *Controller) spentByOthers(self *Peer) []Spent {
	totals := c.Tenure.Totals.Taken
	spent := make([]Spent, 0, len(totals))
	for workspace, units := range totals {
		spent = append(spent, Spent{Workspace: workspace, Units: units - self.Taken[workspace]})
	}
	slices.SortFunc(spent, func(a, b Spent) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return spent
}

func (c *Controller) alive(now time.Time) int {
	alive := 0
	for _, peer := range c.Tenure.Peers {
		if now.Sub(peer.HeardAt) < peerTimeout {
			alive++
		}
	}
	return alive
}

// callers returns the addresses of the nodes that callers may use: those that
// report, and in the first moments of a tenure those that the former holder
// named, because they need a moment to find the new one. A node that is only
// registered may have been off for long.
func (c *Controller) callers(now time.Time) []string {
	var addresses []string
	silent := map[string]bool{}
	for _, peer := range c.Tenure.Peers {
		if peer.Leaving || now.Sub(peer.HeardAt) >= peerTimeout {
			silent[peer.Node.CallerAddress] = true
			continue
		}
		addresses = append(addresses, peer.Node.CallerAddress)
	}
	if now.Sub(c.Tenure.Since) < peerTimeout {
		for _, address := range c.Tenure.Presumed {
			if !silent[address] {
				addresses = append(addresses, address)
			}
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// removeNodes removes the entries of nodes that have not reported for long.
func (c *Controller) removeNodes(now time.Time) []Effect {
	if now.Sub(c.Tenure.Since) < goneAfter {
		return nil
	}
	var effects []Effect
	c.Nodes = slices.DeleteFunc(slices.Clone(c.Nodes), func(node surveyor.Node) bool {
		peer := c.Tenure.Peers[node.Name]
		if peer != nil && now.Sub(peer.HeardAt) < goneAfter {
			return false
		}
		effects = append(effects, RemoveNode{Name: node.Name, Revision: node.Revision})
		return true
	})
	return effects
}
