package limiter

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// idealBucket is a bucket without refunds: it is charged at the spend with the
// number of tokens that the request will turn out to use.
type idealBucket struct {
	rate, burst, level, outstanding float64
	updated                         time.Duration
}

func (b *idealBucket) advance(now time.Duration) {
	b.level = min(b.level+b.rate*(now-b.updated).Seconds(), b.burst-b.outstanding)
	b.updated = now
}

// spent is a spend whose unused part has not been refunded yet.
type spent struct {
	since  time.Duration
	tokens float64
	unused float64
}

// Guards against refunds that leave a level other than that of a bucket that was
// charged only the used tokens at the time of the spend.
func TestRefundMatchesIdealBucket(t *testing.T) {
	tester.Check(t, 10, func(t *rapid.T) {
		b := newBucket(0, 100, 1000)
		ideal := idealBucket{rate: 100, burst: 1000}
		now := time.Duration(0)
		var open []spent
		settle := func(i int) {
			b.refund(open[i].since, open[i].unused)
			open = append(open[:i], open[i+1:]...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				longest := rapid.SampledFrom([]time.Duration{time.Second, 15 * time.Second}).Draw(t, "longest")
				now += time.Duration(rapid.Int64Range(1, int64(longest)).Draw(t, "time"))
			},
			"spend": func(t *rapid.T) {
				b.advance(now)
				ideal.advance(now)
				tokens := rapid.Float64Range(0, 1).Draw(t, "part") * max(0, b.Level)
				unused := rapid.Float64Range(0, 1).Draw(t, "unused") * tokens
				b.issue(tokens)
				b.spend(tokens)
				ideal.level -= tokens - unused
				open = append(open, spent{since: b.Mark, tokens: tokens, unused: unused})
			},
			"settle": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing to settle")
				}
				b.advance(now)
				settle(rapid.IntRange(0, len(open)-1).Draw(t, "which"))
			},
			"": func(t *rapid.T) {
				b.advance(now)
				ideal.advance(now)
				if b.Level > ideal.level+1e-6 {
					t.Fatalf("level %.6f; a bucket that was charged only the used tokens has %.6f", b.Level, ideal.level)
				}
			},
		})
		for len(open) > 0 {
			settle(0)
		}
		if math.Abs(b.Level-ideal.level) > 1e-6 {
			t.Fatalf("level %.6f after all refunds; a bucket that was charged only the used tokens has %.6f", b.Level, ideal.level)
		}
	})
}

// Guards against a history that returns a smallest headroom other than that of a
// plain list of all headrooms.
func TestHistoryMatchesPlainList(t *testing.T) {
	tester.Check(t, 10, func(t *rapid.T) {
		var h History
		var plain []Minimum
		at := time.Duration(0)
		since := func(from time.Duration) float64 {
			least := math.Inf(1)
			for _, m := range plain {
				if m.At >= from {
					least = min(least, m.Headroom)
				}
			}
			return least
		}
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				at += time.Duration(rapid.IntRange(0, 3).Draw(t, "time"))
				headroom := float64(rapid.IntRange(0, 20).Draw(t, "headroom"))
				h.record(at, headroom)
				plain = append(plain, Minimum{At: at, Headroom: headroom})
			},
			"lower": func(t *rapid.T) {
				from := time.Duration(rapid.Int64Range(0, int64(at)).Draw(t, "from"))
				by := min(3, since(from))
				if math.IsInf(by, 1) {
					t.Skip("nothing recorded")
				}
				h.lower(from, by)
				for i := range plain {
					if plain[i].At >= from {
						plain[i].Headroom -= by
					}
				}
			},
			"": func(t *rapid.T) {
				for from := time.Duration(0); from <= at; from++ {
					if got, want := h.minHeadroomSince(from), since(from); got != want {
						t.Fatalf("since %d: %v; want %v", from, got, want)
					}
				}
			},
		})
	})
}

// Guards against a history that grows without bound, or that returns too large a
// headroom after minima were merged, which would make refunds too large.
func TestHistoryIsBoundedAndNeverOverestimates(t *testing.T) {
	var h History
	var last time.Duration
	for i := range 10 * maxMinima {
		last = time.Duration(i) * time.Millisecond
		h.record(last, float64(i))
		if len(h.Minima) > maxMinima {
			t.Fatalf("%d minima; want at most %d", len(h.Minima), maxMinima)
		}
	}
	for i := range 10 * maxMinima {
		if got := h.minHeadroomSince(time.Duration(i) * time.Millisecond); got > float64(i) {
			t.Fatalf("headroom since %d ms is %v; want at most %d", i, got, i)
		}
	}
	h.record(last+2*historyLength, 1)
	if len(h.Minima) != 1 {
		t.Fatalf("%d minima after the history's length; want 1", len(h.Minima))
	}
}
