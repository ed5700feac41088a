package limiter

import "time"

const (
	// queueEntryLifetime is the time for which a holder that waits for tokens
	// keeps its queue position without another request. It is several times
	// maxRetryAfter, so that a lost exchange does not cost the position.
	queueEntryLifetime = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that the owner
	// sends to a holder.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 100 * time.Millisecond
	// shortLifetime is the time for which a workspace counts as short of tokens
	// after a need that the level did not cover.
	shortLifetime = time.Second
	// prefetchPart is the fraction of the unreserved level that one holder may
	// get as a prefetch.
	prefetchPart = 1.0 / 8
	// tokenEpsilon is the largest difference in tokens that is treated as a
	// rounding error.
	tokenEpsilon = 1e-6
)

// Ledger is the owner's state of one workspace: its bucket, the outstanding
// grants, and the queue of holders that wait for tokens.
type Ledger struct {
	Bucket
	// PriorOutstanding is the number of outstanding tokens in grants of earlier
	// owners. This owner has no record of these grants; they expire at
	// PriorUntil.
	PriorOutstanding float64
	PriorUntil       time.Duration
	// PriorEstimated reports that PriorOutstanding is the worst case, the whole
	// burst.
	PriorEstimated bool
	Grants         map[grantKey]*issuedGrant
	// Expiring contains the keys of grants in the order of their expiry. Grants
	// that ended early remain in it.
	Expiring []grantExpiry
	// Queue contains the needs of waiting holders in the order of arrival.
	Queue      []QueueEntry
	ShortUntil time.Time
}

// grantKey identifies a grant. It includes the session, because a restarted
// holder numbers its exchanges from 1 again while grants of its previous run may
// be outstanding.
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

// QueueEntry reserves tokens for a holder whose need was not covered when it
// arrived.
type QueueEntry struct {
	Holder string
	Need   float64
	Until  time.Duration
}

// newLedger returns the ledger of a workspace, all tokens of which may be
// outstanding in grants of an earlier owner.
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

// restore replaces the worst-case estimate of a new ledger with the balance that
// the previous owner handed over.
func (l *Ledger) restore(balance Balance) {
	l.PriorEstimated = false
	l.PriorOutstanding, l.Outstanding = balance.Outstanding, balance.Outstanding
	l.Level = min(balance.Level, max(0, l.Burst-l.Outstanding))
	l.record()
}

// resize changes rate and burst. While earlier grants are estimated, the estimate
// grows with the burst: an earlier owner may have applied the new burst first.
func (l *Ledger) resize(rate, burst float64) {
	if l.PriorEstimated && burst > l.PriorOutstanding {
		l.Outstanding += burst - l.PriorOutstanding
		l.PriorOutstanding = burst
	}
	l.setLimits(rate, burst)
}

// advance expires grants and refills the level up to now.
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

// expire spends the outstanding tokens of a grant that expires at a time. The
// headroom before the expiry is recorded 1 ns earlier, so that it does not limit
// a refund that dates from the expiry.
func (l *Ledger) expire(at time.Duration, tokens float64) {
	l.Bucket.advance(at - 1)
	l.spend(tokens)
}

func (g *issuedGrant) remaining() float64 {
	return max(0, g.Tokens-g.Spent-g.Returned)
}

// applyUses applies a holder's reported usage of its grants. Grants that have
// expired are ignored: their tokens count as spent since the expiry.
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

// revoke cancels a grant whose answer the holder never applied.
func (l *Ledger) revoke(key grantKey) {
	if grant := l.Grants[key]; grant != nil {
		l.release(grant.remaining())
		delete(l.Grants, key)
	}
}

// lend grants tokens to a holder. A need that cannot be covered is queued in the
// order of arrival, and later needs get only the tokens that earlier ones leave,
// so that a large request is not starved by small ones of other nodes.
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

// queuedNeeds returns the sum of the queued needs of the holders ahead of a
// holder, and of all holders but this one. It drops expired queue entries.
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

// dequeue removes a holder's queue entry.
func (l *Ledger) dequeue(holder string) {
	for i, entry := range l.Queue {
		if entry.Holder == holder {
			l.Queue = append(l.Queue[:i], l.Queue[i+1:]...)
			return
		}
	}
}
