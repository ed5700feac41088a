package forwarder

import (
	"context"
	"strings"
	"sync"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/resolver"
)

const (
	// regionsRetryAfter is the retry delay of a request that no region may run: only a
	// change of the configuration helps, which takes some seconds to be in force.
	regionsRetryAfter = 5 * time.Second
	// maxRegionsLogged bounds the routes and workspaces that are logged for one version of
	// the configuration.
	maxRegionsLogged = 1000
)

// RestrictRegions restricts a request to the data centres in the regions that its route and
// its workspace allow. It refuses requests that no region may run.
type RestrictRegions struct {
	View ConfigurationView
	// Regions holds the regions of data centres. A data centre without one is in no
	// allowed region.
	Regions map[string]string
	// Log is called once for each version of the configuration, route and workspace that
	// exclude each other.
	Log func(version uint64, route, workspace string)

	mutex sync.Mutex
	// logged holds the routes and workspaces that were logged for the version.
	logged  map[[2]string]bool
	version uint64
}

// Filter implements filter.Filter.
func (f *RestrictRegions) Filter(_ context.Context, request *filter.Request) filter.Verdict {
	forward := request.Work.(*filter.Forward)
	dataCentres, detail := AllowedDataCentres(forward.Route, forward.Workspace, f.Regions)
	if detail != "" {
		f.log(forward)
		return newRefusal(filter.NoEndpoint, filter.NotRun, regionsRetryAfter, detail)
	}
	forward.DataCentres = dataCentres
	return filter.Pass{}
}

// AllowedDataCentres returns the sorted data centres whose replicas may run a request of a route
// and a workspace, nil for all. If there is none, it returns the reason.
func AllowedDataCentres(route resolver.Route, workspace resolver.Workspace, regionOf map[string]string) ([]string, string) {
	regions := resolver.IntersectRegions(route.AllowedRegions, workspace.AllowedRegions)
	switch {
	case regions == nil:
		return nil, ""
	case len(regions) == 0:
		return nil, "the route and the workspace allow no common region"
	}
	dataCentres := resolver.DataCentresIn(regions, regionOf)
	if len(dataCentres) == 0 {
		return nil, "the allowed regions have no data centre: " + strings.Join(regions, ", ")
	}
	return dataCentres, ""
}

func (f *RestrictRegions) log(forward *filter.Forward) {
	configuration, _ := f.View.Configuration()
	if configuration == nil {
		return
	}
	key := [2]string{forward.Route.Name, forward.Workspace.Name}
	f.mutex.Lock()
	if f.logged == nil || f.version != configuration.Version {
		f.logged, f.version = map[[2]string]bool{}, configuration.Version
	}
	isNew := !f.logged[key] && len(f.logged) < maxRegionsLogged
	if isNew {
		f.logged[key] = true
	}
	f.mutex.Unlock()
	if isNew {
		f.Log(configuration.Version, key[0], key[1])
	}
}
