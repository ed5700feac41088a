package scheduler

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// fleetChanged takes in a new view. Endpoints that did not change cost one
// comparison each; the order of the view is the tracker's and rarely changes.
func (c *Controller) fleetChanged(now time.Time, fleet tracker.Fleet) {
	last := c.Fleet.Endpoints
	c.Fleet = fleet
	c.Nodes = c.countNodes(fleet.Nodes)
	c.generation++
	sameNames := len(last) == len(fleet.Endpoints)
	var changed []*Endpoint
	for index, view := range fleet.Endpoints {
		if index < len(last) && unchanged(last[index], view) {
			continue
		}
		sameNames = sameNames && last[index].Name == view.Name
		changed = append(changed, c.update(now, view))
	}
	if !sameNames {
		changed = append(changed, c.removeMissing(now, fleet.Endpoints)...)
	}
	for _, endpoint := range changed {
		c.offer(now, endpoint)
	}
}

// unchanged says whether two views of an endpoint are the same. Every view has
// its own copies of the reports, so that their content is compared.
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
		if node.Phase == tracker.Live && node.Region == c.Self.Region {
			count++
		}
	}
	return max(1, count)
}

// update takes in a changed view of one endpoint.
func (c *Controller) update(now time.Time, view tracker.Endpoint) *Endpoint {
	endpoint, ok := c.Endpoints[view.Name]
	if !ok {
		endpoint = &Endpoint{Gone: true, inResume: -1}
		c.Endpoints[view.Name] = endpoint
	}
	old := endpoint.Endpoint
	moved := endpoint.Gone || old.Service != view.Service || !sameModels(old.Report, view.Report)
	if !endpoint.Gone && old.Report != nil && late(old.Report, view.Report) {
		view.Report = old.Report
		moved = old.Service != view.Service
	}
	endpoint.Endpoint, endpoint.Gone = view, false
	if moved {
		c.join(endpoint)
		c.Cold.reported(now, endpoint)
	}
	c.measure(now, endpoint)
	c.refresh(now, endpoint)
	return endpoint
}

// late says that a report is not newer than the one that is known. A report
// that vanished is not late.
func late(known, report *tracker.Report) bool {
	return report != nil && report.Measured.Before(known.Measured)
}

// measure adapts this node's share to a report.
func (c *Controller) measure(now time.Time, endpoint *Endpoint) {
	if endpoint.Kind == tracker.Service {
		endpoint.Share.Limit = serviceSlots
		return
	}
	report := endpoint.Report
	if report == nil || !report.Measured.After(endpoint.Others.Measured) {
		return
	}
	if report.Sequence != 0 && report.Sequence == endpoint.Sequence {
		// The same report came again with another estimate of its age.
		return
	}
	endpoint.Sequence = report.Sequence
	own := endpoint.History.At(report.Measured)
	endpoint.Others = endpoint.Others.Observe(report.Measured, report.Running+report.Queued, own)
	c.adapt(now, endpoint)
}

func (c *Controller) adapt(now time.Time, endpoint *Endpoint) {
	wanted := endpoint.Wanted
	if endpoint.InUse >= endpoint.Share.Limit {
		wanted = wanted || slices.ContainsFunc(endpoint.queues, func(q *Queue) bool { return q.waiting() > 0 })
	}
	endpoint.Wanted = false
	endpoint.Share = endpoint.Share.Adapt(router.ShareInput{
		Slots:         endpoint.Report.Slots,
		Queued:        endpoint.Report.Queued,
		OwnRequests:   endpoint.InUse,
		OtherRequests: endpoint.Others.Estimate(now),
		NodeCount:     c.Nodes,
		LimitReached:  wanted,
	}, &c.Source)
}

// removeMissing marks the endpoints that a view no longer has.
func (c *Controller) removeMissing(now time.Time, views []tracker.Endpoint) []*Endpoint {
	for _, view := range views {
		c.Endpoints[view.Name].generation = c.generation
	}
	var removed []*Endpoint
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		endpoint := c.Endpoints[name]
		if endpoint.generation == c.generation || endpoint.Gone {
			continue
		}
		endpoint.Gone = true
		c.join(endpoint)
		c.refresh(now, endpoint)
		c.forget(endpoint)
		removed = append(removed, endpoint)
	}
	return removed
}

// forget drops an endpoint that is gone once its slots are given back.
func (c *Controller) forget(endpoint *Endpoint) {
	if endpoint.Gone && endpoint.InUse == 0 {
		delete(c.Endpoints, endpoint.Name)
	}
}

// join puts an endpoint into the pools of what it serves, and out of others.
func (c *Controller) join(endpoint *Endpoint) {
	members, queues := endpoint.members, endpoint.queues
	endpoint.members, endpoint.queues = nil, nil
	for _, target := range endpoint.targets() {
		pool := c.pool(target)
		pool.Replicas++
		endpoint.members = append(endpoint.members, member{pool: pool, index: -1})
		if target == target.queue() {
			queue := c.queue(target)
			queue.references++
			endpoint.queues = append(endpoint.queues, queue)
		}
	}
	for index := range members {
		members[index].close()
		members[index].pool.Replicas--
		c.dropPool(members[index].pool)
	}
	for _, queue := range queues {
		queue.references--
		c.dropQueue(queue)
	}
}

// refresh opens or closes an endpoint in its pools, and sees to it that it is
// looked at again when a pause ends.
func (c *Controller) refresh(now time.Time, endpoint *Endpoint) {
	open := endpoint.open(now)
	for index := range endpoint.members {
		if open {
			endpoint.openIn(index)
		} else {
			endpoint.members[index].close()
		}
	}
	c.schedule(now, endpoint)
}

func (c *Controller) schedule(now time.Time, endpoint *Endpoint) {
	var at time.Time
	switch {
	case endpoint.leaving():
	case now.Before(endpoint.heldUntil()):
		at = endpoint.heldUntil()
	case endpoint.Share.Limit == 0 && endpoint.Report != nil:
		at = now.Add(closedPause)
	}
	if endpoint.inResume >= 0 {
		c.Resume.remove(endpoint.inResume)
	}
	endpoint.ResumeAt = at
	if !at.IsZero() {
		c.Resume.push(endpoint)
	}
}

// resume looks again at endpoints whose pause is over.
func (c *Controller) resume(now time.Time) {
	for len(c.Resume) > 0 && !c.Resume[0].ResumeAt.After(now) {
		endpoint := c.Resume[0]
		if endpoint.Kind == tracker.Engine && endpoint.Report != nil && endpoint.Share.Limit == 0 {
			c.adapt(now, endpoint)
		}
		c.refresh(now, endpoint)
		c.offer(now, endpoint)
	}
}

func (e *Endpoint) openIn(place int) {
	m := &e.members[place]
	if m.index < 0 {
		m.index = len(m.pool.Open)
		m.pool.Open = append(m.pool.Open, Opening{Endpoint: e, member: place})
	}
}

// close swaps the endpoint with the last one of the pool's open list.
func (m *member) close() {
	if m.index < 0 {
		return
	}
	open := m.pool.Open
	last := len(open) - 1
	if m.index != last {
		open[m.index] = open[last]
		open[m.index].members[open[m.index].member].index = m.index
	}
	open[last] = Opening{}
	m.pool.Open = open[:last]
	m.index = -1
}
