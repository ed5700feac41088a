package resolver

import (
	"maps"
	"slices"
	"strings"
)

// IntersectRegions returns the sorted regions whose replicas may run a request of a route and
// a workspace, each of which may have a list of allowed regions. It returns nil if neither
// has one, and an empty slice if no region is allowed.
func IntersectRegions(route, workspace []string) []string {
	allowed := route
	switch {
	case len(route) == 0 && len(workspace) == 0:
		return nil
	case len(route) == 0:
		allowed = workspace
	}
	regions := []string{}
	for _, region := range allowed {
		if len(workspace) == 0 || slices.Contains(workspace, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// DataCentresIn returns the sorted data centres of regions, by a map from data centres to
// their regions.
func DataCentresIn(regions []string, regionOf map[string]string) []string {
	dataCentres := []string{}
	for _, dataCentre := range slices.Sorted(maps.Keys(regionOf)) {
		if slices.Contains(regions, regionOf[dataCentre]) {
			dataCentres = append(dataCentres, dataCentre)
		}
	}
	return dataCentres
}

// AllowedRegions returns the regions that all routes of a host allow which have such a list,
// and false if none has one.
func (c *Configuration) AllowedRegions(host string) ([]string, bool) {
	var regions []string
	restricted := false
	for _, route := range c.Routes {
		if len(route.AllowedRegions) == 0 || !strings.EqualFold(route.Host, host) {
			continue
		}
		if !restricted {
			regions, restricted = route.AllowedRegions, true
			continue
		}
		if regions = IntersectRegions(regions, route.AllowedRegions); len(regions) == 0 {
			return nil, true
		}
	}
	return regions, restricted
}
