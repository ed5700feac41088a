package assembler

import (
	"slices"

	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/platform"
)

// cacheReader reads what replicas keep. replicas is the last list, which only the surveyor's
// effects use, and nodes the last list of nodes, which only those of the syncer use.
type cacheReader struct {
	*cacher.Task
	replicas []surveyor.Replica
	nodes    []string
}

func (n *Node) createCacher(engines *platform.EngineClient) {
	n.cacher.Task = cacher.New(cacher.Settings{
		Self:       n.self.CallerAddress,
		Clock:      n.clock,
		Seed:       seed(n.self.RunID),
		ReadEvents: engines.CacheEvents,
		Publish:    n.applyCacherEffect,
	})
}

func (n *Node) applyCacherEffect(effect cacher.Effect) {
	switch effect := effect.(type) {
	case cacher.Observed:
		n.logPostError("balancer", n.balancer.Post(balancer.CacheEvents{
			Replica: effect.Target.Replica, StartedMS: effect.Target.StartedMS, Gap: effect.Gap, Events: effect.Events,
		}))
	case cacher.Note:
		n.meter.RecordChange("cacher", effect.Text)
		n.logger.WithFields(logrus.Fields{"Replica": effect.Replica}).Info(effect.Text)
	}
}

// setCacheReplicas passes the replicas that report what they keep to the reader.
func (n *Node) setCacheReplicas(configuration *resolver.Configuration, replicas []surveyor.Replica) {
	n.cacher.replicas = replicas
	if configuration == nil {
		return
	}
	var targets []cacher.Target
	for _, replica := range replicas {
		if engine := configuration.Services[replica.Service].Engine; engine != nil && engine.ReportsCache() && !replica.Leaving && !replica.Evacuated {
			targets = append(targets, cacher.Target{Replica: replica.ID, StartedMS: replica.StartedMS, Address: replica.Address})
		}
	}
	n.logPostError("cacher", n.cacher.Post(cacher.SetReplicas{Replicas: targets}))
}

// setCacheNodes passes the nodes that share the reading of replicas to the reader.
func (n *Node) setCacheNodes(callers []planner.Caller) {
	nodes := make([]string, 0, len(callers))
	for _, caller := range callers {
		nodes = append(nodes, caller.Address)
	}
	if slices.Equal(n.cacher.nodes, nodes) {
		return
	}
	n.cacher.nodes = nodes
	n.logPostError("cacher", n.cacher.Post(cacher.SetNodes{Nodes: nodes}))
}
