package placer

import (
	"cmp"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Candidate is an endpoint that can take a model.
type Candidate struct {
	Endpoint string
	// FreeMB is the unreserved memory. It can be negative.
	FreeMB int
	Tier   tracker.Tier
	// LoadTime is the expected duration of the load itself. StartDelay is the
	// time before the load can start, plus the time before a request is served.
	LoadTime   time.Duration
	StartDelay time.Duration
}

// Evictable is a loaded model that may be unloaded to make room.
type Evictable struct {
	Key      Key
	MemoryMB int
	// Rank is the policy's rank; the lowest is evicted first.
	Rank float64
}

// Choice is the endpoint chosen for a load.
type Choice struct {
	Endpoint string
	Tier     tracker.Tier
	// Evict lists the models to unload first.
	Evict []Key
	// TimeToReady is the estimated time until the model can serve.
	TimeToReady time.Duration
}

// evictionCost is what each eviction adds to the estimate: the unload itself
// and the risk that the evicted model is needed again soon.
const evictionCost = 5 * time.Second

// Choose returns the candidate with the earliest estimated time to ready, and
// false if none can make room. It calls evictable only for candidates that can
// still win.
func Choose(candidates []Candidate, needMB int, evictable func(endpoint string) []Evictable) (Choice, bool) {
	var best Choice
	found := false
	for _, candidate := range candidates {
		choice := Choice{
			Endpoint:    candidate.Endpoint,
			Tier:        candidate.Tier,
			TimeToReady: candidate.LoadTime + candidate.StartDelay,
		}
		missingMB := needMB - candidate.FreeMB
		if missingMB > 0 {
			choice.TimeToReady += evictionCost
		}
		if found && compareChoices(choice, best) >= 0 {
			continue
		}
		if missingMB > 0 {
			evict, ok := evictions(evictable(candidate.Endpoint), missingMB)
			if !ok {
				continue
			}
			choice.Evict = evict
			choice.TimeToReady += time.Duration(len(evict)-1) * evictionCost
		}
		if !found || compareChoices(choice, best) < 0 {
			best, found = choice, true
		}
	}
	return best, found
}

func compareChoices(a, b Choice) int {
	return cmp.Or(
		cmp.Compare(a.TimeToReady, b.TimeToReady),
		cmp.Compare(a.Endpoint, b.Endpoint),
	)
}

// evictions returns the models with the lowest ranks that together free the
// missing memory, leaving out those that turn out to be unnecessary. It
// returns false if all of them do not free enough.
func evictions(candidates []Evictable, missingMB int) ([]Key, bool) {
	slices.SortFunc(candidates, func(a, b Evictable) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareKeys(a.Key, b.Key))
	})
	freed, count := 0, 0
	for count < len(candidates) && freed < missingMB {
		freed += candidates[count].MemoryMB
		count++
	}
	if freed < missingMB {
		return nil, false
	}
	var chosen []Key
	for _, model := range slices.Backward(candidates[:count]) {
		if freed-model.MemoryMB >= missingMB {
			freed -= model.MemoryMB
			continue
		}
		chosen = append(chosen, model.Key)
	}
	return chosen, true
}
