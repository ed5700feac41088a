package scheduler

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// fleetChanged applies a new view of the fleet. Endpoints that did not change
// cost one comparison each, because the views list them in the tracker's order,
// which rarely changes.
func (c *Controller) fleetChanged(now time.Time, fleet tracker.Fleet) {
	last := c.Fleet.Endpoints
	c.Fleet = fleet
	c.NodeCount = c.countNodes(fleet.Nodes)
	c.generation++
	sameNames := len(last) == len(fleet.Endpoints)
	var changed []*Endpoint
	for index, view := range fleet.Endpoints {
		if index < len(last) && unchanged(last[index], view) {
			continue
		}
		sameNames = sameNames && last[index].Name == view.Name
		changed = append(changed, c.updateEndpoint(now, view))
	}
	if !sameNames {
		changed = append(changed, c.removeMissing(now, fleet.Endpoints)...)
	}
	for _, endpoint := range changed {
		c.assignFreeSlots(now, endpoint)
	}
}

// unchanged reports whether two views of an endpoint are equal. Each view has
// its own copies of the reports, so their contents are compared.
func unchanged(a, b tracker.Endpoint) bool {
	return a.Instance == b.Instance && a.SuspectUntil.Equal(b.SuspectUntil) && sameReport(a.Report, b.Report)
}

func sameReport(a, b *tracker.Report) bool {
	if a == b || a == nil || b == nil {
		return a == b
	}
	return a.Sequence == b.Sequence && a.Measured.Equal(b.Measured) && a.Leaving == b.Leaving &&
		a.Slots == b.Slots && a.Running == b.Running && a.Queued == b.Queued && sameModels(a, b)
}

func (c *Controller) countNodes(nodes []tracker.Instance) int {
	count := 0
	for _, node := range nodes {
		if node.Phase == tracker.Live && node.Region == c.Location.Region {
			count++
		}
	}
	return max(1, count)
}

// updateEndpoint applies a changed view of one endpoint.
func (c *Controller) updateEndpoint(now time.Time, view tracker.Endpoint) *Endpoint {
	endpoint, ok := c.Endpoints[view.Name]
	if !ok {
		endpoint = &Endpoint{Delisted: true, resumeIndex: -1}
		c.Endpoints[view.Name] = endpoint
	}
	old := endpoint.Endpoint
	targetsChanged := endpoint.Delisted || old.Service != view.Service || !sameModels(old.Report, view.Report)
	if !endpoint.Delisted && old.Report != nil && isOlder(old.Report, view.Report) {
		view.Report = old.Report
		targetsChanged = old.Service != view.Service
	}
	endpoint.Endpoint, endpoint.Delisted = view, false
	if targetsChanged {
		c.updatePools(endpoint)
		c.LoadTimes.observeReport(now, endpoint)
	}
	c.applyReport(now, endpoint)
	c.updateOpen(now, endpoint)
	return endpoint
}

// isOlder reports whether a report was measured before the known one. A missing
// report is not older.
func isOlder(known, report *tracker.Report) bool {
	return report != nil && report.Measured.Before(known.Measured)
}

// applyReport adapts this node's share to a new report.
func (c *Controller) applyReport(now time.Time, endpoint *Endpoint) {
	if endpoint.Kind == tracker.Service {
		endpoint.Share.Limit = serviceSlots
		return
	}
	report := endpoint.Report
	if report == nil || !report.Measured.After(endpoint.OtherLoad.Measured) {
		return
	}
	if report.Sequence != 0 && report.Sequence == endpoint.ReportSequence {
		// The same report arrived again with another estimate of its age.
		return
	}
	endpoint.ReportSequence = report.Sequence
	own := endpoint.InUseHistory.At(report.Measured)
	endpoint.OtherLoad = endpoint.OtherLoad.Observe(report.Measured, report.Running+report.Queued, own)
	c.adaptShare(now, endpoint)
}

func (c *Controller) adaptShare(now time.Time, endpoint *Endpoint) {
	limitReached := endpoint.ShareExhausted
	if endpoint.InUse >= endpoint.Share.Limit {
		limitReached = limitReached || slices.ContainsFunc(endpoint.queues, func(q *Queue) bool { return q.waitingCount() > 0 })
	}
	endpoint.ShareExhausted = false
	endpoint.Share = endpoint.Share.Adapt(router.ShareInput{
		Slots:         endpoint.Report.Slots,
		Queued:        endpoint.Report.Queued,
		OwnRequests:   endpoint.InUse,
		OtherRequests: endpoint.OtherLoad.Estimate(now),
		NodeCount:     c.NodeCount,
		LimitReached:  limitReached,
	}, &c.Random)
}

