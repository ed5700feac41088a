package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/cacher"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// engineCache is what a stand-in replica keeps, the most recently used part last.
type engineCache struct {
	parts  []engineCachePart
	tokens int
}

type engineCachePart struct {
	model string
	cacher.Part
}

// use returns the tokens of the prompt that need not be read, and keeps all parts.
func (e *engineCache) use(model string, parts []cacher.Part, capacity int) int {
	saved, chain := e.cachedTokens(model, parts), slices.Clone(parts)
	slices.Reverse(chain)
	for _, part := range chain {
		one := engineCachePart{model, part}
		if i := slices.Index(e.parts, one); i >= 0 {
			e.parts = slices.Delete(e.parts, i, i+1)
			e.tokens -= part.Tokens
		}
		e.parts = append(e.parts, one)
		e.tokens += part.Tokens
	}
	for e.tokens > capacity {
		e.tokens -= e.parts[0].Tokens
		e.parts = slices.Delete(e.parts, 0, 1)
	}
	return saved
}

func (e *engineCache) cachedTokens(model string, parts []cacher.Part) int {
	total := 0
	for _, part := range parts {
		if !slices.Contains(e.parts, engineCachePart{model, part}) {
			break
		}
		total += part.Tokens
	}
	return total
}

// cachedTime is long enough for beginnings that change three times.
const cachedTime = 16 * time.Second

// cachedWorld adds beginnings of prompts to a spreadWorld.
type cachedWorld struct {
	// ignored is set if the nodes do not know of beginnings.
	ignored bool
	// capacity is how many tokens a replica keeps, and believed what the nodes assume.
	capacity, believed int
	// beginnings is the number of beginnings of a model, with a skew of 1/rank. They are
	// other ones after each churn, unless that is 0.
	beginnings int
	churn      time.Duration
	// shared counts the tokens of shared parts, and again those which were read although a
	// replica with the model kept them.
	shared, again int
}

// newCachedWorld returns a world in which 9 replicas have the same models.
func newCachedWorld(cached *cachedWorld) *spreadWorld {
	w := newSpreadWorld(9)
	w.cached, w.duration = cached, cachedTime
	if !cached.ignored {
		for node := range w.nodes {
			w.step(node, SetModels{CacheTokens: map[string]int{"llm": cached.believed}})
		}
	}
	return w
}

// begin gives a request two shared parts and one of its own.
func (c *cachedWorld) begin(w *spreadWorld, r *spreadRequest, need *Need) {
	rank := int(math.Pow(float64(c.beginnings+1), w.random.Float64())) - 1
	if c.churn > 0 {
		rank += 1000 * int(w.now.Sub(tester.Start)/c.churn)
	}
	id := fmt.Sprintf("%s-%d", need.Model, rank)
	r.model = need.Model
	r.parts = []cacher.Part{{ID: id, Tokens: 600 + 400*(rank%3)}, {ID: id + "x", Tokens: 500}, {ID: fmt.Sprint(r.call), Tokens: 30 + r.prompt/10}}
	r.prompt = 0
	for _, part := range r.parts {
		r.prompt += part.Tokens
	}
	need.PromptTokens = r.prompt
	if !c.ignored {
		need.Parts, need.SharedParts = r.parts, 2
	}
}

// read returns the tokens that the replica need not read.
func (c *cachedWorld) read(w *spreadWorld, r *spreadRequest) int {
	shared, best := r.parts[:2], 0
	first := r.replica / w.group * w.group
	for _, replica := range w.replicas[first : first+w.group] {
		best = max(best, replica.cache.cachedTokens(r.model, shared))
	}
	saved := w.replicas[r.replica].cache.use(r.model, r.parts, c.capacity)
	if w.measuring() {
		c.shared += shared[0].Tokens + shared[1].Tokens
		c.again += max(0, best-saved)
	}
	return saved
}

// result runs the world and returns the part of the shared tokens that were read again, and
// the mean and the 95th percentile of the time to the first event.
func (c *cachedWorld) result(t *testing.T, name string) (again float64, mean, late time.Duration) {
	t.Helper()
	w := newCachedWorld(c)
	w.run()
	for _, firstEvent := range w.firstEvents {
		mean += firstEvent / time.Duration(len(w.firstEvents))
	}
	slices.Sort(w.firstEvents)
	late = w.firstEvents[len(w.firstEvents)*95/100]
	again = float64(c.again) / float64(c.shared)
	t.Logf("%s: %.1f%% of the shared tokens read again; first event: mean %s, 95%% %s; %d of %d waited at a replica, %d refused; ratio of estimate: %s",
		name, 100*again, mean, late, w.queued, len(w.firstEvents), w.refused, w.ratios())
	return again, mean, late
}

// TestBeginningsAreReadOnce guards against beginnings of prompts that are read again although
// another replica keeps them, and against choices that are worse than those without
// regard to beginnings: with skewed and changing beginnings, with replicas that keep less
// than is believed or almost nothing.
func TestBeginningsAreReadOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		world cachedWorld
		// maxAgain is the part of the tokens read again without regard to beginnings
		// that may be read again.
		maxAgain float64
	}{
		{"skew", cachedWorld{capacity: 200_000, believed: 200_000, beginnings: 6}, 1.0 / 3},
		{"churn", cachedWorld{capacity: 200_000, believed: 200_000, beginnings: 6, churn: 4 * time.Second}, 0.5},
		{"full memory", cachedWorld{capacity: 20_000, believed: 20_000, beginnings: 6}, 0.5},
		{"wrong beliefs", cachedWorld{capacity: 2_500, believed: 200_000, beginnings: 6}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			without, with := test.world, test.world
			without.ignored = true
			base, baseMean, baseLate := without.result(t, "without")
			again, mean, late := with.result(t, "with")
			if again > base*test.maxAgain {
				t.Errorf("%.1f%% of the shared tokens were read again, want at most %.1f%%", 100*again, 100*base*test.maxAgain)
			}
			if float64(mean) > maxEstimateError*float64(baseMean) || float64(late) > maxEstimateError*float64(baseLate) {
				t.Errorf("first event: mean %s, 95%% %s; without regard to beginnings %s, %s", mean, late, baseMean, baseLate)
			}
		})
	}
}

// maxEstimateError is the ratio of estimate to measurement that 90% of the requests keep to
// in TestRequestsAreSpread.
const maxEstimateError = 1.37
