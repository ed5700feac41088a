package scheduler

import (
	"container/list"
	"strings"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// FairQueue is a start-time fair queue with costs in tokens. The requests of
// one workspace form a flow with a start tag; the flow with the lowest tag is
// served first, and its tag grows by cost/weight. Requests that need different
// adapters or avoid different endpoints are in different lanes, because one
// lane may have to wait for its endpoints while another can proceed. A
// workspace's finish tag is shared by its flows in all lanes.
type FairQueue struct {
	// VirtualTime is the start tag of the request served last.
	VirtualTime float64
	// FinishTags holds the finish tags above VirtualTime, by workspace.
	FinishTags map[string]float64
	Lanes      map[LaneKey]*Lane
	// Waiting is the number of waiting requests, Tokens their total cost.
	Waiting int
	Tokens  float64
	// Weight is the sum of the weights of all flows.
	Weight float64

	pruneSize int // size of FinishTags that triggers the next pruning
}

// LaneKey identifies the endpoints that a request can use.
type LaneKey struct {
	Adapter string
	// Avoid is the list of endpoints to avoid, separated by spaces.
	Avoid string
}

// Lane holds the waiting requests that can use the same endpoints.
type Lane struct {
	Key LaneKey
	// Avoid lists the names of the endpoints that are not used.
	Avoid []string
	// Flows is ordered by start tag. Tags may be too low, never too high.
	Flows heap[*Flow]
	// FlowByWorkspace maps a workspace to its flow.
	FlowByWorkspace map[string]*Flow

	pool      *Pool
	byArrival list.List // of *WaitingRequest, by arrival
}

// Flow holds the requests of one workspace in a lane.
type Flow struct {
	Workspace string
	Weight    float64
	StartTag  float64
	// Entries holds the requests. Within a workspace the request that is due
	// first is served first: interactive requests precede assured ones that are
	// not yet due.
	Entries heap[*flowEntry]
	// Tokens is the cost of all requests, InteractiveTokens that of the
	// interactive ones.
	Tokens            float64
	InteractiveTokens float64

	index int
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{FinishTags: map[string]float64{}, Lanes: map[LaneKey]*Lane{}}
}

func (f *Flow) before(other *Flow) bool {
	if f.StartTag != other.StartTag {
		return f.StartTag < other.StartTag
	}
	return f.head().ArrivalNumber < other.head().ArrivalNumber
}

func (f *Flow) setIndex(index int) { f.index = index }

// head returns the request of the flow that is served next.
func (f *Flow) head() *WaitingRequest { return f.Entries[0].WaitingRequest }

func (f *Flow) add(w *WaitingRequest) {
	w.flowEntry = &flowEntry{WaitingRequest: w, due: w.due()}
	f.Entries.push(w.flowEntry)
	f.Tokens += w.Cost
	if w.Admission.Class == filter.Interactive {
		f.InteractiveTokens += w.Cost
	}
}

func (f *Flow) remove(w *WaitingRequest) {
	f.Entries.remove(w.flowEntry.index)
	f.Tokens -= w.Cost
	if w.Admission.Class == filter.Interactive {
		f.InteractiveTokens -= w.Cost
	}
}

func laneKey(admission filter.Admission) LaneKey {
	return LaneKey{Adapter: admission.Adapter, Avoid: strings.Join(admission.Avoid, " ")}
}

// Push adds a request.
func (q *FairQueue) Push(w *WaitingRequest, pool *Pool) {
	key := laneKey(w.Admission)
	lane, ok := q.Lanes[key]
	if !ok {
		lane = &Lane{Key: key, Avoid: w.Admission.Avoid, FlowByWorkspace: map[string]*Flow{}, pool: pool}
		q.Lanes[key] = lane
	}
	flow, ok := lane.FlowByWorkspace[w.Admission.Workspace]
	if !ok {
		q.openFlow(lane, w)
	} else {
		flow.add(w)
		lane.Flows.fix(flow.index)
	}
	w.laneElement = lane.byArrival.PushBack(w)
	q.Tokens += w.Cost
	q.Waiting++
}

func (q *FairQueue) openFlow(lane *Lane, w *WaitingRequest) {
	workspace := w.Admission.Workspace
	flow := &Flow{
		Workspace: workspace,
		Weight:    w.Admission.Weight,
		StartTag:  max(q.VirtualTime, q.FinishTags[workspace]),
	}
	flow.add(w)
	lane.FlowByWorkspace[workspace] = flow
	lane.Flows.push(flow)
	q.Weight += flow.Weight
}

// Remove removes a request that is not served, or was just served.
func (q *FairQueue) Remove(w *WaitingRequest) {
	lane := q.Lanes[laneKey(w.Admission)]
	flow := lane.FlowByWorkspace[w.Admission.Workspace]
	flow.remove(w)
	lane.byArrival.Remove(w.laneElement)
	q.Tokens -= w.Cost
	q.Waiting--
	if len(flow.Entries) > 0 {
		lane.Flows.fix(flow.index)
		return
	}
	q.closeFlow(lane, flow)
}

func (q *FairQueue) closeFlow(lane *Lane, flow *Flow) {
	lane.removeFlow(flow)
	q.Weight -= flow.Weight
	if lane.byArrival.Len() == 0 {
		delete(q.Lanes, lane.Key)
	}
	if q.Waiting == 0 {
		// Reset the sums so that rounding errors do not accumulate.
		q.Tokens, q.Weight = 0, 0
	}
}

// removeFlow removes a flow by swapping it with the last one of the heap. The
// flow is empty, so it must not be compared.
func (l *Lane) removeFlow(flow *Flow) {
	delete(l.FlowByWorkspace, flow.Workspace)
	last := len(l.Flows) - 1
	index := flow.index
	l.Flows.swap(index, last)
	l.Flows[last] = nil
	l.Flows = l.Flows[:last]
	if index < last {
		l.Flows.fix(index)
	}
}

// Next returns the request to serve next from the lanes that are ready, or nil
// if there is none.
func (q *FairQueue) Next(ready func(*Lane) bool) *WaitingRequest {
	var first *Flow
	for _, lane := range q.Lanes {
		if !ready(lane) {
			continue
		}
		if flow := q.firstFlow(lane); first == nil || flow.before(first) {
			first = flow
		}
	}
	if first == nil {
		return nil
	}
	return first.head()
}

// firstFlow returns the first flow of a lane. It first raises start tags that
// are too low because the workspace was served from another lane.
func (q *FairQueue) firstFlow(lane *Lane) *Flow {
	for {
		flow := lane.Flows[0]
		finish := q.FinishTags[flow.Workspace]
		if finish <= flow.StartTag {
			return flow
		}
		flow.StartTag = finish
		lane.Flows.fix(0)
	}
}

// Oldest returns the request that has waited longest in the lanes that are
// ready, or nil if there is none.
func (q *FairQueue) Oldest(ready func(*Lane) bool) *WaitingRequest {
	var oldest *WaitingRequest
	for _, lane := range q.Lanes {
		w := lane.byArrival.Front().Value.(*WaitingRequest)
		if (oldest == nil || w.ArrivalNumber < oldest.ArrivalNumber) && ready(lane) {
			oldest = w
		}
	}
	return oldest
}

// Serve removes a request that is granted a slot and charges its workspace.
func (q *FairQueue) Serve(w *WaitingRequest) {
	workspace := w.Admission.Workspace
	flow := q.Lanes[laneKey(w.Admission)].FlowByWorkspace[workspace]
	start := max(flow.StartTag, q.FinishTags[workspace])
	q.VirtualTime = max(q.VirtualTime, start)
	flow.StartTag = start + w.Cost/flow.Weight
	q.FinishTags[workspace] = flow.StartTag
	q.Remove(w)
	q.pruneFinishTags()
}

// pruneFinishTags drops finish tags at or below the virtual time, so that idle
// workspaces take no memory. It runs only when the map has grown enough.
func (q *FairQueue) pruneFinishTags() {
	if len(q.FinishTags) <= q.pruneSize {
		return
	}
	for workspace, finish := range q.FinishTags {
		if finish <= q.VirtualTime {
			delete(q.FinishTags, workspace)
		}
	}
	q.pruneSize = 64 + 2*len(q.FinishTags)
}
