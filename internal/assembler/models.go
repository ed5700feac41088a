package assembler

import (
	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

// setModels passes the sizes of the models and of the replicas' caches to the balancer if the configuration is a new one.
func (n *Node) setModels(configuration *resolver.Configuration) {
	if current := n.view.configuration.Load(); configuration == nil || current != nil && current.configuration == configuration {
		return
	}
	sizes, cacheTokens := map[string]map[string]float64{}, map[string]int{}
	for name, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		if service.Engine.ReportsCache() {
			cacheTokens[name] = service.Engine.KVTokens
		}
		sizes[name] = make(map[string]float64, len(service.Engine.Models))
		for _, model := range service.Engine.Models {
			sizes[name][model.Name] = model.MemoryMB
		}
	}
	n.logPostError("balancer", n.balancer.Post(balancer.SetModels{Sizes: sizes, CacheTokens: cacheTokens}))
	n.setCacheReplicas(configuration, n.cacher.replicas)
}
