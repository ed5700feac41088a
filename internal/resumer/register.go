package resumer

import (
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// StreamLifetime is the time for which callers take a stream up again. It is above the
	// longest time limit of a caller.
	StreamLifetime = time.Minute
	// minViewLifetime is the minimum time for which a list of replicas proves that there is
	// no other version. It grows with the number of nodes by viewLifetimePerNode, because
	// the exchanges with the holder do.
	minViewLifetime     = 2 * time.Second
	viewLifetimePerNode = 2 * time.Millisecond
	// maxUnstoredTime is the time beyond the lifetime of a view after which a version begins
	// streams although the lease does not contain it. The other replicas may be leaving.
	maxUnstoredTime = time.Second
	// maxLearningGap is the time without news after which a version may have come and gone
	// unnoticed.
	maxLearningGap = 10 * time.Second
)

// Register knows the versions that may have begun the streams of now. The holder of the
// placement lease publishes it; the other nodes keep theirs in case that they become the
// holder.
type Register struct {
	Services map[string]map[string]*Sighting
	// Complete is set if there is certainly no other version. LearningSince is the start
	// of the time without gaps up to LearnedAt in which this node learned of all versions.
	Complete                 bool
	LearningSince, LearnedAt time.Time
	// AsOf is when the latest list or publication that this node has learned from was
	// current.
	AsOf time.Time
	// Assigner assigns streams to versions. Assigned is set if all nodes certainly begin them
	// so, and have for as long as streams last.
	Assigner Assigner
	Assigned bool
}

// Sighting is what is known of a version of a service.
type Sighting struct {
	// FirstAt and LastAt are when this node first and last learned of the version.
	FirstAt, LastAt time.Time
	// MissingAt is when the version was certainly not listed yet, the zero time if that is
	// not known. Other nodes may have learned of it at any time since then.
	MissingAt time.Time
	// Stored is set if the lease contains the version.
	Stored bool
	// Begins is set once the version may begin streams.
	Begins bool
}

// Published is what the holder publishes about versions, as of its list of replicas.
type Published struct {
	Services []Service `json:",omitempty"`
	// Complete is set if there is certainly no other version.
	Complete bool `json:",omitempty"`
	// ViewLifetime is the time from the list for which this holds. A new version begins no
	// streams for as long.
	ViewLifetime time.Duration `json:",omitempty"`
	// Assigned is set if all nodes begin streams as assigned. Builds before the assignments
	// lack it.
	Assigned bool `json:",omitempty"`
	// KeepersUnknown is set while the publishing node may not know all nodes that keep origins.
	// Then a stream that no keeper knows may have begun elsewhere than it was assigned.
	KeepersUnknown bool `json:",omitempty"`
}

// Service lists the versions that may have begun streams of a service or will soon.
type Service struct {
	Name     string
	Versions []Version
}

// Version is a software version of a service.
type Version struct {
	Name string
	// BeginsIn is the time before which it begins no streams at nodes that follow the
	// publishing one, and MayBeginIn that before which it begins none at any node.
	BeginsIn   time.Duration `json:",omitempty"`
	MayBeginIn time.Duration `json:",omitempty"`
}

// ViewLifetime returns the time for which a list of replicas proves, among a number of nodes, that
// there is no other version.
func ViewLifetime(nodes int) time.Duration {
	return minViewLifetime + time.Duration(nodes)*viewLifetimePerNode
}

// NewRegister returns a register that knows nothing.
func NewRegister() *Register {
	return &Register{
		Services: map[string]map[string]*Sighting{},
		Assigner: Assigner{Models: map[ModelKey]*Assigned{}, Services: map[string]*Tracking{}},
	}
}

// Observe adds the versions of a list of replicas that was current at a time. The first
// versions of a service begin streams at once.
func (r *Register) Observe(now, asOf time.Time, replicas []surveyor.Replica) {
	r.learn(now)
	missingAt := r.AsOf
	if asOf.Before(missingAt) {
		missingAt = asOf
	}
	r.advance(asOf)
	known := map[string]bool{}
	for service := range r.Services {
		known[service] = true
	}
	for _, replica := range replicas {
		sighting, isNew := r.sighting(now, replica.Service, replica.Version)
		if isNew {
			sighting.MissingAt = missingAt
		}
		sighting.Begins = sighting.Begins || !known[replica.Service]
	}
	r.expire(now)
}