// removeMissing marks the endpoints that are not in the view as delisted.
func (c *Controller) removeMissing(now time.Time, views []tracker.Endpoint) []*Endpoint {
	for _, view := range views {
		c.Endpoints[view.Name].generation = c.generation
	}
	var removed []*Endpoint
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		endpoint := c.Endpoints[name]
		if endpoint.generation == c.generation || endpoint.Delisted {
			continue
		}
		endpoint.Delisted = true
		c.updatePools(endpoint)
		c.updateOpen(now, endpoint)
		c.deleteIfUnused(endpoint)
		removed = append(removed, endpoint)
	}
	return removed
}

// deleteIfUnused deletes a delisted endpoint once none of its slots is in use.
func (c *Controller) deleteIfUnused(endpoint *Endpoint) {
	if endpoint.Delisted && endpoint.InUse == 0 {
		delete(c.Endpoints, endpoint.Name)
	}
}

// updatePools adds an endpoint to the pools of the targets it serves and
// removes it from all others.
func (c *Controller) updatePools(endpoint *Endpoint) {
	members, queues := endpoint.members, endpoint.queues
	endpoint.members, endpoint.queues = nil, nil
	for _, target := range endpoint.targets() {
		pool := c.getOrCreatePool(target)
		pool.Replicas++
		endpoint.members = append(endpoint.members, member{pool: pool, index: -1})
		if target == target.queueTarget() {
			queue := c.getOrCreateQueue(target)
			queue.endpointCount++
			endpoint.queues = append(endpoint.queues, queue)
		}
	}
	for index := range members {
		members[index].removeFromOpen()
		members[index].pool.Replicas--
		c.deletePoolIfUnused(members[index].pool)
	}
	for _, queue := range queues {
		queue.endpointCount--
		c.deleteQueueIfUnused(queue)
	}
}

// updateOpen adds an endpoint to the open lists of its pools or removes it, and
// schedules the next check for the end of a pause.
func (c *Controller) updateOpen(now time.Time, endpoint *Endpoint) {
	open := endpoint.isOpen(now)
	for index := range endpoint.members {
		if open {
			endpoint.addToOpen(index)
		} else {
			endpoint.members[index].removeFromOpen()
		}
	}
	c.scheduleResume(now, endpoint)
}

func (c *Controller) scheduleResume(now time.Time, endpoint *Endpoint) {
	var at time.Time
	switch {
	case endpoint.isLeaving():
	case now.Before(endpoint.unavailableUntil()):
		at = endpoint.unavailableUntil()
	case endpoint.Share.Limit == 0 && endpoint.Report != nil:
		at = now.Add(zeroShareRecheckDelay)
	}
	if endpoint.resumeIndex >= 0 {
		c.ByResumeTime.Remove(endpoint.resumeIndex)
	}
	endpoint.ResumeAt = at
	if !at.IsZero() {
		c.ByResumeTime.Push(endpoint)
	}
}

// resumeEndpoints checks endpoints whose pause has ended.
func (c *Controller) resumeEndpoints(now time.Time) {
	for len(c.ByResumeTime) > 0 && !c.ByResumeTime[0].ResumeAt.After(now) {
		endpoint := c.ByResumeTime[0]
		if endpoint.Kind == tracker.Engine && endpoint.Report != nil && endpoint.Share.Limit == 0 {
			c.adaptShare(now, endpoint)
		}
		c.updateOpen(now, endpoint)
		c.assignFreeSlots(now, endpoint)
	}
}

func (e *Endpoint) addToOpen(memberIndex int) {
	m := &e.members[memberIndex]
	if m.index < 0 {
		m.index = len(m.pool.Open)
		m.pool.Open = append(m.pool.Open, OpenEndpoint{Endpoint: e, memberIndex: memberIndex})
	}
}

// removeFromOpen removes the endpoint from the pool's open list by swapping it
// with the last entry.
func (m *member) removeFromOpen() {
	if m.index < 0 {
		return
	}
	open := m.pool.Open
	last := len(open) - 1
	if m.index != last {
		open[m.index] = open[last]
		open[m.index].members[open[m.index].memberIndex].index = m.index
	}
	open[last] = OpenEndpoint{}
	m.pool.Open = open[:last]
	m.index = -1
}
