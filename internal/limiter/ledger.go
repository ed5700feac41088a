package limiter

import "time"

const (
	// pledgeLifetime is how long a holder that waits for tokens keeps its
	// place without asking again. It is several times maxRetryAfter, so that
	// a lost exchange does not cost the place.
	queueEntryLifetime = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a holder asks again.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 100 * time.Millisecond
	// shortLifetime is how long a workspace counts as short after a need that
	// the level did not cover.
	shortLifetime = time.Second
	// aheadPart is the part of a level that one holder may get in advance.
	prefetchPart = 1.0 / 8
	// dust is an amount that only rounding can cause.
	tokenEpsilon = 1e-6
)

// Ledger is the owner's state of one workspace: its bucket, the grants that
// are out, and who waits for tokens.
type Ledger struct {
	Bucket
	// Former are the outstanding tokens of earlier owners, whose grants this
	// owner does not know. They are gone at FormerUntil.
	PriorOutstanding float64
	PriorUntil       time.Duration
	// Unknown says that Former is a guess, which is always the whole burst.
	PriorEstimated bool
	Grants         map[grantKey]*issuedGrant
	// Expiring holds the keys of grants by their end; grants that ended early
	// are still in it.
	Expiring []grantExpiry
	// Pledges are the needs of waiting holders in the order of arrival.
	Queue      []QueueEntry
	ShortUntil time.Time
}

// grantKey names a grant. A restarted holder counts its exchanges from 1 again
// while grants of its former run are out, so the session is part of it.
type grantKey struct {
	Holder   string
	Session  uint64
	Sequence uint64
}

type issuedGrant struct {
	Tokens, Spent, Returned float64
}

type grantExpiry struct {
	Key grantKey
	At  time.Duration
}

// Pledge keeps tokens for a holder that could not get them at once.
type QueueEntry struct {
	Holder string
	Need   float64
	Until  time.Duration
}

// newLedger returns the ledger of a workspace whose tokens may all be out.
func newLedger(now time.Duration, rate, burst float64) *Ledger {
	l := &Ledger{
		PriorOutstanding: burst,
		PriorUntil:       now + GrantLifetime,
		PriorEstimated:   true,
		Grants:           map[grantKey]*issuedGrant{},
	}
	l.Bucket = newBucket(now, rate, burst)
	l.Outstanding = burst
	l.record()
	return l
}

// takeOver replaces the guess of a new ledger by what the former owner said.
func (l *Ledger) restore(balance Balance) {
	l.PriorEstimated = false
	l.PriorOutstanding, l.Outstanding = balance.Outstanding, balance.Outstanding
	l.Level = min(balance.Level, max(0, l.Burst-l.Outstanding))
	l.record()
}

// resize changes rate and burst. While earlier grants are unknown, they may
// come to the new burst: an earlier owner may have known it first.
func (l *Ledger) resize(rate, burst float64) {
	if l.PriorEstimated && burst > l.PriorOutstanding {
		l.Outstanding += burst - l.PriorOutstanding
		l.PriorOutstanding = burst
	}
	l.setLimits(rate, burst)
}

// advance brings the ledger up to date: grants end, the level refills.
func (l *Ledger) advance(now time.Duration) {
	if l.PriorOutstanding > 0 && now >= l.PriorUntil {
		l.expire(l.PriorUntil, l.PriorOutstanding)
		l.PriorOutstanding, l.PriorEstimated = 0, false
	}
	ended := 0
	for ended < len(l.Expiring) && l.Expiring[ended].At <= now {
		next := l.Expiring[ended]
		if grant, ok := l.Grants[next.Key]; ok {
			l.expire(next.At, grant.remaining())
			delete(l.Grants, next.Key)
		}
		ended++
	}
	l.Expiring = l.Expiring[ended:]
	l.Bucket.advance(now)
}

// end lets outstanding tokens expire at a time. The headroom before it belongs
// to the moment before, so that a refund that dates from the end is not
// limited by it.
func (l *Ledger) expire(at time.Duration, tokens float64) {
	l.Bucket.advance(at - 1)
	l.spend(tokens)
}

