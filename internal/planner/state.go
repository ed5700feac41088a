package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// stateLifetimePerNode is the time for which the published state is reused, in
	// proportion to the number of nodes, so that the work for it does not grow with
	// the number of reports. maxStateLifetime bounds it: the age of the state adds
	// to the delay with which nodes learn of each other's requests.
	stateLifetimePerNode = 250 * time.Microsecond
	maxStateLifetime     = 100 * time.Millisecond
	// viewLifetime is the time for which the view of a node that does not hold the
	// lease is reused.
	viewLifetime = 50 * time.Millisecond
)

// Publication is the state that the holder publishes, as of CreatedAt.
type Publication struct {
	CreatedAt time.Time
	// Common is the part of the state that all nodes get.
	Common State
	// Since holds the states that were requested, by the version of the node.
	Since map[uint64]*State
}

// fullState is the key in Publication.Since of the state that contains everything.
const fullState = math.MaxUint64

// stateAnswer returns the holder's answer to a report.
func (c *Controller) stateAnswer(now time.Time, peer *Peer, report Report) Answer {
	lifetime := min(maxStateLifetime, time.Duration(len(c.Tenure.Peers))*stateLifetimePerNode)
	if current := c.Tenure.Published; current == nil || now.Sub(current.CreatedAt) >= lifetime {
		c.publish(now)
	}
	published := c.Tenure.Published
	since := report.Version
	if report.Epoch != c.Tenure.ID || report.Version > published.Common.Version {
		since = fullState
	}
	state := published.Since[since]
	if state == nil {
		state = c.stateSince(now, since)
		published.Since[since] = state
	}
	return Answer{
		Holding:    true,
		Acting:     c.Tenure.Acting,
		Holder:     c.Settings.Node,
		Registered: c.isRegistered(report.Node),
		Included:   peer.Included,
		StateAge:   now.Sub(published.CreatedAt),
		State:      state,
	}
}

// isRegistered reports whether the store lists an entry of a node. It is true while
// the list has not been read in this tenure.
func (c *Controller) isRegistered(node surveyor.Node) bool {
	return c.Tenure.Acting || c.NodesAsOf.Before(c.Tenure.Since) || slices.ContainsFunc(c.Nodes, func(listed surveyor.Node) bool { return listed.Name == node.Name && !listed.Unlisted })
}

// publish creates the state that is sent to all nodes.
func (c *Controller) publish(now time.Time) {
	t := c.Tenure
	next := t.Version + 1
	changed := t.Callers.publish(next, c.callers(now))
	if t.TableStale {
		t.TableStale, t.TableAt = false, now
		changed = t.Table.publish(next, c.table(now)) || changed
		c.forgetNotices(t.Table.Entries)
		t.Estimates.Retain(now, func(replica string) bool { return t.Table.Added[replica] > 0 })
		t.Cached.Retain(now, isKept(t.Table.Entries))
	}
	if t.CandidatesStale {
		t.CandidatesStale = false
		changed = t.Candidates.publish(next, c.candidates()) || changed
	}
	if workspaces := slices.Sorted(maps.Keys(t.Totals.Consumed)); !slices.Equal(workspaces, t.Workspaces) {
		t.Workspaces, t.WorkspacesVersion, changed = workspaces, next, true
	}
	if c.assignStreams(now) {
		changed = t.Assignments.publish(next, c.Versions.Assignments(now)) || changed
	}
	changed = t.Estimates.Publish(next) || changed
	changed = t.Cached.Publish(now, next) || changed
	if changed {
		t.Version = next
	}
	common := State{
		Epoch:            t.ID,
		StoreEra:         c.StoreEra,
		Version:          t.Version,
		Spent:            make([]float64, len(t.Workspaces)),
		Active:           make([]int, len(t.Table.Entries)),
		Partitioned:      c.partitionedNodes(now),
		Suspects:         c.suspectCounts(now),
		Prompts:          t.Prompts.Publish(now),
		Versions:         c.publishVersions(now),
		RateLimits:       c.publishedLimits(t.Table.Entries),
		Brittle:          c.brittleReplicas(t.Table.Entries),
		Closed:           c.closedReplicas(now),
		Peers:            max(1, c.livePeers(now)),
		Registered:       c.nodeCount(),
		ConfigurationAge: now.Sub(c.ConfigurationAsOf),
		ReplicasAge:      now.Sub(c.ReplicasAsOf),
		NodesAge:         now.Sub(c.NodesAsOf),
		OrdersAllowedIn:  max(0, t.OrdersAllowedAt.Sub(now)),
	}
	if c.Configuration != nil {
		common.ConfigurationEra, common.ConfigurationRevision = c.Configuration.Era, c.Configuration.Revision
		common.ConfigurationVersion = max(c.ReportedVersion, c.Configuration.Version)
	}
	if !c.EvacuationsAsOf.IsZero() {
		common.Evacuated, common.EvacuationsKnown, common.EvacuationsAge = c.Evacuated, true, now.Sub(c.EvacuationsAsOf)
	}
	for i, workspace := range t.Workspaces {
		common.Spent[i] = t.Totals.Consumed[workspace]
	}
	for i, replica := range t.Table.Entries {
		common.Active[i] = t.Totals.Active[replica.ID]
	}
	for _, peer := range t.Peers {
		peer.Included = peer.Sequence
	}
	t.Published = &Publication{CreatedAt: now, Common: common, Since: map[uint64]*State{}}
}

