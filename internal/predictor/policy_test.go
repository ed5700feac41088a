package predictor

import (
	"errors"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const loadTime = 30 * time.Second

// activityWithUses returns the activity of a model that was used at each of
// the offsets from start.
func activityWithUses(offsets ...time.Duration) *Activity {
	activity := &Activity{}
	for _, offset := range offsets {
		activity.Observe(start.Add(offset))
	}
	return activity
}

// periodicUses returns the offsets of count uses that are period apart.
func periodicUses(period time.Duration, count int) []time.Duration {
	var offsets []time.Duration
	for i := range count {
		offsets = append(offsets, time.Duration(i)*period)
	}
	return offsets
}

// TestAdvice guards against a policy that unloads a model too early or too
// late, or prewarms it at the wrong time.
func TestAdvice(t *testing.T) {
	hourly := periodicUses(time.Hour, 20)
	cases := []struct {
		name    string
		policy  Policy
		offsets []time.Duration
		idle    time.Duration
		keep    bool
		prewarm bool
	}{
		{"fixed time keeps", FixedTime{Keep: time.Minute}, hourly, 59 * time.Second, true, false},
		{"fixed time releases", FixedTime{Keep: time.Minute}, hourly, time.Minute, false, false},
		{"LRU keeps indefinitely", LeastRecentlyUsed{}, hourly, 1000 * time.Hour, true, false},
		{"histogram falls back", DefaultIdleHistogram, periodicUses(time.Hour, 3), 9 * time.Minute, true, false},
		{"histogram fallback releases", DefaultIdleHistogram, periodicUses(time.Hour, 3), 10 * time.Minute, false, false},
		{"histogram keeps for the grace", DefaultIdleHistogram, hourly, 30 * time.Second, true, false},
		{"histogram releases between uses", DefaultIdleHistogram, hourly, 30 * time.Minute, false, false},
		{"histogram prewarms before the use", DefaultIdleHistogram, hourly, 55 * time.Minute, true, true},
		{"histogram releases after the window", DefaultIdleHistogram, hourly, 2 * time.Hour, false, false},
	}
	for _, c := range cases {
		now := start.Add(c.offsets[len(c.offsets)-1] + c.idle)
		got := Advise(c.policy, activityWithUses(c.offsets...), now, loadTime)
		if got.Keep != c.keep || got.Prewarm != c.prewarm {
			t.Errorf("%s: %+v; want Keep %v, Prewarm %v", c.name, got, c.keep, c.prewarm)
		}
	}
}

// TestRanks guards against evicting a model that is expected to be used soon
// before one that is not.
func TestRanks(t *testing.T) {
	now := start.Add(19*time.Hour + 50*time.Minute)
	soon := activityWithUses(periodicUses(time.Hour, 20)...)
	late := activityWithUses(0, 10*time.Hour, 19*time.Hour+45*time.Minute)
	if a, b := Rank(DefaultIdleHistogram, soon, now), Rank(DefaultIdleHistogram, late, now); a <= b {
		t.Errorf("histogram ranks %v and %v; want the first above", a, b)
	}
	if a, b := Rank(LeastRecentlyUsed{}, soon, now), Rank(LeastRecentlyUsed{}, late, now); a >= b {
		t.Errorf("LRU ranks %v and %v; want the second above", a, b)
	}
}

// TestByName guards against a policy name in the settings that selects another
// policy, or none.
func TestByName(t *testing.T) {
	for name, want := range map[string]Policy{
		"idle-histogram":      DefaultIdleHistogram,
		"least-recently-used": LeastRecentlyUsed{},
		"fixed-time":          DefaultFixedTime,
	} {
		if got, err := ByName(name); got != want || err != nil {
			t.Errorf("%s: %v, %v; want %v", name, got, err, want)
		}
	}
	if got, err := ByName("lru"); got != nil || !errors.Is(err, ErrUnknownPolicy) {
		t.Errorf("lru: %v, %v; want %v", got, err, ErrUnknownPolicy)
	}
}