// Inherit adds what another holder has published, as of the time at which its list of
// replicas was current.
func (r *Register) Inherit(now, asOf time.Time, published Published) {
	r.learn(now)
	r.advance(asOf)
	r.Complete = r.Complete || published.Complete
	r.Assigned = r.Assigned || published.Assigned
	for _, service := range published.Services {
		for _, version := range service.Versions {
			sighting, isNew := r.sighting(now, service.Name, version.Name)
			sighting.Begins = sighting.Begins || version.BeginsIn == 0
			missingAt := time.Time{}
			if version.MayBeginIn > 0 {
				missingAt = now.Add(version.MayBeginIn - minViewLifetime)
			}
			if isNew {
				sighting.FirstAt = now.Add(version.BeginsIn - published.ViewLifetime - maxUnstoredTime)
			}
			if isNew || missingAt.Before(sighting.MissingAt) {
				sighting.MissingAt = missingAt
			}
		}
	}
	r.expire(now)
}

// InheritStored adds the versions that the lease contains. It is not known since when it
// does, so that a version begins streams as if it had been listed now, unless this node knows
// more of it or nothing of its service.
func (r *Register) InheritStored(now time.Time, published Published) {
	r.learn(now)
	r.Complete = r.Complete || published.Complete
	r.Assigned = r.Assigned || published.Assigned
	for _, service := range published.Services {
		_, knownService := r.Services[service.Name]
		for _, version := range service.Versions {
			sighting, _ := r.sighting(now, service.Name, version.Name)
			sighting.Stored, sighting.MissingAt = true, time.Time{}
			sighting.Begins = sighting.Begins || !knownService
		}
	}
	r.expire(now)
}

// advance records the time of a list.
func (r *Register) advance(asOf time.Time) {
	if asOf.After(r.AsOf) {
		r.AsOf = asOf
	}
}

// learn records that this node learns of all versions now.
func (r *Register) learn(now time.Time) {
	if now.Sub(r.LearnedAt) > maxLearningGap {
		r.Complete, r.Assigned, r.LearningSince = false, false, now
	}
	r.LearnedAt = now
	r.Complete = r.Complete || now.Sub(r.LearningSince) >= StreamLifetime
}

// sighting returns what is known of a version as of now. isNew is set if it was not known.
func (r *Register) sighting(now time.Time, service, version string) (sighting *Sighting, isNew bool) {
	versions := r.Services[service]
	if versions == nil {
		versions = map[string]*Sighting{}
		r.Services[service] = versions
	}
	sighting = versions[version]
	if isNew = sighting == nil; isNew {
		sighting = &Sighting{FirstAt: now}
		versions[version] = sighting
	}
	sighting.LastAt = now
	return sighting, isNew
}

// expire forgets the versions whose streams have ended.
func (r *Register) expire(now time.Time) {
	for name, versions := range r.Services {
		maps.DeleteFunc(versions, func(_ string, s *Sighting) bool { return now.Sub(s.LastAt) > StreamLifetime })
		if len(versions) == 0 {
			delete(r.Services, name)
		}
	}
}

// MarkStored records that the lease contains the versions.
func (r *Register) MarkStored(services []Service) {
	for _, service := range services {
		for _, version := range service.Versions {
			if sighting := r.Services[service.Name][version.Name]; sighting != nil {
				sighting.Stored = true
			}
		}
	}
}

// Names returns the versions of each service, sorted.
func (r *Register) Names() []Service {
	var services []Service
	for _, name := range slices.Sorted(maps.Keys(r.Services)) {
		service := Service{Name: name}
		for _, version := range slices.Sorted(maps.Keys(r.Services[name])) {
			service.Versions = append(service.Versions, Version{Name: version})
		}
		services = append(services, service)
	}
	return services
}

// Publish returns what a number of nodes need to know.
func (r *Register) Publish(now time.Time, nodes int) Published {
	published := Published{
		Services:     r.Names(),
		Complete:     r.Complete,
		Assigned:     r.Assigned,
		ViewLifetime: ViewLifetime(nodes),
	}
	for _, service := range published.Services {
		for i, version := range service.Versions {
			sighting := r.Services[service.Name][version.Name]
			service.Versions[i].BeginsIn = sighting.beginsIn(now, published.ViewLifetime)
			service.Versions[i].MayBeginIn = sighting.mayBeginIn(now)
		}
	}
	return published
}

func (s *Sighting) beginsIn(now time.Time, wait time.Duration) time.Duration {
	if !s.Stored {
		wait += maxUnstoredTime
	}
	remaining := s.FirstAt.Add(wait).Sub(now)
	s.Begins = s.Begins || remaining <= 0
	if s.Begins {
		return 0
	}
	return remaining
}

// mayBeginIn returns the time before which the version begins no streams at any node. One
// that learned of it before this node did may follow another holder.
func (s *Sighting) mayBeginIn(now time.Time) time.Duration {
	if s.Begins || s.MissingAt.IsZero() {
		return 0
	}
	return max(0, s.MissingAt.Add(minViewLifetime).Sub(now))
}
