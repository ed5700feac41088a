package limiter

import "time"

// Bucket is a token bucket that also counts outstanding tokens: tokens that have
// been issued and may still be spent. The invariant is
// Level + Outstanding <= Burst. After Burst has been lowered, the tokens that
// were outstanding at that time may exceed it until they are spent, released or
// expired.
//
// All times are relative to an origin that the user of the bucket chooses.
type Bucket struct {
	// Rate is the refill rate in tokens per second.
	Rate float64
	// Burst is the upper bound of Level + Outstanding, in tokens.
	Burst float64
	// Level is the number of tokens that can be issued now. It is negative
	// while more tokens have been used than were available.
	Level float64
	// Outstanding is the number of tokens that have been issued and may still
	// be spent.
	Outstanding float64
	// Updated is the time up to which Level has been refilled.
	Updated time.Duration
	// Mark is the time of the last entry in History. It may be a few
	// nanoseconds after Updated, so that the entry after a spend has a later
	// time than the entry before it.
	Mark    time.Duration
	History History
}

// newBucket returns an empty bucket whose history starts at now.
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

// advance refills the bucket up to now. It must be called before every change:
// the headroom just before a change is the smallest since the previous change.
func (b *Bucket) advance(now time.Duration) {
	if now > b.Updated {
		b.Level += min(b.Rate*(now-b.Updated).Seconds(), b.headroom())
		b.Updated = now
	}
	b.Mark = max(b.Mark, now)
	b.record()
}

// issue moves tokens from Level to Outstanding.
func (b *Bucket) issue(tokens float64) {
	b.Level -= tokens
	b.Outstanding += tokens
}

// spend removes tokens that were used or lost from Outstanding. A later refund
// of them passes the value of Mark that spend sets.
func (b *Bucket) spend(tokens float64) {
	if tokens <= 0 {
		return
	}
	b.Outstanding = max(0, b.Outstanding-tokens)
	b.Mark++
	b.record()
}

// release moves tokens from Outstanding back to Level. Tokens above a lowered
// burst are lost.
func (b *Bucket) release(tokens float64) {
	b.Outstanding = max(0, b.Outstanding-tokens)
	b.add(tokens)
}

// add adds tokens to Level, up to the headroom.
func (b *Bucket) add(tokens float64) {
	b.Level += min(tokens, b.headroom())
	b.record()
}

// charge subtracts tokens from Level that were used without having been issued.
// Level may become negative.
func (b *Bucket) charge(tokens float64) {
	b.Level -= tokens
	b.record()
}

// refund adds back tokens that were spent at or after the mark since but not
// used. Level becomes what it would be if they had been released at that time:
// tokens that would have overflowed in the meantime are lost. It returns the
// number of tokens added.
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

// setLimits changes rate and burst. A lower burst reduces Level immediately;
// outstanding tokens stay valid until they are spent, released or expired.
func (b *Bucket) setLimits(rate, burst float64) {
	b.Rate, b.Burst = rate, burst
	b.Level = min(b.Level, max(0, b.Burst-b.Outstanding))
	b.record()
}
