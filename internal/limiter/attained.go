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
	// attainedGap is the time between two reports of use that nothing else
	// carries, and between two publications at a holder.
	attainedInterval = time.Second
	// attainedChange is the part by which a count differs from what a holder
	// knows before it is told again. The holder lets counts decay, so a
	// workspace that uses tokens steadily is told every 1.5 s.
	attainedTolerance = 0.1
	// attainedFloor is the count in tokens below which a workspace counts as
	// unused.
	attainedFloor = 1
	// attainedDust is a count that is forgotten. It is far below
	// attainedFloor, so that many small uses add up.
	attainedEpsilon = 0.01
)

// Attained is an exponentially decayed count of the tokens that requests of
// one workspace used.
type Attained struct {
	Tokens float64
	At     time.Time
}

// since returns the count at a time that is not before At.
func (a Attained) decayed(now time.Time) float64 {
	return a.Tokens * math.Exp2(-now.Sub(a.At).Seconds()/AttainedHalfLife.Seconds())
}

// AttainedCounts holds the counts of the workspaces by name.
type AttainedCounts map[string]Attained

// add counts tokens that were used.
func (c AttainedCounts) add(now time.Time, workspace string, tokens float64) {
	c[workspace] = Attained{Tokens: c[workspace].decayed(now) + tokens, At: now}
}

// forget drops counts that have become smaller than a number of tokens.
func (c AttainedCounts) dropBelow(now time.Time, least float64) {
	maps.DeleteFunc(c, func(_ string, count Attained) bool { return count.decayed(now) < least })
}

// tokens returns all counts at a time.
func (c AttainedCounts) tokens(now time.Time) map[string]float64 {
	tokens := make(map[string]float64, len(c))
	for workspace, count := range c {
		tokens[workspace] = count.decayed(now)
	}
	return tokens
}

// changed takes over what differs noticeably from the counts in c and returns
// it, sorted by workspace.
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

// attain counts the use that a holder reports. The numbers count from the time
// at which the holder turned to this owner, so that one that is repeated has
// no effect; a smaller one means that the holder started again.
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

// tell returns the counts that a holder does not know yet. What was told in an
// answer that got lost is told again.
func (o *Owner) attainedUpdates(now time.Time, exchange Exchange, peer *Peer) []AttainedService {
	if peer.Sequence > exchange.Received {
		clear(peer.SentCounts)
	}
	o.Attained.dropBelow(now, attainedEpsilon)
	peer.SentCounts.dropBelow(now, attainedEpsilon)
	return peer.SentCounts.applyChanges(now, o.Attained)
}

// heard keeps what this node's holder knows while another node is the owner,
// so that the counts outlive an owner.
func (o *Owner) receiveAttained(now time.Time, counts []AttainedService) {
	if o.canGrant(now) {
		return
	}
	clear(o.Attained)
	for _, count := range counts {
		o.Attained.add(now, count.Workspace, count.Tokens)
	}
}

// attained takes over what the owner told.
func (h *Holder) updateAttained(now time.Time, updates []AttainedService) {
	for _, count := range updates {
		h.Attained[count.Workspace] = Attained{Tokens: count.Tokens, At: now}
	}
	if len(updates) > 0 && h.PublishAt.IsZero() {
		h.PublishAt = now
	}
}

// publish gives the counts to the scheduler, once a second for as long as
// there are any. Without an owner they decay.
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
