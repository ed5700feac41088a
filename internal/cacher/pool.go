package cacher

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// publishRate is the number of changes that the holder publishes a second, and
	// publishBurst that at once. A change takes 23 to 27 bytes after compression, so that
	// 60 take 1.6 KB/s at each node, of 10 KB/s for all control traffic.
	publishRate, publishBurst = 60, 120
	// maxStateChanges bounds the changes in a state, and maxFullChanges those for a node
	// that has none. Older ones are left out: the node learns them from its own answers.
	maxStateChanges, maxFullChanges = 256, 2048
	// maxPoolEntries bounds what the holder knows.
	maxPoolEntries = 8192
	// tombstoneTTL is how long the holder remembers that a part is no longer kept.
	tombstoneTTL = time.Minute
)

// Pool holds what the nodes have reported of the parts that replicas keep. It belongs to the
// holder, and its zero value is empty.
type Pool struct {
	Entries map[changeKey]*poolEntry
	// published holds the published entries, the newest first, and pending those that
	// wait to be published.
	published list.List
	pending   map[changeKey]*poolEntry
	// allowance is the number of changes that may be published as of allowedAt.
	allowance float64
	allowedAt time.Time
}

type poolEntry struct {
	change Change
	// reports counts the reports of the change since it was last published. What most
	// nodes use is published first.
	reports     int
	version     uint64
	publishedAt time.Time
	element     *list.Element
}

// Record adds the changes of a node's report.
func (p *Pool) Record(now time.Time, changes []Change) {
	if p.Entries == nil {
		p.Entries, p.pending = map[changeKey]*poolEntry{}, map[changeKey]*poolEntry{}
	}
	for _, change := range changes[:min(len(changes), maxReported)] {
		if change.isValid() {
			p.record(now, change)
		}
	}
}

func (p *Pool) record(now time.Time, change Change) {
	key := change.key()
	entry := p.Entries[key]
	switch {
	case entry == nil && change.Tokens == 0:
		return
	case entry == nil:
		if len(p.Entries) >= maxPoolEntries && !p.evict() {
			return
		}
		entry = &poolEntry{}
		p.Entries[key] = entry
	case change.StartedMS < entry.change.StartedMS:
		return
	case change == entry.change && p.pending[key] == nil && now.Sub(entry.publishedAt) < reportAgainDelay:
		// Nodes report again what they have not received.
		return
	}
	if change.Tokens == 0 && entry.version == 0 {
		p.remove(key)
		return
	}
	entry.change = change
	entry.reports++
	p.pending[key] = entry
}

// evict forgets the entry that was published first. It reports whether there was one.
func (p *Pool) evict() bool {
	oldest := p.published.Back()
	if oldest != nil {
		p.remove(oldest.Value.(*poolEntry).change.key())
	}
	return oldest != nil
}

func (p *Pool) remove(key changeKey) {
	if entry := p.Entries[key]; entry != nil && entry.element != nil {
		p.published.Remove(entry.element)
	}
	delete(p.Entries, key)
	delete(p.pending, key)
}

// Publish adopts pending changes with a version, the most reported first, as far as publishRate
// allows. It reports whether there are any.
func (p *Pool) Publish(now time.Time, version uint64) bool {
	p.allowance = min(publishBurst, p.allowance+now.Sub(p.allowedAt).Seconds()*publishRate)
	p.allowedAt = now
	if len(p.pending) == 0 || p.allowance < 1 {
		return false
	}
	entries := slices.SortedFunc(maps.Values(p.pending), func(a, b *poolEntry) int {
		return cmp.Or(cmp.Compare(b.reports, a.reports), a.change.key().compare(b.change.key()))
	})
	for _, entry := range entries[:min(len(entries), int(p.allowance))] {
		p.allowance--
		entry.version, entry.publishedAt, entry.reports = version, now, 0
		delete(p.pending, entry.change.key())
		if entry.element == nil {
			entry.element = p.published.PushFront(entry)
		} else {
			p.published.MoveToFront(entry.element)
		}
	}
	return true
}

// Since returns the changes that were published after a version, the newest first. Without a
// version, parts that are no longer kept are left out.
func (p *Pool) Since(version uint64) []Change {
	limit := maxStateChanges
	if version == 0 {
		limit = maxFullChanges
	}
	var changes []Change
	for element := p.published.Front(); element != nil && len(changes) < limit; element = element.Next() {
		entry := element.Value.(*poolEntry)
		if entry.version <= version {
			break
		}
		if version > 0 || entry.change.Tokens > 0 {
			changes = append(changes, entry.change)
		}
	}
	return changes
}

// Retain forgets the parts of replicas that have ended or no longer have the model, and old
// removals. The nodes do the same without a change.
func (p *Pool) Retain(now time.Time, isKept func(Change) bool) {
	for key, entry := range p.Entries {
		if !isKept(entry.change) || entry.change.Tokens == 0 && now.Sub(entry.publishedAt) > tombstoneTTL && p.pending[key] == nil {
			p.remove(key)
		}
	}
}