func (g *issuedGrant) remaining() float64 {
	return max(0, g.Tokens-g.Spent-g.Returned)
}

// use applies what a holder says of its grants. Grants that have ended are
// ignored: their tokens count as spent since their end.
func (l *Ledger) applyUses(holder string, session uint64, uses []GrantUse) {
	spent, returned := 0.0, 0.0
	for _, use := range uses {
		key := grantKey{holder, session, use.Grant}
		grant := l.Grants[key]
		if grant == nil {
			continue
		}
		newSpent := min(max(0, use.Spent-grant.Spent), grant.remaining())
		grant.Spent += newSpent
		spent += newSpent
		newReturned := min(max(0, use.Returned-grant.Returned), grant.remaining())
		grant.Returned += newReturned
		returned += newReturned
		if grant.remaining() < tokenEpsilon {
			spent += grant.remaining()
			delete(l.Grants, key)
		}
	}
	l.spend(spent)
	if returned > 0 {
		l.release(returned)
	}
}

// takeBack undoes a grant that its holder never used.
func (l *Ledger) revoke(key grantKey) {
	if grant := l.Grants[key]; grant != nil {
		l.release(grant.remaining())
		delete(l.Grants, key)
	}
}

// lend grants tokens to a holder. A need that is not covered gets a place in
// the order of arrival, and later needs get only what is left, so that a large
// request is not overtaken for ever by small ones of other nodes.
func (l *Ledger) lend(now time.Time, key grantKey, account Account) (tokens float64, retryAfter time.Duration) {
	needsBefore, otherNeeds := l.queuedNeeds(key.Holder)
	if account.Need > 0 && l.Level-needsBefore < account.Need-tokenEpsilon {
		l.enqueue(key.Holder, account.Need)
		l.ShortUntil = now.Add(shortLifetime)
		return 0, l.retryAfter(needsBefore + account.Need - l.Level)
	}
	l.dequeue(key.Holder)
	tokens = account.Need
	unreserved := max(0, l.Level-otherNeeds-tokens)
	extra := min(unreserved, max(0, account.Waiting-account.Need))
	if account.Waiting > account.Need+extra+tokenEpsilon {
		l.ShortUntil = now.Add(shortLifetime)
		retryAfter = minRetryAfter
	}
	tokens += extra + min((unreserved-extra)*prefetchPart, account.Ahead)
	tokens = min(tokens, max(0, l.Level))
	if tokens < tokenEpsilon {
		return 0, retryAfter
	}
	l.issue(tokens)
	l.Grants[key] = &issuedGrant{Tokens: tokens}
	l.Expiring = append(l.Expiring, grantExpiry{Key: key, At: l.Mark + GrantLifetime})
	return tokens, retryAfter
}

func (l *Ledger) retryAfter(lacking float64) time.Duration {
	if l.Rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(lacking / l.Rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// pledged returns the needs of holders that came before one, and those of all
// others.
func (l *Ledger) queuedNeeds(holder string) (before, others float64) {
	kept := l.Queue[:0]
	seen := false
	for _, entry := range l.Queue {
		if entry.Until < l.Updated {
			continue
		}
		kept = append(kept, entry)
		if entry.Holder == holder {
			seen = true
			continue
		}
		others += entry.Need
		if !seen {
			before += entry.Need
		}
	}
	l.Queue = kept
	return before, others
}

func (l *Ledger) enqueue(holder string, need float64) {
	until := l.Updated + queueEntryLifetime
	for i := range l.Queue {
		if l.Queue[i].Holder == holder {
			l.Queue[i].Need, l.Queue[i].Until = need, until
			return
		}
	}
	l.Queue = append(l.Queue, QueueEntry{Holder: holder, Need: need, Until: until})
}

// withdraw gives up a holder's place.
func (l *Ledger) dequeue(holder string) {
	for i, entry := range l.Queue {
		if entry.Holder == holder {
			l.Queue = append(l.Queue[:i], l.Queue[i+1:]...)
			return
		}
	}
}
