package assembler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/platform"
)

const (
	// directoryBound is the time beyond that of contact after which a node that has ended
	// must not be named. directoryMargin is the part of it that is left for the last report
	// of the node to arrive and for the response to reach the caller.
	directoryBound  = 3 * time.Second
	directoryMargin = 500 * time.Millisecond
	// defaultCallerAge is the age up to which a node is named if the time of contact is not
	// known: 6 s after the last answer of a holder, longer than there is none after a crash.
	defaultCallerAge = 6*time.Second + planner.MaxCallerSilence
)

// maxCallerAge returns the age that the last sign of life of a node may have for the node to
// be named to callers.
func maxCallerAge(bounds platform.Bounds) time.Duration {
	if bounds.ContactTime <= 0 {
		return defaultCallerAge
	}
	return bounds.ContactTime + directoryBound - directoryMargin
}

// directory holds the nodes that callers may use, as received from a holder.
type directory struct{ entries []directoryEntry }

// directoryEntry is a node with the latest time of which it is certain that the node lived.
type directoryEntry struct {
	planner.Caller
	confirmedAt time.Time
}

// update returns the directory after a state of a holder as of asOf. Callers are all nodes
// that it publishes, of which it has sent the changed ones. A node that has reported to it is
// listed until MaxCallerSilence after its last report. What the holder knows from an earlier
// one keeps its age.
func (d *directory) update(callers, changed []planner.Caller, asOf time.Time) *directory {
	confirmedAt := map[string]time.Time{}
	if d != nil {
		for _, entry := range d.entries {
			confirmedAt[entry.Address] = entry.confirmedAt
		}
	}
	for _, caller := range changed {
		confirmedAt[caller.Address] = asOf.Add(-caller.ConfirmedAge)
	}
	next := &directory{entries: make([]directoryEntry, 0, len(callers))}
	for _, caller := range callers {
		entry := directoryEntry{caller, confirmedAt[caller.Address]}
		if caller.ConfirmedAge == 0 {
			entry.confirmedAt = asOf.Add(-planner.MaxCallerSilence)
		}
		next.entries = append(next.entries, entry)
	}
	return next
}

// callers returns the nodes whose age is below maxAge, with their ages.
func (d *directory) callers(now time.Time, maxAge time.Duration) []planner.Caller {
	if d == nil {
		return nil
	}
	var callers []planner.Caller
	for _, entry := range d.entries {
		if age := now.Sub(entry.confirmedAt); age < maxAge {
			entry.ConfirmedAge = age
			callers = append(callers, entry.Caller)
		}
	}
	return callers
}

// directoryRegions restricts the nodes that are named to a caller.
type directoryRegions struct {
	// Restricted is set if routes of the host have allowed regions. Allowed are those that
	// all of these routes allow, and Own is the region of the caller.
	Restricted bool
	Allowed    []string
	Own        string
	// RegionOf holds the regions of data centres.
	RegionOf map[string]string
}

// findRegions returns the restriction of a query. The configuration may be nil.
func findRegions(configuration *resolver.Configuration, query platform.AddressQuery, regionOf map[string]string) directoryRegions {
	regions := directoryRegions{Own: cmp.Or(query.Region, regionOf[query.DataCentre]), RegionOf: regionOf}
	if configuration != nil && query.Host != "" {
		regions.Allowed, regions.Restricted = configuration.AllowedRegions(query.Host)
	}
	return regions
}

func (r directoryRegions) contain(caller planner.Caller) bool {
	region := r.RegionOf[caller.DataCentre]
	return region != "" && (region == r.Own || slices.Contains(r.Allowed, region))
}

// chooseAddresses returns the caller addresses of an answer, sampled by capacity and in random
// order. Nodes with a larger capacity are included more often. If the regions exclude all
// nodes, they do not apply: the node that gets the request sends it to a replica in an allowed
// region.
func chooseAddresses(callers []planner.Caller, regions directoryRegions) []string {
	if regions.Restricted {
		within := slices.DeleteFunc(slices.Clone(callers), func(caller planner.Caller) bool { return !regions.contain(caller) })
		if len(within) > 0 {
			callers = within
		}
	}
	addresses := make([]string, 0, len(callers))
	keys := make(map[string]float64, len(callers))
	for _, caller := range callers {
		addresses = append(addresses, caller.Address)
		// The smallest keys of exponential draws with rate equal to the weight
		// form a weighted sample without replacement.
		keys[caller.Address] = rand.ExpFloat64() / max(caller.Capacity, minCapacity)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(keys[a], keys[b]) })
	return addresses[:min(maxAddresses, len(addresses))]
}
