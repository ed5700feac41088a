package resolver

import "strings"

// FindRoute returns the host's route with the longest prefix of the path, and false
// if there is none.
func (c *Configuration) FindRoute(host, path string) (Route, bool) {
	best := -1
	for i, route := range c.Routes {
		if !strings.EqualFold(route.Host, host) || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best < 0 || len(route.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// PickService returns the service of a request, or "" if the route has no targets.
// Points that are uniformly distributed in [0, 1) spread requests over the targets
// in proportion to their weights.
func (r Route) PickService(point float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	offset := point * float64(total)
	for _, target := range r.Targets {
		offset -= float64(target.Weight)
		if offset < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Authorize returns the workspace that owns the key with a digest, and false if
// there is none.
func (c *Configuration) Authorize(digest string) (Workspace, bool) {
	name, ok := c.Keys[digest]
	if !ok {
		return Workspace{}, false
	}
	workspace, ok := c.Workspaces[name]
	return workspace, ok
}

// Cost returns the number of units that a request consumes from the workspace's
// limit. tokens is 0 for a request without a token count.
func (w Workspace) Cost(tokens int) float64 {
	switch {
	case !w.CountTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return w.DefaultTokens
}
