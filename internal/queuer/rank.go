package queuer

// Rank is a start-time fair queue with costs in tokens for the requests of one
// urgency. The requests of one workspace form a flow with a start tag; the flow with
// the lowest tag is served first, and its tag grows by cost/weight. A workspace's
// finish tag is shared by its flows in all lanes.
type Rank[T any] struct {
	Number int
	// VirtualTime is the start tag of the request served last.
	VirtualTime float64
	// FinishTags holds the finish tags above VirtualTime, by workspace.
	FinishTags map[string]float64
	Lanes      map[string]*Lane[T]
	// Waiting is the number of waiting requests, Tokens their total cost.
	Waiting int
	Tokens  float64
	// Weight is the sum of the weights of all flows.
	Weight float64

	pruneSize int // size of FinishTags that triggers the next pruning
}

func (r *Rank[T]) push(e *Entry[T]) {
	lane, ok := r.Lanes[e.Lane]
	if !ok {
		lane = &Lane[T]{Key: e.Lane, Rank: r, FlowByWorkspace: map[string]*Flow[T]{}}
		r.Lanes[e.Lane] = lane
	}
	flow, ok := lane.FlowByWorkspace[e.Workspace]
	if !ok {
		flow = r.openFlow(lane, e)
	} else {
		flow.add(e)
		lane.Flows.Fix(flow.index)
	}
	e.lane, e.flow = lane, flow
	e.arrival = lane.byArrival.PushBack(e)
	r.Tokens += e.Cost
	r.Waiting++
}

func (r *Rank[T]) openFlow(lane *Lane[T], e *Entry[T]) *Flow[T] {
	flow := &Flow[T]{Workspace: e.Workspace, Weight: e.Weight, StartTag: max(r.VirtualTime, r.FinishTags[e.Workspace])}
	flow.add(e)
	lane.FlowByWorkspace[e.Workspace] = flow
	lane.Flows.Push(flow)
	r.Weight += flow.Weight
	return flow
}

func (r *Rank[T]) remove(e *Entry[T]) {
	lane, flow := e.lane, e.flow
	flow.remove(e)
	lane.byArrival.Remove(e.arrival)
	r.Tokens -= e.Cost
	r.Waiting--
	if len(flow.Entries) > 0 {
		lane.Flows.Fix(flow.index)
		return
	}
	r.closeFlow(lane, flow)
}

func (r *Rank[T]) closeFlow(lane *Lane[T], flow *Flow[T]) {
	delete(lane.FlowByWorkspace, flow.Workspace)
	lane.Flows.Remove(flow.index)
	r.Weight -= flow.Weight
	if lane.byArrival.Len() == 0 {
		delete(r.Lanes, lane.Key)
	}
	if r.Waiting == 0 {
		// Reset the sums so that rounding errors do not accumulate.
		r.Tokens, r.Weight = 0, 0
	}
}

// next returns the request of the rank that is served next.
func (r *Rank[T]) next(fits func(T) bool) *Entry[T] {
	var first *Flow[T]
	for _, lane := range r.Lanes {
		flow := r.firstFlow(lane)
		if (first == nil || flow.Before(first)) && fits(flow.Head().Value) {
			first = flow
		}
	}
	if first == nil {
		return nil
	}
	return first.Head()
}

// firstFlow returns the first flow of a lane. It first raises start tags that
// are too low because the workspace was served from another lane.
func (r *Rank[T]) firstFlow(lane *Lane[T]) *Flow[T] {
	for {
		flow := lane.Flows[0]
		finish := r.FinishTags[flow.Workspace]
		if finish <= flow.StartTag {
			return flow
		}
		flow.StartTag = finish
		lane.Flows.Fix(0)
	}
}

// charge charges the workspace of a request that is about to leave the queue.
func (r *Rank[T]) charge(e *Entry[T]) {
	start := max(e.flow.StartTag, r.FinishTags[e.Workspace])
	r.VirtualTime = max(r.VirtualTime, start)
	e.flow.StartTag = start + e.Cost/e.flow.Weight
	r.FinishTags[e.Workspace] = e.flow.StartTag
}

// pruneFinishTags drops finish tags at or below the virtual time, so that idle
// workspaces take no memory. It runs only when the map has grown enough.
func (r *Rank[T]) pruneFinishTags() {
	if len(r.FinishTags) <= r.pruneSize {
		return
	}
	for workspace, finish := range r.FinishTags {
		if finish <= r.VirtualTime {
			delete(r.FinishTags, workspace)
		}
	}
	r.pruneSize = 64 + 2*len(r.FinishTags)
}
