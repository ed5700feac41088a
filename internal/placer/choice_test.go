package placer

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// naiveChoose computes every candidate's choice and returns the first one in
// sort order.
func naiveChoose(candidates []Candidate, needMB int, evictable func(string) []Evictable) (Choice, bool) {
	var all []Choice
	for _, candidate := range candidates {
		evict, ok := naiveEvictions(evictable(candidate.Endpoint), needMB-candidate.FreeMB)
		if !ok {
			continue
		}
		all = append(all, Choice{
			Endpoint: candidate.Endpoint, Tier: candidate.Tier, Evict: evict,
			TimeToReady: candidate.LoadTime + candidate.StartDelay + time.Duration(len(evict))*evictionCost,
		})
	}
	slices.SortFunc(all, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(a.TimeToReady, b.TimeToReady), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	if len(all) == 0 {
		return Choice{}, false
	}
	return all[0], true
}

// naiveEvictions finds the shortest prefix by rank that frees enough, and then
// drops unnecessary models, highest rank first.
func naiveEvictions(candidates []Evictable, missingMB int) ([]Key, bool) {
	if missingMB <= 0 {
		return nil, true
	}
	sum := func(models []Evictable) (mb int) {
		for _, model := range models {
			mb += model.MemoryMB
		}
		return mb
	}
	slices.SortFunc(candidates, func(a, b Evictable) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), compareKeys(a.Key, b.Key))
	})
	for count := 1; count <= len(candidates); count++ {
		if sum(candidates[:count]) < missingMB {
			continue
		}
		chosen := slices.Clone(candidates[:count])
		for i := len(chosen) - 1; i >= 0; i-- {
			without := slices.Delete(slices.Clone(chosen), i, i+1)
			if sum(without) >= missingMB {
				chosen = without
			}
		}
		var keys []Key
		for _, model := range slices.Backward(chosen) {
			keys = append(keys, model.Key)
		}
		return keys, true
	}
	return nil, false
}

// TestChooseAgainstNaive guards against a shortcut in Choose that misses a
// better endpoint or evicts other models than the exhaustive search.
func TestChooseAgainstNaive(t *testing.T) {
	tester.Check(t, 5, func(t *rapid.T) {
		evictable := map[string][]Evictable{}
		var candidates []Candidate
		for i := range rapid.IntRange(0, 8).Draw(t, "candidates") {
			name := fmt.Sprintf("e%d", i)
			candidates = append(candidates, Candidate{
				Endpoint:   name,
				FreeMB:     rapid.IntRange(-2, 6).Draw(t, "free"),
				Tier:       rapid.SampledFrom([]tracker.Tier{tracker.Memory, tracker.Disk, tracker.Remote}).Draw(t, "tier"),
				LoadTime:   time.Duration(rapid.IntRange(0, 6).Draw(t, "load")) * 3 * time.Second,
				StartDelay: time.Duration(rapid.IntRange(0, 3).Draw(t, "queue")) * time.Second,
			})
			for model := range rapid.IntRange(0, 5).Draw(t, "loaded") {
				evictable[name] = append(evictable[name], Evictable{
					Key:      Key{Model: fmt.Sprintf("m%d", model)},
					MemoryMB: rapid.IntRange(1, 4).Draw(t, "memory"),
					Rank:     float64(rapid.IntRange(0, 3).Draw(t, "rank")),
				})
			}
		}
		need := rapid.IntRange(1, 8).Draw(t, "need")
		models := func(name string) []Evictable { return slices.Clone(evictable[name]) }
		got, found := Choose(candidates, need, models)
		want, exists := naiveChoose(candidates, need, models)
		if found != exists || !reflect.DeepEqual(got, want) {
			t.Fatalf("chose %+v %v; want %+v %v", got, found, want, exists)
		}
	})
}

// TestSharesSumToReplicas guards against regions that together hold more
// replicas than the configuration allows, or fewer.
func TestSharesSumToReplicas(t *testing.T) {
	tester.Check(t, 2, func(t *rapid.T) {
		var regions []string
		for i := range rapid.IntRange(1, 12).Draw(t, "regions") {
			regions = append(regions, fmt.Sprintf("r%d", i))
		}
		model := releaser.Model{Name: rapid.StringMatching("[a-z]{1,5}").Draw(t, "name"), Version: "1"}
		model.Replicas = rapid.IntRange(0, 40).Draw(t, "replicas")
		sum := 0
		for _, region := range regions {
			sum += Share(model, regions, region)
		}
		if sum != model.Replicas {
			t.Fatalf("shares sum to %d; want %d", sum, model.Replicas)
		}
	})
}
