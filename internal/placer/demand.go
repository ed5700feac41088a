package placer

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// KeyDemand joins the demand of all nodes for a model or adapter, so that a
// burst at many nodes is one wish for one load.
type KeyDemand struct {
	Key   Key
	Nodes map[string]NodeDemand
	// First is since when requests have been waiting without a pause.
	First time.Time
	// Planned is when a plan last looked at the demand.
	Planned time.Time
}

// NodeDemand is what one node said last.
type NodeDemand struct {
	Class            filter.Class
	Waiting          int
	EarliestDeadline time.Time
	Heard            time.Time
}

// demandLifetime is three times the interval at which nodes repeat demand.
const demandLifetime = 3 * time.Second

// Urgency orders loads; lower goes first.
type Urgency int

// The urgencies of loads.
const (
	Urgent Urgency = iota
	Spare
	Prewarming
)

func urgencyOf(class filter.Class) Urgency {
	switch class {
	case filter.Deferred:
		return Spare
	default:
		return Urgent
	}
}

// demanded notes a node's demand. The first demand of a model is planned at
// once; repetitions wait for the next plan.
func (p *Placer) demanded(now time.Time, message Demand) {
	key := Key{Model: message.Model, Adapter: message.Adapter}
	if message.Waiting <= 0 {
		if demand, ok := p.Demands[key]; ok {
			delete(demand.Nodes, message.Node)
		}
		return
	}
	p.used(now, Key{Model: message.Model})
	if message.Adapter != "" {
		p.used(now, key)
	}
	demand, ok := p.Demands[key]
	if !ok {
		demand = &KeyDemand{Key: key, Nodes: map[string]NodeDemand{}, First: now}
		p.Demands[key] = demand
	}
	demand.Nodes[message.Node] = NodeDemand{
		Class:            message.Class,
		Waiting:          message.Waiting,
		EarliestDeadline: message.EarliestDeadline,
		Heard:            now,
	}
	if demand.Planned.IsZero() {
		p.PlanAt = now
	}
}

// expireDemand forgets nodes that fell silent.
func (p *Placer) expireDemand(now time.Time) {
	for key, demand := range p.Demands {
		for node, said := range demand.Nodes {
			if now.Sub(said.Heard) > demandLifetime {
				delete(demand.Nodes, node)
			}
		}
		if len(demand.Nodes) == 0 {
			delete(p.Demands, key)
		}
	}
}

// wish is one model or adapter that should be loaded.
type wish struct {
	Key      Key
	Urgency  Urgency
	Deadline time.Time
	First    time.Time
}

func (d *KeyDemand) wish() wish {
	result := wish{Key: d.Key, Urgency: Prewarming, First: d.First}
	for _, said := range d.Nodes {
		result.Urgency = min(result.Urgency, urgencyOf(said.Class))
		if result.Deadline.IsZero() || said.EarliestDeadline.Before(result.Deadline) {
			result.Deadline = said.EarliestDeadline
		}
	}
	return result
}

// wishes are all demands, most urgent first. The demand for an adapter also
// wishes for its model.
func (p *Placer) wishes(now time.Time) (models, adapters []wish) {
	best := map[string]wish{}
	for _, demand := range p.Demands {
		demand.Planned = now
		wanted := demand.wish()
		if wanted.Key.Adapter != "" {
			adapters = append(adapters, wanted)
			wanted.Key.Adapter = ""
		}
		if known, ok := best[wanted.Key.Model]; ok {
			wanted = joined(known, wanted)
		}
		best[wanted.Key.Model] = wanted
	}
	for _, wanted := range best {
		models = append(models, wanted)
	}
	slices.SortFunc(models, compareWishes)
	slices.SortFunc(adapters, compareWishes)
	return models, adapters
}

// joined is the stronger of two wishes for one model in every respect.
func joined(a, b wish) wish {
	if compareWishes(b, a) < 0 {
		a, b = b, a
	}
	if b.First.Before(a.First) {
		a.First = b.First
	}
	if b.Deadline.Before(a.Deadline) {
		a.Deadline = b.Deadline
	}
	return a
}

func compareWishes(a, b wish) int {
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

// Wait is how long to wait for a token.
func (b *Bucket) Wait(now time.Time, rate float64) time.Duration {
	b.refill(now, rate)
	if b.Tokens >= 1 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - b.Tokens) / rate * float64(time.Second))
}

// Take takes a token if there is one.
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
