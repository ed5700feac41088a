package cacher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minSharedTokens is the length of the shared parts of a prompt from which nodes tell
	// each other who keeps them. Shorter ones are not worth the bytes.
	minSharedTokens = 300
	// sharedTTL is how long a part counts as kept after the holder has published it.
	// refreshAge is the age from which a node that uses it reports it again.
	sharedTTL  = 10 * time.Minute
	refreshAge = sharedTTL / 2
	// reportAgainDelay is the time after which a part that was reported and not published
	// is reported again if it is still used.
	reportAgainDelay = 10 * time.Second
	// maxReported bounds the changes in a report, and maxPending those that wait for one.
	maxReported, maxPending = 16, 256
	// publishDelay is the time by which a published change may be older than an answer to
	// this node.
	publishDelay = 2 * time.Second
	// maxTokens bounds the tokens of a reported part, so that sums do not overflow.
	maxTokens = 1 << 24
)

// Change reports that a replica keeps a part, or no longer does if Tokens is 0.
type Change struct {
	Replica        string
	StartedMS      int64
	Model, Adapter string `json:",omitempty"`
	ID             string
	Tokens         int `json:",omitempty"`
}

type changeKey struct {
	replica string
	model   ModelKey
	id      string
}

func (c Change) key() changeKey {
	return changeKey{c.Replica, ModelKey{c.Model, c.Adapter}, c.ID}
}

func (k changeKey) compare(other changeKey) int {
	return cmp.Or(cmp.Compare(k.replica, other.replica), cmp.Compare(k.model.Model, other.model.Model),
		cmp.Compare(k.model.Adapter, other.model.Adapter), cmp.Compare(k.id, other.id))
}

// isValid reports whether a change has bounded fields.
func (c Change) isValid() bool {
	return c.Replica != "" && c.ID != "" && len(c.ID) <= MaxPartIDBytes && c.Tokens >= 0 && c.Tokens <= maxTokens
}

// ReportShared adds the parts that a replica has read to the next reports, unless the holder
// has published them. Parts of short beginnings are left out.
func (b *Beliefs) ReportShared(now time.Time, replica string, model ModelKey, shared []Part) {
	kept, total := b.Replicas[replica], 0
	for _, part := range shared {
		total += part.Tokens
	}
	if kept == nil || total < minSharedTokens {
		return
	}
	for _, part := range shared {
		one := kept.models[model][part.ID]
		if one == nil || now.Sub(one.sharedAt) < refreshAge || now.Sub(one.reportedAt) < reportAgainDelay {
			continue
		}
		one.reportedAt = now
		b.report(kept, one)
	}
}

// report adds the state of a part to the next reports.
func (b *Beliefs) report(kept *Kept, part *keptPart) {
	change := Change{part.replica, kept.StartedMS, part.model.Model, part.model.Adapter, part.id, part.tokens}
	if _, known := b.pending[change.key()]; known || len(b.pending) < maxPending {
		b.pending[change.key()] = change
	}
}

// Collect returns the changes for the next report to the holder.
func (b *Beliefs) Collect() []Change {
	if len(b.pending) == 0 {
		return nil
	}
	changes := sortedChanges(b.pending)
	changes = changes[:min(maxReported, len(changes))]
	for _, change := range changes {
		delete(b.pending, change.key())
	}
	return changes
}

func sortedChanges(pending map[changeKey]Change) []Change {
	changes := make([]Change, 0, len(pending))
	for _, change := range pending {
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.key().compare(b.key()) })
	return changes
}

// ReportAgain makes the node report the parts that it uses to a new holder.
func (b *Beliefs) ReportAgain() {
	for element := b.recent.Front(); element != nil; element = element.Next() {
		part := element.Value.(*keptPart)
		part.sharedAt, part.reportedAt = time.Time{}, time.Time{}
	}
}

// Apply adopts a change that the holder has published. capacity is the number of tokens that
// the replica can keep.
func (b *Beliefs) Apply(now time.Time, change Change, capacity int) {
	if !change.isValid() {
		return
	}
	model := ModelKey{change.Model, change.Adapter}
	if change.Tokens > 0 {
		b.Confirm(now, change.Replica, change.StartedMS, model, []Part{{change.ID, change.Tokens}}, capacity)
		if part := b.part(change.Replica, model, change.ID); part != nil {
			part.sharedAt = now
		}
		return
	}
	part := b.part(change.Replica, model, change.ID)
	if part == nil || b.Replicas[change.Replica].StartedMS != change.StartedMS {
		return
	}
	part.sharedAt = time.Time{}
	if now.Sub(part.readAt) > publishDelay {
		b.setTokens(part, 0)
	}
}

// Observe adopts what a replica itself has reported. A part that it no longer keeps remains
// with 0 tokens for a while, because events can arrive after the answer that shows that
// the part was read again.
func (b *Beliefs) Observe(now time.Time, replica string, startedMS int64, events []Event) {
	kept := b.Replicas[replica]
	if kept == nil || kept.StartedMS != startedMS {
		return
	}
	for _, event := range events {
		for model, parts := range kept.models {
			part := parts[event.ID]
			if part == nil || model.Model != event.Model || event.Adapter != "" && model.Adapter != event.Adapter || part.tokens == event.Tokens {
				continue
			}
			b.setTokens(part, event.Tokens)
			part.confirmedAt = now
			if !part.sharedAt.IsZero() || !part.reportedAt.IsZero() {
				b.report(kept, part)
			}
		}
	}
}

// Drop forgets what one start of a replica kept, because its changes are not known without a
// gap, and reports that to the holder.
func (b *Beliefs) Drop(replica string, startedMS int64) {
	kept := b.Replicas[replica]
	if kept == nil || kept.StartedMS != startedMS {
		return
	}
	for element := kept.recent.Front(); element != nil; element = element.Next() {
		if part := element.Value.(*keptPart); !part.sharedAt.IsZero() || !part.reportedAt.IsZero() {
			b.setTokens(part, 0)
			b.report(kept, part)
		}
	}
	b.Forget(replica)
}

func (b *Beliefs) part(replica string, model ModelKey, id string) *keptPart {
	if kept := b.Replicas[replica]; kept != nil {
		return kept.models[model][id]
	}
	return nil
}

func (b *Beliefs) setTokens(part *keptPart, tokens int) {
	b.Replicas[part.replica].Tokens += tokens - part.tokens
	part.tokens = tokens
}
