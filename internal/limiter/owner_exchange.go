package limiter

import (
	"slices"
	"time"
)

// peerRetention is the time for which the owner keeps the state of a holder that
// is gone from the instance list. It is far longer than a message can be delayed.
const peerRetention = 10 * time.Minute

// Peer is the owner's state of a holder.
type Peer struct {
	Session  uint64
	Sequence uint64
	// LastGrants names the workspaces of the grants in the last answer.
	LastGrants []string
	Seen       time.Time
	// ReportedUse is the number of used tokens that the holder reported, and
	// SentCounts contains the counts that it was sent, both by workspace.
	ReportedUse map[string]float64
	SentCounts  AttainedCounts
}

// exchange processes an exchange and returns its answer. An exchange that is
// repeated, late or meant for another epoch is refused and has no effect.
func (o *Owner) exchange(now time.Time, exchange Exchange) (Answer, []OwnerEffect) {
	peer := o.peer(now, exchange)
	if peer == nil {
		return o.refuse(exchange), nil
	}
	effects := o.updateSlots(now, exchange.Holder)
	o.Stamp = max(o.Stamp+1, now.Sub(o.EpochStart))
	o.revokeUnused(exchange, peer)
	for _, account := range exchange.Accounts {
		o.applyReport(exchange, account)
		o.recordUse(now, peer, account)
	}
	o.Stamp++
	updates := o.attainedUpdates(now, exchange, peer)
	answer := Answer{Epoch: o.Epoch, Stamp: o.Stamp, Standing: o.Slots.standing(now, exchange.Holder), Attained: updates}
	peer.Sequence, peer.LastGrants, peer.Seen = exchange.Sequence, nil, now
	for _, account := range exchange.Accounts {
		if grant, ok := o.grant(now, exchange, account); ok {
			answer.Grants = append(answer.Grants, grant)
			peer.LastGrants = append(peer.LastGrants, account.Workspace)
		}
	}
	answer.Short = o.shortWorkspaces(now)
	return answer, effects
}

// refuse returns a refusal. A holder whose clock went back during a restart gets
// the session that it must exceed.
func (o *Owner) refuse(exchange Exchange) Answer {
	answer := Answer{Refused: true, Epoch: o.Epoch}
	if peer := o.Peers[exchange.Holder]; peer != nil && exchange.Session < peer.Session {
		answer.Session = peer.Session
	}
	return answer
}

// peer returns the state of an exchange's holder, or nil if the exchange must be
// refused.
func (o *Owner) peer(now time.Time, exchange Exchange) *Peer {
	if !o.canGrant(now) || exchange.Epoch != o.Epoch {
		return nil
	}
	peer := o.Peers[exchange.Holder]
	if peer == nil || exchange.Session > peer.Session {
		peer = &Peer{Session: exchange.Session, ReportedUse: map[string]float64{}, SentCounts: AttainedCounts{}}
		o.Peers[exchange.Holder] = peer
	}
	if exchange.Session < peer.Session || exchange.Sequence <= peer.Sequence {
		return nil
	}
	return peer
}

// updateSlots frees the standing shares of nodes that are gone and assigns one to
// a holder, if it is not empty.
func (o *Owner) updateSlots(now time.Time, holder string) []OwnerEffect {
	freed := o.Slots.freeMissing(now)
	assigned := holder != "" && o.Slots.assign(now, holder)
	if !freed && !assigned {
		return nil
	}
	o.configure(now, o.Limits)
	return []OwnerEffect{o.storeLeaseData()}
}

// revokeUnused revokes the grants of an answer that the holder did not apply. Since
// a holder has at most one exchange in flight, this can only be the last answer.
func (o *Owner) revokeUnused(exchange Exchange, peer *Peer) {
	if peer.Sequence <= exchange.Received {
		return
	}
	for _, workspace := range peer.LastGrants {
		if ledger := o.Ledgers[workspace]; ledger != nil {
			ledger.advance(o.Stamp)
			ledger.revoke(grantKey{exchange.Holder, exchange.Session, peer.Sequence})
		}
	}
}

// applyReport applies a holder's report. The spending is applied first, because
// refunds date from after it.
func (o *Owner) applyReport(exchange Exchange, account Account) {
	ledger := o.Ledgers[account.Workspace]
	if ledger == nil {
		return
	}
	ledger.advance(o.Stamp)
	ledger.applyUses(exchange.Holder, exchange.Session, account.Grants)
	if account.Overdrawn > 0 {
		ledger.charge(account.Overdrawn)
	}
	for _, refund := range account.Refunds {
		ledger.refund(refund.Since, refund.Tokens)
	}
	if account.Donated > 0 {
		ledger.add(account.Donated)
	}
}

func (o *Owner) grant(now time.Time, exchange Exchange, account Account) (Grant, bool) {
	ledger := o.Ledgers[account.Workspace]
	if ledger == nil {
		return Grant{}, false
	}
	ledger.advance(o.Stamp)
	if account.Waiting+account.Ahead <= 0 {
		ledger.dequeue(exchange.Holder)
		return Grant{}, false
	}
	tokens, retryAfter := ledger.lend(now, grantKey{exchange.Holder, exchange.Session, exchange.Sequence}, account)
	return Grant{Workspace: account.Workspace, Tokens: tokens, RetryAfter: retryAfter}, tokens > 0 || retryAfter > 0
}

// shortWorkspaces returns the names of the workspaces in which a need was not
// covered within shortLifetime.
func (o *Owner) shortWorkspaces(now time.Time) []string {
	var names []string
	for _, limit := range o.Limits {
		if now.Before(o.Ledgers[limit.Workspace].ShortUntil) {
			names = append(names, limit.Workspace)
		}
	}
	return names
}

// updateInstances applies the instance list: it drops the state of holders and
// frees the standing shares of nodes that are gone.
func (o *Owner) updateInstances(now time.Time, names []string) []OwnerEffect {
	o.Slots.setInstances(now, names)
	for name, peer := range o.Peers {
		if !slices.Contains(names, name) && now.Sub(peer.Seen) > peerRetention {
			delete(o.Peers, name)
		}
	}
	if !o.canGrant(now) {
		return nil
	}
	return o.updateSlots(now, "")
}
