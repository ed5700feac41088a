package predictor

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnknownPolicy reports a name that is none of the policies' names.
var ErrUnknownPolicy = merry.Sentinel("unknown keep-alive policy")

// DefaultIdleHistogram is the default policy, with the bounds that
// docs/placement.md measures.
var DefaultIdleHistogram = IdleHistogram{
	Head:       0.05,
	Tail:       0.99,
	Margin:     0.1,
	MinSamples: 10,
	Fallback:   10 * time.Minute,
	Grace:      time.Minute,
}

// DefaultLookAhead has the bounds that docs/placement.md measures.
var DefaultLookAhead = LookAhead{
	Intervals:            6,
	SecondsPerColdSecond: 60,
	Grace:                2 * time.Minute,
}

// ByName returns the policy for the value of a setting. It returns
// ErrUnknownPolicy, with the names that are allowed, for any other value.
func ByName(name string) (Policy, error) {
	switch name {
	case "idle-histogram":
		return DefaultIdleHistogram, nil
	case "look-ahead":
		return DefaultLookAhead, nil
	case "least-recently-used":
		return LeastRecentlyUsed{}, nil
	case "fixed-time":
		return FixedTime{Keep: time.Hour}, nil
	default:
		return nil, merry.Wrap(ErrUnknownPolicy, merry.AppendMessagef(
			"%q; allowed are idle-histogram, look-ahead, least-recently-used and fixed-time", name))
	}
}
