package router_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"golang.org/x/tools/txtar"

	"toucanhitch.example/toucanhitch/internal/router"
)

// Guards against an estimate that ignores one of its inputs.
func TestEstimates(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/estimates.txtar")
	if err != nil {
		t.Fatal(err)
	}
	var trace bytes.Buffer
	for line := range strings.Lines(string(archive.Files[0].Data)) {
		name, encoded, _ := strings.Cut(strings.TrimSpace(line), " {")
		var candidate router.Candidate
		if err := json.Unmarshal([]byte("{"+encoded), &candidate); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		generation, call := router.EstimateGeneration(candidate), router.EstimateCall(candidate)
		fmt.Fprintf(&trace, "%s: generation %s (waits %s), call %s\n",
			name, generation.FirstToken, generation.Wait, call.FirstToken)
	}
	goldie.New(t).Assert(t, "estimates", trace.Bytes())
}

// Guards against a choice that always takes the lowest estimate, so that all
// nodes send to the same endpoint, and against one that takes a bad endpoint.
func TestChooseSpreadsOverGoodCandidates(t *testing.T) {
	estimates := []router.Estimate{
		{FirstToken: 100 * time.Millisecond},
		{FirstToken: 110 * time.Millisecond},
		{FirstToken: 120 * time.Millisecond},
		{FirstToken: 400 * time.Millisecond},
	}
	source := &router.Source{State: 1}
	counts := make([]int, len(estimates))
	for range 9000 {
		counts[router.Choose(estimates, source)]++
	}
	// The better of two picks among three: 5/9, 3/9 and 1/9.
	for index, want := range []int{5000, 3000, 1000, 0} {
		if counts[index] < want*9/10 || counts[index] > want*11/10 {
			t.Errorf("candidate %d chosen %d times; want about %d", index, counts[index], want)
		}
	}
	if got := router.Choose(nil, source); got != -1 {
		t.Errorf("choice among none is %d; want -1", got)
	}
}

// simulateNodes simulates the shares of several nodes at one endpoint over a
// number of reports and returns the highest and the last number of requests there.
func simulateNodes(count, slots, reports int, demand func(node int) int) (maxTotal, lastTotal int) {
	source := &router.Source{State: 7}
	shares, own := make([]router.Share, count), make([]int, count)
	for range reports {
		total := 0
		for _, requests := range own {
			total += requests
		}
		maxTotal = max(maxTotal, total)
		for node := range shares {
			shares[node] = shares[node].Adapt(router.ShareInput{
				Slots: slots, Queued: max(0, total-slots), OwnRequests: own[node], OtherRequests: float64(total - own[node]),
				NodeCount: count, LimitReached: own[node] >= shares[node].Limit && demand(node) > own[node],
			}, source)
		}
		lastTotal = 0
		for node := range own {
			own[node] = min(demand(node), shares[node].Limit)
			lastTotal += own[node]
		}
	}
	return maxTotal, lastTotal
}

// Guards against a node that cannot use an idle endpoint, and against many
// nodes that together send far more than an endpoint's slots.
func TestSharesUseSlotsWithoutOverload(t *testing.T) {
	all := func(int) int { return 1000 }
	one := func(node int) int {
		if node == 0 {
			return 1000
		}
		return 0
	}
	for _, count := range []int{1, 7, 150} {
		if _, last := simulateNodes(count, 32, 20, one); last < 29 {
			t.Errorf("one busy node of %d uses %d of 32 slots after 20 reports; want at least 29", count, last)
		}
	}
	for _, count := range []int{7, 30} {
		if maxTotal, last := simulateNodes(count, 32, 100, all); maxTotal > 64 || last < 28 {
			t.Errorf("%d busy nodes send up to %d and finally %d to 32 slots; want at most 64 and at least 28", count, maxTotal, last)
		}
	}
}

// Guards against own requests that are counted twice, or as those of other
// nodes, because a report is late.
func TestInUseHistoryWithLateReport(t *testing.T) {
	start := time.Unix(100, 0)
	var history router.InUseHistory
	for second := range 300 {
		history.Record(start.Add(time.Duration(second)*time.Second), second+1)
	}
	if got := history.At(start.Add(298500 * time.Millisecond)); got != 299 {
		t.Errorf("in use at 298.5 s: %d; want 299", got)
	}
	if got := history.At(start); got != 0 {
		t.Errorf("in use before the history begins: %d; want 0", got)
	}
	others := router.OtherLoad{}.Observe(start, 5, 2)
	if late := others.Observe(start.Add(-time.Second), 50, 0); late != others {
		t.Errorf("a late report changes %+v to %+v", others, late)
	}
	others = others.Observe(start.Add(time.Second), 13, 0)
	if got := others.Estimate(start.Add(2 * time.Second)); got <= 13 || got > 23 {
		t.Errorf("expected %g requests after growth by 10 a second; want more than 13, at most 23", got)
	}
}

// Guards against a high hit probability for a prefix that was removed, or that
// may have been removed by an event that was lost.
func TestPrefixCacheWithLateAndMissingEvents(t *testing.T) {
	var cache router.PrefixCache
	check := func(step string, prefix uint64, want float64) {
		t.Helper()
		if got := cache.HitProbability("m@1", prefix); got != want {
			t.Errorf("%s: hit probability %g; want %g", step, got, want)
		}
	}
	stored := func(sequence, prefix uint64) router.CacheEvent {
		return router.CacheEvent{Sequence: sequence, Model: "m@1", Prefix: prefix, Stored: true}
	}
	cache.RecordServed("m@1", 5)
	check("assumed", 5, 0.5)
	cache.Apply([]router.CacheEvent{stored(1, 1), stored(2, 2)}, 2)
	check("stored", 1, 0.9)
	cache.Apply([]router.CacheEvent{{Sequence: 1, Model: "m@1", Prefix: 2}}, 2)
	check("old event again", 2, 0.9)
	cache.Apply([]router.CacheEvent{{Sequence: 3, Model: "m@1", Prefix: 2}, stored(5, 3)}, 5)
	check("removed", 2, 0)
	check("before the gap", 1, 0.5)
	check("after the gap", 3, 0.9)
	cache.Apply(nil, 6)
	check("events missing at the end", 3, 0.5)
	for prefix := range uint64(300) {
		cache.Apply([]router.CacheEvent{stored(7+prefix, 10+prefix)}, 7+prefix)
	}
	check("dropped beyond maxPrefixes", 3, 0)
	cache.Apply(nil, 1)
	check("endpoint restarted", 309, 0)
}

// Guards against a measured speed that never changes, or that follows a single
// observation.
func TestSpeedIsAMovingAverage(t *testing.T) {
	observation := router.Observation{PromptTokens: 36, Tokens: 11, FirstToken: 100 * time.Millisecond, Duration: 300 * time.Millisecond}
	speed := router.Speed{}.Observe(observation)
	want := router.Speed{PerPromptToken: time.Millisecond, PerToken: 20 * time.Millisecond, SlotDuration: 300 * time.Millisecond}
	if speed != want {
		t.Fatalf("first observation gives %+v; want %+v", speed, want)
	}
	observation.FirstToken, observation.ExpectedWait = 400*time.Millisecond, 200*time.Millisecond
	observation.Duration = 900 * time.Millisecond
	want = router.Speed{PerPromptToken: 1200 * time.Microsecond, PerToken: 26 * time.Millisecond, SlotDuration: 420 * time.Millisecond}
	if speed = speed.Observe(observation); speed != want {
		t.Fatalf("second observation gives %+v; want %+v", speed, want)
	}
}
