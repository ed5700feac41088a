package resumer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is the part of the new streams of a model that begin at a software version, in
// proportion to the number of its replicas that have the model.
type Share struct {
	Version  string
	Replicas int
}

// ModelKey identifies a model, with or without an adapter, of a service.
type ModelKey struct {
	Service, Model string
	Adapter        string `json:",omitempty"`
}

// Assignment determines at which software versions the streams of a model begin. Any node can
// work out from it where a stream began of which no node that is left knows the origin.
type Assignment struct {
	ModelKey
	// Current is in force for streams that begin. It is sorted by version.
	Current []Share
	// Others are those under which streams of now may have begun as well, because they were
	// in force before or may already be at other nodes.
	Others []OtherShares `json:",omitempty"`
}

// OtherShares are shares that are not in force. TimeLeft is how long they matter, as of the
// message or the write of the lease that contains them.
type OtherShares struct {
	Shares   []Share
	TimeLeft time.Duration
}

// Key returns a string that identifies the model among all assignments.
func (a Assignment) Key() string { return strings.Join([]string{a.Service, a.Model, a.Adapter}, "/") }

// Equal reports whether two assignments are the same, except for the time left of shares.
func (a Assignment) Equal(b Assignment) bool {
	return a.equal(b, func(OtherShares) time.Duration { return 0 })
}

// EqualWithin is like Equal, and compares the time left in units of a duration.
func (a Assignment) EqualWithin(unit time.Duration, b Assignment) bool {
	return a.equal(b, func(other OtherShares) time.Duration { return other.TimeLeft.Truncate(unit) })
}

func (a Assignment) equal(b Assignment, left func(OtherShares) time.Duration) bool {
	return a.ModelKey == b.ModelKey && slices.Equal(a.Current, b.Current) &&
		slices.EqualFunc(a.Others, b.Others, func(x, y OtherShares) bool { return left(x) == left(y) && slices.Equal(x.Shares, y.Shares) })
}

// SameList reports whether two lists of assignments are the same slice, not only equal.
func SameList(a, b []Assignment) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Choose returns the version at which a stream begins, by a weighted rendezvous hash of its key:
// a change of the shares moves no more streams than it has to. It returns false if there are no
// shares.
func Choose(shares []Share, key string) (version string, ok bool) {
	best := math.Inf(1)
	for _, share := range shares {
		// Uniform in (0, 1], so that the cost is finite and not negative.
		uniform := (float64(xxhash.Sum64String(key+"\x00"+share.Version)>>11) + 1) / (1 << 53)
		if cost := -math.Log(uniform) / float64(share.Replicas); cost < best || !ok {
			best, version, ok = cost, share.Version, true
		}
	}
	return version, ok
}

// origin returns the version at which a stream began, and false if it may have been one of
// several.
func (a Assignment) origin(key string) (string, bool) {
	version, ok := Choose(a.Current, key)
	for _, others := range a.Others {
		if other, known := Choose(others.Shares, key); known && other != version {
			return "", false
		}
	}
	return version, ok
}
