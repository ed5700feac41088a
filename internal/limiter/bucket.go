package limiter

import "time"

// Bucket is a token bucket with promised tokens. It keeps
// Level + Outstanding <= Burst at all times, except that after a lowering of
// Burst the tokens that are outstanding by then may exceed it until they are
// spent, given back or expired.
//
// Its times count from an origin that its owner chooses.
type Bucket struct {
	// Rate is the refill in tokens a second.
	Rate float64
	// Burst is the largest sum of Level and Outstanding.
	Burst float64
	// Level is the number of tokens that can be promised now. It is negative
	// while the bucket owes tokens.
	Level float64
	// Outstanding is the number of tokens that are promised and may still be
	// spent.
	Outstanding float64
	// Updated is the time up to which the refill has been added.
	Updated time.Duration
	// Mark is the time of the last entry in History. It may be some
	// nanoseconds after Updated, so that the entry after a spending has a
	// later time than the one before it.
	Mark    time.Duration
	History History
}

// newBucket returns an empty bucket whose history begins now.
func newBucket(now time.Duration, rate, burst float64) Bucket {
	b := Bucket{Rate: rate, Burst: burst, Updated: now, Mark: now}
	b.record()
	return b
}

func (b *Bucket) headroom() float64 {
	return max(0, b.Burst-b.Level-b.Outstanding)
}

func (b *Bucket) record() {
	b.History.record(b.Mark, b.headroom())
}

// advance adds the refill up to now. Every change needs it first: the headroom
// just before a change is the smallest since the one before.
func (b *Bucket) advance(now time.Duration) {
	if now > b.Updated {
		b.Level += min(b.Rate*(now-b.Updated).Seconds(), b.headroom())
		b.Updated = now
	}
	b.Mark = max(b.Mark, now)
	b.record()
}

// promise moves tokens from the level to the outstanding ones.
func (b *Bucket) issue(tokens float64) {
	b.Level -= tokens
	b.Outstanding += tokens
}

// spend ends the promise of tokens that were used or are lost. A refund of
// them dates from the mark that it sets.
func (b *Bucket) spend(tokens float64) {
	if tokens <= 0 {
		return
	}
	b.Outstanding = max(0, b.Outstanding-tokens)
	b.Mark++
	b.record()
}

// giveBack takes promised tokens back to the level. Above a lowered burst they
// are lost.
func (b *Bucket) release(tokens float64) {
	b.Outstanding = max(0, b.Outstanding-tokens)
	b.add(tokens)
}

// add puts tokens into the level as far as they fit.
func (b *Bucket) add(tokens float64) {
	b.Level += min(tokens, b.headroom())
	b.record()
}

// charge takes tokens that were used beyond a promise.
func (b *Bucket) charge(tokens float64) {
	b.Level -= tokens
	b.record()
}

// refund takes back tokens that were spent at or after a mark and turned out
// not to be used. The level becomes what it would be had they been given back
// then: tokens that would have overflowed since are lost. It returns the
// tokens added.
func (b *Bucket) refund(since time.Duration, tokens float64) float64 {
	if since < 0 || since < b.Mark-historyLength {
		return 0
	}
	b.record()
	added := min(tokens, b.History.minHeadroomSince(since))
	b.Level += added
	b.History.lower(since, added)
	return added
}

// set changes rate and burst. A lower burst reduces the level at once and
// waits for outstanding tokens.
func (b *Bucket) setLimits(rate, burst float64) {
	b.Rate, b.Burst = rate, burst
	b.Level = min(b.Level, max(0, b.Burst-b.Outstanding))
	b.record()
}
