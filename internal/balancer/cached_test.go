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
	// events are those that were not delivered yet.
	events []cacher.Event
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
		} else {
			e.events = append(e.events, cacher.Event{Model: model, ID: part.ID, Tokens: part.Tokens})
		}
		e.parts = append(e.parts, one)
		e.tokens += part.Tokens
	}
	for e.tokens > capacity {
		e.tokens -= e.parts[0].Tokens
		e.events = append(e.events, cacher.Event{Model: e.parts[0].model, ID: e.parts[0].ID})
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
const cachedTime = 12 * time.Second

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
	// alone is set if the nodes exchange nothing. Of the events of replicas every missing-th
	// is lost, unless it is 0.
	alone bool
	// releases is the time after which a third of the replicas has released its models, and
	// those that had released theirs have loaded them again, 0 for never.
	releases  time.Duration
	missing   int
	events    int
	pool      cacher.Pool
	published int
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
	if cached.releases > 0 {
		cached.release(w, 0)
	}
	return w
}

// release lets a third of the replicas release their models.
func (c *cachedWorld) release(w *spreadWorld, round int) {
	listed := slices.Clone(w.listed)
	for i := range listed {
		if i%3 == round%3 {
			listed[i].Models, w.replicas[i].cache = nil, engineCache{}
		}
	}
	for node := range w.nodes {
		w.step(node, SetReplicas{Replicas: listed})
	}
	c.pool.Retain(w.now, func(change cacher.Change) bool {
		var i int
		_, _ = fmt.Sscanf(change.Replica, "r%d", &i)
		return listed[i].Models != nil
	})
	w.after(c.releases, func() { c.release(w, round+1) })
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

// exchange delivers the events of the replicas to one node each, up to 0.5 s late, and passes what
// the nodes report to the holder.
func (c *cachedWorld) exchange(w *spreadWorld) bool {
	if c.alone || c.ignored {
		return false
	}
	for i, replica := range w.replicas {
		var delivered []cacher.Event
		for _, event := range replica.cache.events {
			if c.events++; c.missing == 0 || c.events%c.missing != 0 {
				delivered = append(delivered, event)
			}
		}
		replica.cache.events = nil
		if len(delivered) > 0 {
			w.after(time.Duration(w.random.Int64N(int64(reportDelay))), func() {
				w.step(i*37%spreadNodes, CacheEvents{Replica: fmt.Sprintf("r%02d", i), Events: delivered})
			})
		}
	}
	for _, node := range w.nodes {
		c.pool.Record(w.now, node.Caches.Beliefs.Collect())
	}
	return c.pool.Publish(w.now, w.version+1)
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
	t.Logf("%s: %.1f%% of the shared tokens read again; first event: mean %s, 95%% %s; %d of %d waited at a replica, %d refused; ratio of estimate: %s; %d changes published",
		name, 100*again, mean, late, w.queued, len(w.firstEvents), w.refused, w.ratios(), c.published)
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
		{"churn", cachedWorld{capacity: 200_000, believed: 200_000, beginnings: 6, churn: 3 * time.Second}, 0.5},
		{"full memory, missing events", cachedWorld{capacity: 20_000, believed: 20_000, beginnings: 6, missing: 5}, 0.5},
		{"releases", cachedWorld{capacity: 200_000, believed: 200_000, beginnings: 2, releases: 4 * time.Second}, 1.0 / 3},
		{"wrong beliefs", cachedWorld{capacity: 2_500, believed: 200_000, beginnings: 6}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
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

// TestNodesShareWhatReplicasKeep guards against nodes that do not use what the others know: after
// releases, the replicas on which all nodes agree do not keep the beginnings that others keep.
func TestNodesShareWhatReplicasKeep(t *testing.T) {
	t.Parallel()
	world := cachedWorld{capacity: 200_000, believed: 200_000, beginnings: 1, releases: 4 * time.Second}
	alone, shared := world, world
	alone.alone = true
	before, _, _ := alone.result(t, "without exchange")
	after, _, _ := shared.result(t, "with exchange")
	if after >= before {
		t.Errorf("%.1f%% of the shared tokens were read again, without exchange %.1f%%", 100*after, 100*before)
	}
}

// maxEstimateError is the ratio of estimate to measurement that 90% of the requests keep to
// in TestRequestsAreSpread.
const maxEstimateError = 1.37
