package placer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// candidates returns the endpoints that can take a model.
func (d *draft) candidates(key Key) []Candidate {
	needMB := d.memoryOf(key)
	remoteWait := d.StorePermits.Wait(d.now, d.Settings.StoreRate)
	var result []Candidate
	for _, name := range d.EndpointNames {
		endpoint := d.Endpoints[name]
		if endpoint.MemoryMB < needMB || !d.usable(endpoint, key) {
			continue
		}
		candidate := Candidate{
			Endpoint:   name,
			FreeMB:     d.freeMB(endpoint),
			Tier:       fastestTier(endpoint.Report, key.Model),
			StartDelay: d.startDelay(endpoint),
		}
		candidate.LoadTime = loadTime(needMB, d.Settings.LoadSpeeds[candidate.Tier])
		if candidate.Tier == tracker.Remote {
			candidate.StartDelay += remoteWait
		}
		result = append(result, candidate)
	}
	return result
}

// maxReportAge is the age of a report above which the endpoint may no longer
// exist. It equals 20 missed reports.
const maxReportAge = 5 * time.Second

// usable reports whether an endpoint can take a new entry.
func (d *draft) usable(endpoint tracker.Endpoint, key Key) bool {
	report := endpoint.Report
	switch {
	case report == nil || report.Leaving || endpoint.Phase != tracker.Live:
	case d.now.Before(endpoint.SuspectUntil):
	case d.now.Sub(report.Measured) > maxReportAge:
	case report.Fence > Fence(d.Epoch, d.Sequence):
		// Another sender used a fence higher than all fences of this holder,
		// so the endpoint would refuse every order.
	case d.avoidsEndpoint(d.now, key, endpoint.Name):
	default:
		_, taken := d.next.Endpoints[endpoint.Name].Find(key)
		return !taken
	}
	return false
}

// freeMB returns the memory of an endpoint that is not needed by entries, by
// claims, or by unmanaged memory that the report shows.
func (d *draft) freeMB(endpoint tracker.Endpoint) int {
	decided := d.next.Endpoints[endpoint.Name]
	free := endpoint.MemoryMB - decided.ReservedMB() - unmanagedMB(endpoint.Report, decided)
	for _, claim := range d.Claims {
		if claim.Endpoint == endpoint.Name {
			free -= claim.MemoryMB
		}
	}
	return free
}

// unmanagedMB returns the used memory in a report that the decided entries do
// not account for.
func unmanagedMB(report *tracker.Report, decided EndpointPlacement) int {
	if report == nil {
		return 0
	}
	used := report.UsedMB
	for _, entry := range decided.Entries {
		state := reportedState(report, entry.Key)
		if state != "" && state != tracker.Failed {
			used -= entry.MemoryMB
		}
	}
	return max(0, used)
}

func fastestTier(report *tracker.Report, model string) tracker.Tier {
	best := tracker.Remote
	for _, cached := range report.Cached {
		if cached.Model != model {
			continue
		}
		if cached.Tier == tracker.Memory {
			return tracker.Memory
		}
		best = cached.Tier
	}
	return best
}

// queuedRequestDelay, divided by the endpoint's slots, is what one queued
// request adds to the time to ready.
const queuedRequestDelay = 500 * time.Millisecond

// startDelay returns the time before a load can start behind the loads in
// progress, plus the time before its first request can run.
func (d *draft) startDelay(endpoint tracker.Endpoint) time.Duration {
	wait := queuedRequestDelay * time.Duration(endpoint.Report.Queued) / time.Duration(max(1, endpoint.Report.Slots))
	for _, entry := range d.next.Endpoints[endpoint.Name].Entries {
		if entry.State != tracker.Loading || entry.Adapter != "" {
			continue
		}
		expected := loadTime(entry.MemoryMB, d.Settings.LoadSpeeds[entry.Tier])
		elapsed := time.Duration(0)
		if sent := d.entryRecord(EntryID{endpoint.Name, entry.Key}).SentAt; !sent.IsZero() {
			elapsed = d.now.Sub(sent)
		}
		wait += max(0, expected-elapsed)
	}
	return wait
}
