package limiter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// AttainedHalfLife is the time in which the weight of used tokens halves.
	AttainedHalfLife = 10 * time.Second
	// attainedInterval is the time between two reports of used tokens when no
	// other exchange carries them, and between two publications by a holder.
	attainedInterval = time.Second
	// attainedTolerance is the relative difference between the owner's count
	// and the holder's above which the owner sends the count again. The
	// holder's counts decay, so the count of a workspace with steady usage is
	// sent every 1.5 s.
	attainedTolerance = 0.1
	// attainedFloor is the count in tokens below which a workspace is treated
	// as idle.
	attainedFloor = 1
	// attainedEpsilon is the count in tokens below which the owner drops an
	// entry. It is far below attainedFloor, so that many small uses add up.
	attainedEpsilon = 0.01
)

// Attained is an exponentially decayed count of the tokens that requests of
// one workspace used, as of the time At.
type Attained struct {
	Tokens float64
	At     time.Time
}

// decayed returns the count in tokens at now, which must not be before At.
func (a Attained) decayed(now time.Time) float64 {
	return a.Tokens * math.Exp2(-now.Sub(a.At).Seconds()/AttainedHalfLife.Seconds())
}

// AttainedCounts maps workspace names to their counts.
type AttainedCounts map[string]Attained

// add adds used tokens to the count of a workspace.
func (c AttainedCounts) add(now time.Time, workspace string, tokens float64) {
	c[workspace] = Attained{Tokens: c[workspace].decayed(now) + tokens, At: now}
}

// dropBelow deletes the counts that have decayed below a number of tokens.
func (c AttainedCounts) dropBelow(now time.Time, least float64) {
	maps.DeleteFunc(c, func(_ string, count Attained) bool { return count.decayed(now) < least })
}

// tokens returns all counts, decayed to now.
func (c AttainedCounts) tokens(now time.Time) map[string]float64 {
	tokens := make(map[string]float64, len(c))
	for workspace, count := range c {
		tokens[workspace] = count.decayed(now)
	}
	return tokens
}

// applyChanges copies into c the counts that differ from its own by more than
// attainedTolerance and attainedFloor. It returns them sorted by workspace.
func (c AttainedCounts) applyChanges(now time.Time, counts AttainedCounts) []AttainedService {
	var updates []AttainedService
	for _, workspace := range slices.Sorted(maps.Keys(counts)) {
		tokens := counts[workspace].decayed(now)
		if math.Abs(tokens-c[workspace].decayed(now)) <= max(attainedTolerance*tokens, attainedFloor) {
			continue
		}
		c[workspace] = Attained{Tokens: tokens, At: now}
		updates = append(updates, AttainedService{Workspace: workspace, Tokens: tokens})
	}
	return updates
}

// recordUse adds the tokens that a holder reports as used. The reported number
// is cumulative from the time at which the holder first contacted this owner, so
// a repeated report has no effect. A smaller number means that the holder
// restarted.
func (o *Owner) recordUse(now time.Time, peer *Peer, account Account) {
	known := peer.ReportedUse[account.Workspace]
	if account.Used < known {
		known = 0
	}
	if o.Ledgers[account.Workspace] == nil || account.Used <= known {
		return
	}
	o.Attained.add(now, account.Workspace, account.Used-known)
	peer.ReportedUse[account.Workspace] = account.Used
}

// attainedUpdates returns the counts that a holder does not have yet. Counts
// that were sent in a lost answer are sent again.
func (o *Owner) attainedUpdates(now time.Time, exchange Exchange, peer *Peer) []AttainedService {
	if peer.Sequence > exchange.Received {
		clear(peer.SentCounts)
	}
	o.Attained.dropBelow(now, attainedEpsilon)
	peer.SentCounts.dropBelow(now, attainedEpsilon)
	return peer.SentCounts.applyChanges(now, o.Attained)
}

// receiveAttained copies the counts of this node's holder while another node is
// the owner, so that the counts survive a change of owner.
func (o *Owner) receiveAttained(now time.Time, counts []AttainedService) {
	if o.canGrant(now) {
		return
	}
	clear(o.Attained)
	for _, count := range counts {
		o.Attained.add(now, count.Workspace, count.Tokens)
	}
}

// updateAttained stores the counts that the owner sent.
func (h *Holder) updateAttained(now time.Time, updates []AttainedService) {
	for _, count := range updates {
		h.Attained[count.Workspace] = Attained{Tokens: count.Tokens, At: now}
	}
	if len(updates) > 0 && h.PublishAt.IsZero() {
		h.PublishAt = now
	}
}

// publish sends the counts to the scheduler once a second while there are any.
// Without an owner they only decay.
func (h *Holder) publish(now time.Time) []HolderEffect {
	if h.PublishAt.IsZero() {
		return nil
	}
	if now.Before(h.PublishAt) {
		h.scheduleTick(h.PublishAt)
		return nil
	}
	h.Attained.dropBelow(now, attainedFloor)
	h.PublishAt = time.Time{}
	if len(h.Attained) > 0 {
		h.PublishAt = now.Add(attainedInterval)
		h.scheduleTick(h.PublishAt)
	}
	return []HolderEffect{PublishAttained{Tokens: h.Attained.tokens(now)}}
}
