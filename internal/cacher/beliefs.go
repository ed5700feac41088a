package cacher

import (
	"container/list"
	"strings"
	"time"
)

const (
	// beliefTTL is how long a part counts as kept after it was last confirmed. Requests of
	// other nodes may have displaced it unnoticed.
	beliefTTL = 2 * time.Minute
	// MaxPartIDBytes is the length of an ID up to which a part is considered, so that
	// callers cannot make a node keep long ones.
	MaxPartIDBytes = 64
	// maxParts bounds the parts of all replicas. A part takes about 300 bytes.
	maxParts = 16384
	// maxReplicaParts bounds the parts of one replica.
	maxReplicaParts = 1024
)

// Part is a part of a prompt. A replica keeps a part only with all parts before it.
type Part struct {
	ID     string
	Tokens int
}

// ModelKey identifies a model, with or without an adapter. Caches of different models and
// adapters are of no use to each other.
type ModelKey struct{ Model, Adapter string }

// Beliefs holds what replicas are believed to keep. If there is no more room, the parts that
// were confirmed least recently are forgotten first.
type Beliefs struct {
	Replicas map[string]*Kept
	// recent holds all parts, the most recently confirmed first.
	recent list.List
	// pending holds the changes that were not reported to the holder yet.
	pending map[changeKey]Change
}

// Kept is what one start of a replica is believed to keep.
type Kept struct {
	StartedMS int64
	// Tokens is the sum over all parts.
	Tokens int
	models map[ModelKey]map[string]*keptPart
	// recent holds the parts of the replica, the most recently confirmed first.
	recent list.List
}

// keptPart is a part that a replica is believed to keep.
type keptPart struct {
	replica string
	model   ModelKey
	id      string
	// tokens is 0 if the replica no longer keeps the part.
	tokens int
	// confirmedAt is when it was last confirmed, and readAt when an answer to this node
	// last did so.
	confirmedAt, readAt time.Time
	// sharedAt is when the holder last published the part, and reportedAt when this node
	// last reported it, each zero if never.
	sharedAt, reportedAt time.Time
	// inAll and inReplica are its elements in the lists of Beliefs and Kept.
	inAll, inReplica *list.Element
}

// NewBeliefs returns beliefs without any part.
func NewBeliefs() *Beliefs {
	return &Beliefs{Replicas: map[string]*Kept{}, pending: map[changeKey]Change{}}
}

// Len returns the number of parts.
func (b *Beliefs) Len() int { return b.recent.Len() }

// CachedTokens returns the number of tokens at the beginning of a prompt that a replica need
// not read. A part of which it keeps less than the whole ends the beginning.
func (b *Beliefs) CachedTokens(now time.Time, replica string, model ModelKey, parts []Part) int {
	kept := b.Replicas[replica]
	if kept == nil {
		return 0
	}
	known := kept.models[model]
	total := 0
	for _, part := range parts {
		one := known[part.ID]
		if one == nil || now.Sub(one.confirmedAt) > beliefTTL && now.Sub(one.sharedAt) > sharedTTL {
			break
		}
		total += min(one.tokens, part.Tokens)
		if one.tokens < part.Tokens {
			break
		}
	}
	return total
}

// Read records that an answer to this node shows that a replica has read the parts of a prompt.
// The first shared ones are reported to the holder.
func (b *Beliefs) Read(now time.Time, replica string, startedMS int64, model ModelKey, parts []Part, shared, capacity int) {
	b.Confirm(now, replica, startedMS, model, parts, capacity)
	for _, part := range parts {
		if one := b.part(replica, model, part.ID); one != nil {
			one.readAt = now
		}
	}
	b.ReportShared(now, replica, model, parts[:min(shared, len(parts))])
}

// Confirm records that a replica has read the parts of a prompt. capacity is the number of
// tokens that it can keep.
func (b *Beliefs) Confirm(now time.Time, replica string, startedMS int64, model ModelKey, parts []Part, capacity int) {
	kept := b.Replicas[replica]
	if kept == nil || kept.StartedMS != startedMS {
		b.Forget(replica)
		kept = &Kept{StartedMS: startedMS, models: map[ModelKey]map[string]*keptPart{}}
		b.Replicas[replica] = kept
	}
	known := kept.models[model]
	if known == nil {
		model = ModelKey{strings.Clone(model.Model), strings.Clone(model.Adapter)}
		known = map[string]*keptPart{}
		kept.models[model] = known
	}
	// The first part is confirmed last and so forgotten last: no other part counts
	// without it.
	for i := len(parts) - 1; i >= 0; i-- {
		if one := known[parts[i].ID]; one != nil {
			b.setTokens(one, parts[i].Tokens)
			one.confirmedAt = now
			b.recent.MoveToFront(one.inAll)
			kept.recent.MoveToFront(one.inReplica)
			continue
		}
		// The ID is a part of a header that is not to be kept.
		one := &keptPart{replica: replica, model: model, id: strings.Clone(parts[i].ID), confirmedAt: now}
		one.inAll, one.inReplica = b.recent.PushFront(one), kept.recent.PushFront(one)
		known[one.id] = one
		b.setTokens(one, parts[i].Tokens)
	}
	for kept.recent.Len() > 0 && (kept.Tokens > capacity || kept.recent.Len() > maxReplicaParts) {
		b.remove(kept.recent.Back().Value.(*keptPart))
	}
	for b.recent.Len() > maxParts {
		b.remove(b.recent.Back().Value.(*keptPart))
	}
}

// Forget forgets a replica that has ended.
func (b *Beliefs) Forget(replica string) {
	if kept := b.Replicas[replica]; kept != nil {
		for kept.recent.Len() > 0 {
			b.remove(kept.recent.Back().Value.(*keptPart))
		}
	}
	delete(b.Replicas, replica)
}

// Retain forgets what a replica kept of models and adapters that it no longer has, and
// everything if it was started again.
func (b *Beliefs) Retain(replica string, startedMS int64, has func(model, adapter string) bool) {
	kept := b.Replicas[replica]
	if kept == nil {
		return
	}
	if kept.StartedMS != startedMS {
		b.Forget(replica)
		return
	}
	for key := range kept.models {
		if !has(key.Model, key.Adapter) {
			b.ForgetModel(replica, key)
		}
	}
}

// ForgetModel forgets what a replica kept of a model.
func (b *Beliefs) ForgetModel(replica string, model ModelKey) {
	if kept := b.Replicas[replica]; kept != nil {
		for _, part := range kept.models[model] {
			b.remove(part)
		}
		delete(kept.models, model)
	}
}

func (b *Beliefs) remove(part *keptPart) {
	kept := b.Replicas[part.replica]
	kept.Tokens -= part.tokens
	kept.recent.Remove(part.inReplica)
	b.recent.Remove(part.inAll)
	known := kept.models[part.model]
	delete(known, part.id)
	if len(known) == 0 {
		delete(kept.models, part.model)
	}
}
