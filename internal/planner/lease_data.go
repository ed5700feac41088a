package planner

import (
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resumer"
)

const (
	// storeAssignmentsInterval is the minimum time between two writes of the lease for
	// assignments only. It is that of renewals, which happen anyway.
	storeAssignmentsInterval = 600 * time.Millisecond
	// storedTimeLeftUnit is the unit in which the time left of shares is kept current in the
	// lease.
	storedTimeLeftUnit = time.Second
	// maxStoredAssignments bounds the assignments in the lease, which is written with each
	// renewal: about 100 bytes each.
	maxStoredAssignments = 1000
)

// storeLeaseData requests that the lease contain what a holder has to know that starts after all
// processes have ended, if any of it has changed: the versions that may begin streams, whether they
// are all, the era of the store, the assignments, and the former sizes of models.
func (c *Controller) storeLeaseData(now time.Time) []Effect {
	t := c.Tenure
	if t == nil || t.Acting {
		return nil
	}
	c.reviewFormerSizes(now)
	storing := StoreLeaseData{
		FormerSizes: c.storedFormerSizes(),
		Services:    c.Versions.Names(),
		Assignments: storedAssignments(c.Versions.Assignments(now)),
		Assigned:    c.Versions.Assigned,
		Incomplete:  !c.Versions.Complete,
		StoreEra:    t.StoreEra,
	}
	if known := t.StoringData; known == nil {
		if len(storing.Services)+len(storing.FormerSizes) == 0 {
			return nil
		}
	} else if known.sameVersions(storing) && (known.sameAssignments(storing) || now.Sub(t.StoringSince) < storeAssignmentsInterval) {
		return nil
	}
	t.StoringData, t.StoringSince = &storing, now
	return []Effect{storing}
}

// storedAssignments returns the assignments that the lease contains: those of models before
// those of adapters, which are many.
func storedAssignments(assignments []resumer.Assignment) []resumer.Assignment {
	if len(assignments) <= maxStoredAssignments {
		return assignments
	}
	stored := slices.DeleteFunc(slices.Clone(assignments), func(assignment resumer.Assignment) bool { return assignment.Adapter != "" })
	return stored[:min(len(stored), maxStoredAssignments)]
}

// sameVersions reports whether two leases have the same versions and sizes, and know as much of
// them.
func (s StoreLeaseData) sameVersions(other StoreLeaseData) bool {
	return slices.Equal(s.FormerSizes, other.FormerSizes) && s.Incomplete == other.Incomplete && s.Assigned == other.Assigned && s.StoreEra == other.StoreEra &&
		slices.EqualFunc(s.Services, other.Services, func(a, b resumer.Service) bool { return a.Name == b.Name && slices.Equal(a.Versions, b.Versions) })
}

// sameAssignments reports whether two leases have the same assignments.
func (s StoreLeaseData) sameAssignments(other StoreLeaseData) bool {
	return slices.EqualFunc(s.Assignments, other.Assignments, func(a, b resumer.Assignment) bool { return a.EqualWithin(storedTimeLeftUnit, b) })
}