// stateSince returns the published state with the changes since a version.
func (c *Controller) stateSince(now time.Time, version uint64) *State {
	t := c.Tenure
	state := t.Published.Common
	if version == fullState {
		state.Full, version = true, 0
	}
	changed, removed := t.Table.since(version)
	state.Removed = removed
	for _, replica := range changed {
		if endpoint := t.Endpoints[replica.ID]; endpoint != nil && len(replica.Pending) > 0 {
			// The remaining load time is relative to this state, not to the last
			// change of the table.
			replica.Pending = endpoint.pendingLoads(now)
		}
		replica.ColdFor = max(0, replica.ColdFor-t.Published.CreatedAt.Sub(t.TableAt))
		if t.Table.Added[replica.ID] > version {
			state.Replicas = append(state.Replicas, replica)
		} else {
			state.Updates = append(state.Updates, replica.Update())
		}
	}
	state.Callers, state.RemovedCallers = t.Callers.since(version)
	state.Candidates, state.RemovedCandidates = t.Candidates.since(version)
	state.Assignments, state.RemovedAssignments = t.Assignments.since(version)
	for i, assignment := range state.Assignments {
		// The time left is relative to this state, not to the last change.
		state.Assignments[i] = c.Versions.Assignment(now, assignment.ModelKey)
	}
	state.Speeds, state.Paces = t.Estimates.Since(version)
	state.Cached = t.Cached.Since(version)
	if t.WorkspacesVersion > version || state.Full {
		state.Workspaces = t.Workspaces
	}
	if state.Full {
		state.Removed, state.RemovedCallers, state.RemovedCandidates, state.RemovedAssignments = nil, nil, nil, nil
	}
	return &state
}

// isKept returns a function that reports whether the start of a replica that a change is about
// is listed and has the model.
func isKept(listed []surveyor.Replica) func(cacher.Change) bool {
	replicas := make(map[string]surveyor.Replica, len(listed))
	for _, replica := range listed {
		replicas[replica.ID] = replica
	}
	return func(change cacher.Change) bool {
		replica, ok := replicas[change.Replica]
		return ok && replica.StartedMS == change.StartedMS && replica.Has(change.Model, change.Adapter)
	}
}

// candidates returns the nodes that may hold the lease, sorted by name. The holder
// is one of them, because the others need its address.
func (c *Controller) candidates() []surveyor.Node {
	capable := surveyor.CapableNodes(c.Nodes)
	isHolder := func(node surveyor.Node) bool { return node.Name == c.Settings.Node }
	if !slices.ContainsFunc(capable, isHolder) {
		if i := slices.IndexFunc(c.Nodes, isHolder); i >= 0 {
			capable = append(capable, c.Nodes[i])
		}
	}
	return surveyor.SortNodes(capable)
}

// suspectCounts returns the number of live nodes that suspect each replica.
func (c *Controller) suspectCounts(now time.Time) map[string]int {
	counts := map[string]int{}
	for id, names := range c.suspectedBy(now) {
		counts[id] = len(names)
	}
	return counts
}

// viewAnswer returns the answer of a node that does not hold the lease.
func (c *Controller) viewAnswer(now time.Time, report Report) Answer {
	if !report.NeedsView || c.ReplicasAsOf.IsZero() || c.Configuration == nil {
		return Answer{}
	}
	if c.View == nil || now.Sub(c.ViewCreatedAt) >= viewLifetime {
		c.ViewCreatedAt = now
		c.View = &StoreView{
			StoreEra:              c.StoreEra,
			ConfigurationEra:      c.Configuration.Era,
			ConfigurationRevision: c.Configuration.Revision,
			ConfigurationAge:      now.Sub(c.ConfigurationAsOf),
			ReplicasAge:           now.Sub(c.ReplicasAsOf),
			Replicas:              viewReplicas(c.Replicas),
		}
		if !c.EvacuationsAsOf.IsZero() {
			c.View.Evacuated, c.View.EvacuationsKnown, c.View.EvacuationsAge = c.Evacuated, true, now.Sub(c.EvacuationsAsOf)
		}
	}
	return Answer{View: c.View, StateAge: now.Sub(c.ViewCreatedAt)}
}

// viewReplicas returns the replicas without the lists of copies, which only the
// holder needs, and without the marks that each node makes itself.
func viewReplicas(replicas []surveyor.Replica) []surveyor.Replica {
	view := slices.Clone(replicas)
	for i := range view {
		view[i].InMemory, view[i].OnDisk, view[i].Evacuated = nil, nil, false
	}
	return view
}
