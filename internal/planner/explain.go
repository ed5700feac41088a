package planner

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/runner"
)

// Explain asks where a model or adapter would be loaded now if requests waited for it. It
// changes nothing. Only Service, Model, Adapter and DataCentres of the demand are used.
type Explain struct {
	Call   runner.Call
	Demand Demand
}

func (Explain) isMessage() {}

// AnswerExplain answers an Explain.
type AnswerExplain struct {
	Call        runner.Call
	Explanation Explanation
}

func (AnswerExplain) isEffect() {}

// Obstacle is why a model is not loaded now.
type Obstacle string

// The obstacles.
const (
	NoEngine     Obstacle = "the service runs no models, or the configuration is not known"
	UnknownModel Obstacle = "the configuration does not list the model"
	HasReplica   Obstacle = "a replica that is not suspected has it or is loading it"
	NoRoom       Obstacle = "no idle replica has room for it"
	// CopyElsewhere means that waiting for a busy replica with a copy takes less time than
	// a load from the weight store.
	CopyElsewhere Obstacle = "a replica with a copy in memory or on disk is waited for"
	StoreBusy     Obstacle = "the weight store is busy with other loads"
)

// Explanation is where a model or adapter would be loaded.
type Explanation struct {
	// Holding is set if this node holds the lease. Otherwise it knows nothing else.
	Holding bool
	// OrdersAllowedIn is the time until this node may order loads, 0 if it may now. Before
	// it has planned, what is in use is not known.
	OrdersAllowedIn time.Duration `json:",omitempty"`
	// Obstacle is why nothing would be loaded now. If it is empty, Replica would load the
	// model, or the adapter only if AdapterOnly is set, after it has unloaded Unloads.
	Obstacle            Obstacle `json:",omitempty"`
	Replica, DataCentre string   `json:",omitempty"`
	AdapterOnly         bool     `json:",omitempty"`
	Unloads             []string `json:",omitempty"`
	// Source is where the replica loads the model from: memory, disk or weight store.
	Source string `json:",omitempty"`
}

// explain asks the functions that plan loads, with what the last plan knew of demands.
func (c *Controller) explain(now time.Time, demand Demand) Explanation {
	if c.Tenure == nil || c.Tenure.Acting || !now.Before(c.Tenure.Until) {
		return Explanation{}
	}
	explanation := Explanation{Holding: true, OrdersAllowedIn: max(0, c.Tenure.OrdersAllowedAt.Sub(now))}
	key := demand.key()
	if key.Adapter != "" {
		best, held := c.adapterReplica(key)
		switch {
		case held:
			explanation.Obstacle = HasReplica
			return explanation
		case best != nil:
			explanation.Replica, explanation.DataCentre, explanation.AdapterOnly = best.Entry.ID, best.Entry.DataCentre, true
			return explanation
		}
	}
	choice := c.chooseLoad(now, key)
	if explanation.Obstacle = choice.obstacle; choice.obstacle == "" {
		e := choice.endpoint
		explanation.Replica, explanation.DataCentre = e.Entry.ID, e.Entry.DataCentre
		explanation.Unloads, explanation.Source = choice.victims, tierNames[e.tier(choice.model.Name)]
	}
	return explanation
}

var tierNames = map[Tier]string{FromMemory: "memory", FromDisk: "disk", FromStore: "weight store"}
