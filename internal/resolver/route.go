package resolver

import "strings"

// Route returns the route of a host with the longest prefix that begins the
// path, and false if there is none.
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

// Service picks the service of a request; point is in [0, 1) and spreads
// requests over the targets by weight.
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

// Authorize returns the workspace of a key digest, and false if no workspace
// holds the key.
func (c *Configuration) Authorize(digest string) (Workspace, bool) {
	name, ok := c.Keys[digest]
	if !ok {
		return Workspace{}, false
	}
	workspace, ok := c.Workspaces[name]
	return workspace, ok
}

// Cost returns the units that a request takes from the workspace's limit;
// tokens is 0 for a request without a token count.
func (w Workspace) Cost(tokens int) float64 {
	switch {
	case !w.CountTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return w.DefaultTokens
}
