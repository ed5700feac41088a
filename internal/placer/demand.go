package placer

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// KeyDemand combines the demand of all nodes for a model or adapter, so that a
// burst at many nodes results in one load request.
type KeyDemand struct {
	Key   Key
	Nodes map[string]NodeDemand
	// WaitingSince is the start of the current uninterrupted wait.
	WaitingSince time.Time
	// PlannedAt is when a plan last considered the demand; zero if none has.
	PlannedAt time.Time
}

// NodeDemand is the latest demand reported by one node.
type NodeDemand struct {
	Class            filter.Class
	Waiting          int
	EarliestDeadline time.Time
	ReceivedAt       time.Time
}

// demandLifetime is how long a node's demand remains valid without an update:
// three times the interval at which nodes repeat demand.
const demandLifetime = 3 * time.Second

// Urgency orders load requests; lower values are served first.
type Urgency int

// Urgencies of load requests.
const (
	Urgent Urgency = iota
	Deferrable
	Prewarming
)

func urgencyOf(class filter.Class) Urgency {
	switch class {
	case filter.Deferred:
		return Deferrable
	default:
		return Urgent
	}
}

// handleDemand records a node's demand. The first demand for a model or
// adapter is planned at once; repeated demand waits for the next plan.
func (p *Placer) handleDemand(now time.Time, message Demand) {
	key := Key{Model: message.Model, Adapter: message.Adapter}
	if message.Waiting <= 0 {
		if demand, ok := p.Demands[key]; ok {
			delete(demand.Nodes, message.Node)
		}
		return
	}
	p.recordUse(now, Key{Model: message.Model})
	if message.Adapter != "" {
		p.recordUse(now, key)
	}
	demand, ok := p.Demands[key]
	if !ok {
		demand = &KeyDemand{Key: key, Nodes: map[string]NodeDemand{}, WaitingSince: now}
		p.Demands[key] = demand
	}
	demand.Nodes[message.Node] = NodeDemand{
		Class:            message.Class,
		Waiting:          message.Waiting,
		EarliestDeadline: message.EarliestDeadline,
		ReceivedAt:       now,
	}
	if demand.PlannedAt.IsZero() {
		p.PlanAt = now
	}
}

// expireDemand removes the demand of nodes that have stopped repeating it.
func (p *Placer) expireDemand(now time.Time) {
	for key, demand := range p.Demands {
		for node, nodeDemand := range demand.Nodes {
			if now.Sub(nodeDemand.ReceivedAt) > demandLifetime {
				delete(demand.Nodes, node)
			}
		}
		if len(demand.Nodes) == 0 {
			delete(p.Demands, key)
		}
	}
}

// loadRequest is a request to load one model or adapter.
type loadRequest struct {
	Key          Key
	Urgency      Urgency
	Deadline     time.Time
	WaitingSince time.Time
}

func (d *KeyDemand) loadRequest() loadRequest {
	result := loadRequest{Key: d.Key, Urgency: Prewarming, WaitingSince: d.WaitingSince}
	for _, nodeDemand := range d.Nodes {
		result.Urgency = min(result.Urgency, urgencyOf(nodeDemand.Class))
		if result.Deadline.IsZero() || nodeDemand.EarliestDeadline.Before(result.Deadline) {
			result.Deadline = nodeDemand.EarliestDeadline
		}
	}
	return result
}

// loadRequests returns the load requests for all demands, most urgent first.
// Demand for an adapter also requests its model.
func (p *Placer) loadRequests(now time.Time) (models, adapters []loadRequest) {
	byModel := map[string]loadRequest{}
	for _, demand := range p.Demands {
		demand.PlannedAt = now
		request := demand.loadRequest()
		if request.Key.Adapter != "" {
			adapters = append(adapters, request)
			request.Key.Adapter = ""
		}
		if previous, ok := byModel[request.Key.Model]; ok {
			request = mergeLoadRequests(previous, request)
		}
		byModel[request.Key.Model] = request
	}
	for _, request := range byModel {
		models = append(models, request)
	}
	slices.SortFunc(models, compareLoadRequests)
	slices.SortFunc(adapters, compareLoadRequests)
	return models, adapters
}

// mergeLoadRequests combines two load requests for one model: the more urgent
// one, with the earlier deadline and the earlier start of waiting.
func mergeLoadRequests(a, b loadRequest) loadRequest {
	if compareLoadRequests(b, a) < 0 {
		a, b = b, a
	}
	if b.WaitingSince.Before(a.WaitingSince) {
		a.WaitingSince = b.WaitingSince
	}
	if b.Deadline.Before(a.Deadline) {
		a.Deadline = b.Deadline
	}
	return a
}

func compareLoadRequests(a, b loadRequest) int {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		a.Deadline.Compare(b.Deadline),
		compareKeys(a.Key, b.Key),
	)
}

// Bucket is a token bucket that holds at most one token, so that in any
// window at most rate × window + 1 loads start.
type Bucket struct {
	Tokens   float64
	Refilled time.Time
}

// Wait returns the time until a token is available.
func (b *Bucket) Wait(now time.Time, rate float64) time.Duration {
	b.refill(now, rate)
	if b.Tokens >= 1 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.Tokens) / rate * float64(time.Second))
}

// Take takes a token and reports whether one was available.
func (b *Bucket) Take(now time.Time, rate float64) bool {
	b.refill(now, rate)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

func (b *Bucket) refill(now time.Time, rate float64) {
	if !b.Refilled.IsZero() && now.After(b.Refilled) {
		b.Tokens = min(1, b.Tokens+rate*now.Sub(b.Refilled).Seconds())
	}
	if b.Refilled.IsZero() || now.After(b.Refilled) {
		b.Refilled = now
	}
}
