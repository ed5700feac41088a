package predictor

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnknownPolicy reports a name that is not the name of a policy.
var ErrUnknownPolicy = merry.Sentinel("unknown keep-alive policy")

// DefaultFixedTime is the default policy. In the measurements of
// docs/placement.md it has the shortest waits at the 99th percentile of
// Wiatrak's requests, with fewer idle hours than the policies that come close.
var DefaultFixedTime = FixedTime{Keep: time.Hour}

// DefaultIdleHistogram has the parameters that docs/placement.md measures.
var DefaultIdleHistogram = IdleHistogram{
	Head:       0.05,
	Tail:       0.99,
	Margin:     0.1,
	MinSamples: 10,
	Fallback:   10 * time.Minute,
	Grace:      time.Minute,
}

// ByName returns the policy with the given name, as used in settings. For any
// other name it returns ErrUnknownPolicy with the list of allowed names.
func ByName(name string) (Policy, error) {
	switch name {
	case "idle-histogram":
		return DefaultIdleHistogram, nil
	case "least-recently-used":
		return LeastRecentlyUsed{}, nil
	case "fixed-time":
		return DefaultFixedTime, nil
	default:
		return nil, merry.Wrap(ErrUnknownPolicy, merry.AppendMessagef(
			"%q; allowed are idle-histogram, least-recently-used and fixed-time", name))
	}
}
