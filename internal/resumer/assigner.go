package resumer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// maxPast bounds the earlier shares of a model. While there are as many, its shares stay as
// they are.
const maxPast = 8

// Assigner decides at which software versions the streams of each model begin, for the services
// with more than one version. The holder decides; the other nodes keep what it has published in
// case that they become the holder.
type Assigner struct {
	Models map[ModelKey]*Assigned
	// Services holds the services with more than one version.
	Services map[string]*Tracking
}

// Tracking is since when the streams of a service are assigned, and the versions that may have
// begun streams before.
type Tracking struct {
	Since  time.Time
	Before []string
}

// Assigned is the assignment of one model.
type Assigned struct {
	Current []Share
	// Next comes into force once all nodes know it, which was announced at NextAt. NextStored
	// is set if the lease contains it.
	Next       []Share
	NextAt     time.Time
	NextStored bool
	Past       []Past
}

// Past are shares under which streams may have begun that callers take up again until a time.
type Past struct {
	Shares []Share
	Until  time.Time
}

// Fleet is what the holder knows of the fleet when it assigns streams.
type Fleet struct {
	// Replicas are those that may begin streams, with the models that they have.
	Replicas []surveyor.Replica
	// Lifetimes are the times for which callers take streams of a service up again.
	Lifetimes map[string]time.Duration
	// ViewLifetime is the time after which a node uses no older state to work out origins.
	ViewLifetime time.Duration
}

// lifetime returns the time for which shares that are not in force any more may have begun
// streams of a service that go on.
func (f Fleet) lifetime(service string) time.Duration {
	lifetime, ok := f.Lifetimes[service]
	if !ok || lifetime > StreamLifetime {
		lifetime = StreamLifetime
	}
	return lifetime + f.ViewLifetime
}

// Assign adapts the assignments to the fleet and the versions that the register knows.
func (r *Register) Assign(now time.Time, fleet Fleet) {
	r.track(now)
	for key, shares := range r.countReplicas(fleet.Replicas) {
		assigned := r.Assigner.Models[key]
		if assigned == nil {
			r.Assigner.Models[key] = r.firstAssignment(now, key, shares, fleet)
			assigned = r.Assigner.Models[key]
		}
		switch same := slices.Equal(assigned.Current, shares); {
		case same:
			assigned.Next = nil
		case assigned.Next == nil && len(assigned.Past) < maxPast:
			assigned.Next, assigned.NextAt, assigned.NextStored = shares, now, false
		}
	}
	for key, assigned := range r.Assigner.Models {
		assigned.advance(now, fleet.ViewLifetime, fleet.lifetime(key.Service))
	}
}

// track begins to assign the streams of services that have more than one version, and ceases to
// assign those of the others.
func (r *Register) track(now time.Time) {
	a := &r.Assigner
	for service, versions := range r.Services {
		if len(versions) < 2 || a.Services[service] != nil {
			continue
		}
		tracking := &Tracking{Since: now}
		for _, name := range slices.Sorted(maps.Keys(versions)) {
			if versions[name].Begins {
				tracking.Before = append(tracking.Before, name)
			}
		}
		a.Services[service] = tracking
	}
	maps.DeleteFunc(a.Services, func(service string, _ *Tracking) bool { return len(r.Services[service]) < 2 })
	maps.DeleteFunc(a.Models, func(key ModelKey, _ *Assigned) bool { return a.Services[key.Service] == nil })
}

// countReplicas returns the shares of each model and adapter of the services that are tracked.
func (r *Register) countReplicas(replicas []surveyor.Replica) map[ModelKey][]Share {
	counts := map[ModelKey][]Share{}
	if len(r.Assigner.Services) == 0 {
		return counts
	}
	add := func(key ModelKey, version string) {
		shares := counts[key]
		i, found := slices.BinarySearchFunc(shares, version, func(share Share, version string) int { return cmp.Compare(share.Version, version) })
		if !found {
			shares = slices.Insert(shares, i, Share{Version: version})
		}
		shares[i].Replicas++
		counts[key] = shares
	}
	for _, replica := range replicas {
		if r.Assigner.Services[replica.Service] == nil {
			continue
		}
		if len(replica.Models) == 0 {
			add(ModelKey{Service: replica.Service}, replica.Version) // for streams without a model
		}
		for _, model := range replica.Models {
			add(ModelKey{Service: replica.Service, Model: model.Name}, replica.Version)
			for _, adapter := range model.Adapters {
				add(ModelKey{replica.Service, model.Name, adapter}, replica.Version)
			}
		}
	}
	return counts
}

