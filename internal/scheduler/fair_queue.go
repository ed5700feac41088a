package scheduler

import (
	"container/list"
	"strings"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// FairQueue is a start-time fair queue of requests in tokens. Requests of one
// workspace are a flow with a start tag; the flow with the lowest tag goes
// first and its tag grows by cost/weight. Requests that need another adapter
// or avoid other endpoints are in different lanes, because one lane may have
// to wait for its endpoints while another can go on. A workspace's finish tag
// is shared by its flows in all lanes.
type FairQueue struct {
	// Virtual is the start tag of the request that went last.
	Virtual float64
	// Finish holds the finish tags that are above Virtual, by workspace.
	Finish map[string]float64
	Lanes  map[LaneKey]*Lane
	// Waiting and Tokens count the requests and their cost.
	Waiting int
	Tokens  float64
	// Weight is the sum of the weights of all flows.
	Weight float64

	forgetAt int // size of Finish at which tags are dropped next
}

// LaneKey says which endpoints a request can use.
type LaneKey struct {
	Adapter string
	// Avoid is the list of endpoints to avoid, separated by spaces.
	Avoid string
}

// Lane holds the waiting requests that can use the same endpoints.
type Lane struct {
	Key LaneKey
	// Avoid names the endpoints that are not used.
	Avoid []string
	// Flows is ordered by tag. Tags may be too low, never too high.
	Flows heap[*Flow]
	// Workspaces finds a flow by its workspace.
	Workspaces map[string]*Flow

	pool    *Pool
	arrived list.List // of *Waiting, by arrival
}

// Flow is one workspace's part of a lane.
type Flow struct {
	Workspace string
	Weight    float64
	Tag       float64
	// Turns holds the requests. Within a workspace the one that is due first
	// goes first: interactive requests go before assured ones that have time.
	Turns heap[*turn]
	// Tokens is the cost of all requests, Interactive of the interactive ones.
	Tokens      float64
	Interactive float64

	index int
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{Finish: map[string]float64{}, Lanes: map[LaneKey]*Lane{}}
}

func (f *Flow) before(other *Flow) bool {
	if f.Tag != other.Tag {
		return f.Tag < other.Tag
	}
	return f.head().Number < other.head().Number
}

func (f *Flow) place(index int) { f.index = index }

// head returns the request of the flow that goes next.
func (f *Flow) head() *Waiting { return f.Turns[0].Waiting }

func (f *Flow) add(w *Waiting) {
	w.inFlow = &turn{Waiting: w, due: w.due()}
	f.Turns.push(w.inFlow)
	f.Tokens += w.Cost
	if w.Admission.Class == filter.Interactive {
		f.Interactive += w.Cost
	}
}

func (f *Flow) remove(w *Waiting) {
	f.Turns.remove(w.inFlow.index)
	f.Tokens -= w.Cost
	if w.Admission.Class == filter.Interactive {
		f.Interactive -= w.Cost
	}
}

func laneKey(admission filter.Admission) LaneKey {
	return LaneKey{Adapter: admission.Adapter, Avoid: strings.Join(admission.Avoid, " ")}
}

// Push adds a request.
func (q *FairQueue) Push(w *Waiting, pool *Pool) {
	key := laneKey(w.Admission)
	lane, ok := q.Lanes[key]
	if !ok {
		lane = &Lane{Key: key, Avoid: w.Admission.Avoid, Workspaces: map[string]*Flow{}, pool: pool}
		q.Lanes[key] = lane
	}
	flow, ok := lane.Workspaces[w.Admission.Workspace]
	if !ok {
		q.open(lane, w)
	} else {
		flow.add(w)
		lane.Flows.fix(flow.index)
	}
	w.inLane = lane.arrived.PushBack(w)
	q.Tokens += w.Cost
	q.Waiting++
}

func (q *FairQueue) open(lane *Lane, w *Waiting) {
	workspace := w.Admission.Workspace
	flow := &Flow{
		Workspace: workspace,
		Weight:    w.Admission.Weight,
		Tag:       max(q.Virtual, q.Finish[workspace]),
	}
	flow.add(w)
	lane.Workspaces[workspace] = flow
	lane.Flows.push(flow)
	q.Weight += flow.Weight
}

// Remove takes a request out that does not go, or has just gone.
func (q *FairQueue) Remove(w *Waiting) {
	lane := q.Lanes[laneKey(w.Admission)]
	flow := lane.Workspaces[w.Admission.Workspace]
	flow.remove(w)
	lane.arrived.Remove(w.inLane)
	q.Tokens -= w.Cost
	q.Waiting--
	if len(flow.Turns) > 0 {
		lane.Flows.fix(flow.index)
		return
	}
	q.close(lane, flow)
}

func (q *FairQueue) close(lane *Lane, flow *Flow) {
	lane.removeFlow(flow)
	q.Weight -= flow.Weight
	if lane.arrived.Len() == 0 {
		delete(q.Lanes, lane.Key)
	}
	if q.Waiting == 0 {
		// Rounding errors do not accumulate over idle times.
		q.Tokens, q.Weight = 0, 0
	}
}

// removeFlow swaps the flow with the last one of the heap. The flow is empty,
// so it must not be compared.
func (l *Lane) removeFlow(flow *Flow) {
	delete(l.Workspaces, flow.Workspace)
	last := len(l.Flows) - 1
	index := flow.index
	l.Flows.swap(index, last)
	l.Flows[last] = nil
	l.Flows = l.Flows[:last]
	if index < last {
		l.Flows.fix(index)
	}
}

// Next returns the request that goes next among the lanes that are ready, or
// nil if there is none.
func (q *FairQueue) Next(ready func(*Lane) bool) *Waiting {
	var first *Flow
	for _, lane := range q.Lanes {
		if !ready(lane) {
			continue
		}
		if flow := q.top(lane); first == nil || flow.before(first) {
			first = flow
		}
	}
	if first == nil {
		return nil
	}
	return first.head()
}

// top returns the lane's first flow after raising tags that fell behind
// because the workspace was served from another lane.
func (q *FairQueue) top(lane *Lane) *Flow {
	for {
		flow := lane.Flows[0]
		finish := q.Finish[flow.Workspace]
		if finish <= flow.Tag {
			return flow
		}
		flow.Tag = finish
		lane.Flows.fix(0)
	}
}

// Oldest returns the request that waits longest in the lanes that are ready,
// or nil.
func (q *FairQueue) Oldest(ready func(*Lane) bool) *Waiting {
	var oldest *Waiting
	for _, lane := range q.Lanes {
		w := lane.arrived.Front().Value.(*Waiting)
		if (oldest == nil || w.Number < oldest.Number) && ready(lane) {
			oldest = w
		}
	}
	return oldest
}

// Take removes a request that goes now and charges its workspace.
func (q *FairQueue) Take(w *Waiting) {
	workspace := w.Admission.Workspace
	flow := q.Lanes[laneKey(w.Admission)].Workspaces[workspace]
	start := max(flow.Tag, q.Finish[workspace])
	q.Virtual = max(q.Virtual, start)
	flow.Tag = start + w.Cost/flow.Weight
	q.Finish[workspace] = flow.Tag
	q.Remove(w)
	q.forget()
}

// forget drops finish tags that no longer matter, now and then, so that
// workspaces that went silent take no memory.
func (q *FairQueue) forget() {
	if len(q.Finish) <= q.forgetAt {
		return
	}
	for workspace, finish := range q.Finish {
		if finish <= q.Virtual {
			delete(q.Finish, workspace)
		}
	}
	q.forgetAt = 64 + 2*len(q.Finish)
}
