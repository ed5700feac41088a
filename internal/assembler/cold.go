package assembler

import (
	"sync/atomic"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/syncer"
	"toucanhitch.example/toucanhitch/platform"
)

// coldCounts holds the metrics of cold replicas.
type coldCounts struct{ replicas, heldBack atomic.Int64 }

func (c *coldCounts) record(note balancer.Note) {
	if note.Source != "" {
		c.replicas.Store(int64(note.ColdReplicas))
		c.heldBack.Add(int64(note.HeldBack))
	}
}

// setColdRules passes what cold replicas bear to the balancer.
func (n *Node) setColdRules(configuration *resolver.Configuration) {
	if configuration != nil {
		n.logPostError("balancer", n.balancer.Post(balancer.SetColdRules{Rules: coldRules(configuration, *n.bounds.Load())}))
	}
}

// coldRules returns the rules of the services whose replicas may be cold, nil if there are
// none.
func coldRules(configuration *resolver.Configuration, bounds platform.Bounds) map[string]balancer.ColdRule {
	var rules map[string]balancer.ColdRule
	for name, service := range configuration.Services {
		if service.ColdRate <= 0 {
			continue
		}
		if rules == nil {
			rules = map[string]balancer.ColdRule{}
		}
		rules[name] = balancer.ColdRule{
			Time: service.ColdTime, Rate: service.ColdRate, MaxPerSecond: service.ColdRate*bounds.ColdOverage + bounds.ColdSlack,
		}
	}
	return rules
}

// setBalancerNodes tells the balancer which nodes share the cold replicas.
func (n *Node) setBalancerNodes(effect syncer.HolderAnswered) {
	addresses := make([]string, 0, len(effect.Callers))
	for _, caller := range effect.Callers {
		addresses = append(addresses, callerAddress(caller))
	}
	n.setGranters(effect.Callers)
	n.logPostError("balancer", n.balancer.Post(balancer.SetNodes{
		Self: n.self.CallerAddress, Nodes: addresses, Registered: effect.Answer.State.Registered,
	}))
}

func callerAddress(caller planner.Caller) string { return caller.Address }
