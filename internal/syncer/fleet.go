package syncer

import (
	"cmp"
	"maps"
	"slices"

	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// maxKeptReports bounds the number of this node's reports that are kept until the
// holder's state contains them. The state is younger than two exchanges.
const maxKeptReports = 16

// Fleet is the holder's state as assembled from its answers.
type Fleet struct {
	Epoch, Version uint64
	// ReplicaIDs are the sorted IDs of the table of replicas.
	ReplicaIDs []string
	// Callers are the nodes that callers may use, sorted by address.
	Callers    []planner.Caller
	Workspaces []string
	// Assignments are those of streams to software versions, sorted by key.
	Assignments []resumer.Assignment
}

// Usage is the usage by the other nodes.
type Usage struct {
	// Active counts running requests by replica.
	Active map[string]int
	// Suspects are the replicas that other live nodes suspect.
	Suspects []string
	// RateLimits holds the limits of replicas in requests a second, or planner.NoLimit,
	// as far as the holder knows them.
	RateLimits map[string]float64 `json:",omitempty"`
	// Brittle holds the brittle replicas, with the requests that each can turn away in a
	// second.
	Brittle map[string]int `json:",omitempty"`
	// BrittleUnknown is set if the holder does not recognize brittle replicas.
	BrittleUnknown bool `json:",omitempty"`
	// Spent counts units consumed in the holder's epoch, by workspace.
	Spent []planner.Spent
}

// apply updates the fleet by a state of the holder. Slices that were published
// before are not modified.
func (f *Fleet) apply(state *planner.State) {
	if state.Full {
		*f = Fleet{}
	}
	f.Epoch, f.Version = state.Epoch, state.Version
	replicaID := func(replica surveyor.Replica) string { return replica.ID }
	f.ReplicaIDs = merge(f.ReplicaIDs, keys(state.Replicas, replicaID), state.Removed, func(id string) string { return id })
	f.Callers = merge(f.Callers, state.Callers, state.RemovedCallers, callerAddress)
	f.Assignments = merge(f.Assignments, state.Assignments, state.RemovedAssignments, resumer.Assignment.Key)
	if state.Workspaces != nil {
		f.Workspaces = state.Workspaces
	}
}

func callerAddress(caller planner.Caller) string { return caller.Address }

func keys[V any](values []V, key func(V) string) []string {
	result := make([]string, 0, len(values))
	for _, value := range values {
		result = append(result, key(value))
	}
	return result
}

// merge returns the list, sorted by key, with the changed entries replaced or added
// and the removed ones left out.
func merge[V any](list, changed []V, removed []string, key func(V) string) []V {
	if len(changed)+len(removed) == 0 {
		return list
	}
	byKey := make(map[string]V, len(list)+len(changed))
	for _, entry := range list {
		byKey[key(entry)] = entry
	}
	for _, name := range removed {
		delete(byKey, name)
	}
	for _, entry := range changed {
		byKey[key(entry)] = entry
	}
	return slices.SortedFunc(maps.Values(byKey), func(a, b V) int { return cmp.Compare(key(a), key(b)) })
}

// usageOfOthers returns the usage in the holder's state without what this node
// itself has reported. The report is the one that the state contains; it is empty
// if the state contains none.
func (f *Fleet) usageOfOthers(state *planner.State, own planner.Report) Usage {
	usage := Usage{Active: map[string]int{}, Brittle: state.Brittle, BrittleUnknown: state.BrittleUnknown}
	for i, count := range state.Active {
		if i < len(f.ReplicaIDs) && count > 0 {
			usage.Active[f.ReplicaIDs[i]] = count
		}
	}
	for i, rate := range state.RateLimits {
		if i < len(f.ReplicaIDs) && rate != 0 {
			if usage.RateLimits == nil {
				usage.RateLimits = map[string]float64{}
			}
			usage.RateLimits[f.ReplicaIDs[i]] = rate
		}
	}
	for _, running := range own.Running {
		if usage.Active[running.Replica] -= running.Count; usage.Active[running.Replica] <= 0 {
			delete(usage.Active, running.Replica)
		}
	}
	for id, count := range state.Suspects {
		if count > 1 || !slices.Contains(own.Suspects, id) {
			usage.Suspects = append(usage.Suspects, id)
		}
	}
	slices.Sort(usage.Suspects)
	consumed := make(map[string]float64, len(own.Spent))
	for _, spent := range own.Spent {
		consumed[spent.Workspace] = spent.Consumed(own.UsageEpoch, state.Epoch)
	}
	for i, units := range state.Spent {
		if i < len(f.Workspaces) {
			workspace := f.Workspaces[i]
			usage.Spent = append(usage.Spent, planner.Spent{Workspace: workspace, Units: units - consumed[workspace]})
		}
	}
	return usage
}

// keepReport keeps a report until the holder's state contains it or a later one.
// Only what usageOfOthers needs is kept.
func (c *Controller) keepReport(report planner.Report) {
	c.Reports = append(c.Reports, planner.Report{
		Sequence: report.Sequence, Running: report.Running, Suspects: report.Suspects, Spent: report.Spent, UsageEpoch: report.UsageEpoch,
	})
	if len(c.Reports) > maxKeptReports {
		c.Reports = c.Reports[1:]
	}
}

// reportIncluded returns the kept report with a sequence number and discards those
// before it. The report is empty if there is none.
func (c *Controller) reportIncluded(sequence uint64) planner.Report {
	c.Reports = slices.DeleteFunc(c.Reports, func(report planner.Report) bool { return report.Sequence < sequence })
	if len(c.Reports) > 0 && c.Reports[0].Sequence == sequence {
		return c.Reports[0]
	}
	return planner.Report{}
}
