package assembler

import (
	"context"
	"time"

	"toucanhitch.example/toucanhitch/internal/explainer"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/platform"
)

// explain answers where a request would go now and why. Nothing changes.
func (n *Node) explain(ctx context.Context, question explainer.Question) (explainer.Answer, error) {
	sources := explainer.Sources{
		Choose: n.balancer.Explain, Inspect: n.rationer.Inspect, Load: n.explainLoad,
		Regions: n.settings.Regions, MaxTime: platform.DefaultDeadline,
	}
	now := n.clock.Now()
	configuration, currentAsOf := n.view.Configuration()
	answer, err := sources.Explain(ctx, now, configuration, question)
	if err != nil {
		return answer, err
	}
	answer.Node, answer.Draining = n.settings.Node, n.draining.Load()
	answer.ConfigurationAge = now.Sub(currentAsOf)
	answer.KeysNotCurrent = !answer.Public && answer.ConfigurationAge > n.maxKeyAge()
	if asOf := n.view.replicasAsOf.Load(); asOf != nil {
		answer.ReplicasKnown, answer.ReplicasAge = true, now.Sub(*asOf)
	}
	return answer, nil
}

// explainLoad answers where a model would be loaded. Only the holder knows that; other nodes
// name it as far as they know it.
func (n *Node) explainLoad(ctx context.Context, demand planner.Demand) (explainer.Load, error) {
	explanation, err := n.planner.Explain(ctx, demand)
	load := explainer.Load{Explanation: explanation}
	if holder := n.holder.Load(); holder != nil && !explanation.Holding {
		load.Holder, load.HolderAddress = holder.name, holder.address
	}
	return load, err
}

// observeReplicas records when the list of replicas was known to be current.
func (v *view) observeReplicas(asOf time.Time) {
	for {
		known := v.replicasAsOf.Load()
		if known != nil && !asOf.After(*known) || v.replicasAsOf.CompareAndSwap(known, &asOf) {
			return
		}
	}
}