// firstAssignment returns the assignment of a model that had none. While only some of its
// versions begin streams, these get all of them. As long as streams may go on that began before
// the service was tracked, these may have begun at any version of then.
func (r *Register) firstAssignment(now time.Time, key ModelKey, shares []Share, fleet Fleet) *Assigned {
	begun := slices.DeleteFunc(slices.Clone(shares), func(share Share) bool {
		sighting := r.Services[key.Service][share.Version]
		return sighting == nil || !sighting.Begins
	})
	if len(begun) == 0 {
		begun = shares
	}
	assigned := &Assigned{Current: begun}
	tracking := r.Assigner.Services[key.Service]
	if until := tracking.Since.Add(fleet.lifetime(key.Service)); now.Before(until) {
		for _, version := range tracking.Before {
			assigned.Past = append(assigned.Past, Past{[]Share{{version, 1}}, until})
		}
	}
	return assigned
}

// advance puts the next shares in force if all nodes know them and the lease contains them, and
// forgets those of which no streams are left. A lease that cannot be written delays them by
// maxUnstoredTime only.
func (a *Assigned) advance(now time.Time, viewLifetime, lifetime time.Duration) {
	wait := viewLifetime
	if !a.NextStored {
		wait += maxUnstoredTime
	}
	if a.Next != nil && now.Sub(a.NextAt) >= wait {
		a.Past = append(a.Past, Past{a.Current, now.Add(lifetime)})
		a.Current, a.Next = a.Next, nil
	}
	a.Past = slices.DeleteFunc(a.Past, func(past Past) bool { return !now.Before(past.Until) })
}

// Assignments returns the assignments of all models, sorted by key.
func (r *Register) Assignments(now time.Time) []Assignment {
	var assignments []Assignment
	for key := range r.Assigner.Models {
		assignments = append(assignments, r.Assignment(now, key))
	}
	slices.SortFunc(assignments, func(a, b Assignment) int { return cmp.Compare(a.Key(), b.Key()) })
	return assignments
}

// Assignment returns the assignment of a model. One without shares stands for a model that has
// none.
func (r *Register) Assignment(now time.Time, key ModelKey) Assignment {
	assigned := r.Assigner.Models[key]
	if assigned == nil {
		return Assignment{ModelKey: key}
	}
	assignment := Assignment{ModelKey: key, Current: assigned.Current}
	add := func(shares []Share, left time.Duration) {
		known := func(other OtherShares) bool { return slices.Equal(other.Shares, shares) }
		if i := slices.IndexFunc(assignment.Others, known); i >= 0 {
			assignment.Others[i].TimeLeft = max(assignment.Others[i].TimeLeft, left)
		} else if len(shares) > 0 && !slices.Equal(shares, assigned.Current) {
			assignment.Others = append(assignment.Others, OtherShares{shares, left})
		}
	}
	for _, past := range assigned.Past {
		add(past.Shares, max(0, past.Until.Sub(now)))
	}
	// The next shares matter for as long as streams last once another holder has put them in
	// force.
	add(assigned.Next, StreamLifetime)
	return assignment
}

// InheritAssignments adopts the assignments that another holder has published or left in the
// lease. Shares that are not in force may have been any time ago, and those that were in force
// before may still be so elsewhere.
func (r *Register) InheritAssignments(now time.Time, assignments []Assignment, fleet Fleet) {
	listed := make(map[ModelKey]bool, len(assignments))
	for _, assignment := range assignments {
		listed[assignment.ModelKey] = true
		until := now.Add(fleet.lifetime(assignment.Service))
		previous := r.Assigner.Models[assignment.ModelKey]
		if previous == nil {
			previous = &Assigned{}
		}
		next := &Assigned{Current: assignment.Current}
		if len(previous.Current) > 0 {
			next.addPast(previous.Current, until)
		}
		for _, others := range assignment.Others {
			next.addPast(others.Shares, earlier(until, now.Add(others.TimeLeft)))
		}
		r.Assigner.Models[assignment.ModelKey] = next
	}
	maps.DeleteFunc(r.Assigner.Models, func(key ModelKey, _ *Assigned) bool { return !listed[key] })
	// The streams of models that are not listed may have begun at any version until now.
	clear(r.Assigner.Services)
}

// addPast records that streams may have begun under shares that are not in force.
func (a *Assigned) addPast(shares []Share, until time.Time) {
	if !slices.Equal(shares, a.Current) {
		a.Past = append(a.Past, Past{shares, until})
	}
}

// MarkAssigned records that the lease contains assignments.
func (r *Register) MarkAssigned(assignments []Assignment) {
	for _, assignment := range assignments {
		assigned := r.Assigner.Models[assignment.ModelKey]
		if assigned != nil && slices.ContainsFunc(assignment.Others, func(others OtherShares) bool { return slices.Equal(others.Shares, assigned.Next) }) {
			assigned.NextStored = true
		}
	}
}
