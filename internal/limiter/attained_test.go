package limiter_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/benchmarker"
	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// Tolerances of the counts. The owner sends a count when it differs by 10%. While
// no exchange is lost, a holder that serves requests reports its use within one
// second and receives the counts within another. After losses this takes up to
// attainedRecovery longer: the last lost exchange fails after one second, and the
// next one is delayed by a backoff of up to one second.
const (
	attainedTolerance = 0.1
	attainedLag       = 2 * time.Second
	attainedRecovery  = 2 * time.Second
	// attainedMargin is a further tolerance in tokens, because smaller differences
	// are not sent.
	attainedMargin = 2
)

// usage is one use of tokens. The test oracle decays each use separately.
type usage struct {
	At     time.Duration
	Tokens float64
}

func decayed(uses []usage, until, now time.Duration) float64 {
	sum := 0.0
	for _, u := range uses {
		if u.At <= until {
			sum += u.Tokens * math.Exp2(-(now-u.At).Seconds()/limiter.AttainedHalfLife.Seconds())
		}
	}
	return sum
}

// attainedFleet is a LimitsFleet that records the tokens that requests use.
type attainedFleet struct {
	*benchmarker.LimitsFleet
	uses []usage
}

func (f *attainedFleet) request(node int, tokens, used float64, run time.Duration) {
	f.Reserve(node, "w", tokens, 10*time.Second, func(effect limiter.HolderEffect) {
		reserved, ok := effect.(limiter.Reserved)
		if !ok {
			return
		}
		f.Confirm(node, reserved.ID, 10*time.Second, func(limiter.HolderEffect) {
			f.After(run, func() {
				f.uses = append(f.uses, usage{f.Now(), used})
				f.Settle(node, reserved.ID, used)
			})
		})
	})
}

// load sends a request to every node ten times per second until a time.
func (f *attainedFleet) load(until time.Duration, tokens, part float64) {
	if f.Now() >= until {
		return
	}
	for node := range f.Nodes {
		f.request(node, tokens, tokens*part, 50*time.Millisecond)
	}
	f.After(100*time.Millisecond, func() { f.load(until, tokens, part) })
}

// compare checks that no node counts more than the decayed use of all requests
// until now. If no exchange was lost recently (recovered), it also checks that no node
// counts less than the decayed use of all requests until attainedLag ago.
func (f *attainedFleet) compare(t *rapid.T, recovered bool) {
	least := (1-attainedTolerance)*decayed(f.uses, f.Now()-attainedLag, f.Now()) - attainedMargin
	most := (1+attainedTolerance)*decayed(f.uses, f.Now(), f.Now()) + attainedMargin
	for index, node := range f.Nodes {
		count := node.Holder.Attained["w"]
		age := f.NodeTime(node).Sub(count.At)
		got := count.Tokens * math.Exp2(-age.Seconds()/limiter.AttainedHalfLife.Seconds())
		if recovered && got < least || got > most {
			t.Fatalf("%s: node %d counts %.1f tokens; want %.1f to %.1f", f.Now(), index, got, least, most)
		}
	}
}

// Guards against counts of used tokens that drift from the actual use in the fleet:
// use that is lost or counted twice when exchanges are lost, repeated or late, use
// of standing shares that is not counted, and counts that do not decay.
func TestAttainedAgreesWithUse(t *testing.T) {
	limits := []limiter.Limit{{Workspace: "w", Rate: 4000, Burst: 8000}}
	tester.Check(t, 2**fleetSeeds, func(t *rapid.T) {
		f := &attainedFleet{LimitsFleet: benchmarker.NewLimitsFleet(4, 3, limits)}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "network"), 1))
		lossy := 0
		f.LoseMessage = func() bool { return random.IntN(100) < lossy }
		f.DuplicateExchange = f.LoseMessage
		for _, node := range f.Nodes {
			node.Offset = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))
		}
		f.Run(5 * time.Second)
		for range 3 {
			length := duration(t, "length", 15*time.Second)
			tokens := float64(rapid.IntRange(1, 200).Draw(t, "tokens"))
			part := rapid.Float64Range(0, 1).Draw(t, "part")
			f.load(f.Now()+2*length+2*attainedRecovery, tokens, part)
			lossy = rapid.IntRange(0, 20).Draw(t, "lost of 100")
			f.watch(t, length, false)
			lossy = 0
			f.watch(t, attainedRecovery, false)
			f.watch(t, length, true)
		}
	})
}

// watch runs the fleet for a time and compares the counts twice per second.
func (f *attainedFleet) watch(t *rapid.T, length time.Duration, recovered bool) {
	for end := f.Now() + length; f.Now() < end; f.compare(t, recovered) {
		f.Run(f.Now() + time.Second/2)
	}
}
