package recorder

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// mayBeStale reports whether a result may be wrong because another writer has
// changed the bucket since it was read. A recorded outcome never changes.
func (b *Bucket) mayBeStale() bool {
	for _, result := range b.next.results[min(b.CoveredByRead, len(b.next.results)):] {
		done, ok := result.(Done)
		if !ok {
			return true
		}
		if _, known := done.Record.(filter.Known); !known {
			return true
		}
	}
	return false
}

// applyBatch moves pending operations into the batch, computes the bucket's
// state after them, and reports whether they change it.
func (b *Bucket) applyBatch(now time.Time) bool {
	b.takeBatch()
	b.next = bucketState{records: maps.Clone(b.Records), segmentRecords: b.SegmentRecords, segments: b.Segments}
	changed := false
	for _, pending := range b.Batch {
		result, wrote := b.next.applyOperation(now, pending.Operation)
		b.next.results = append(b.next.results, result)
		changed = changed || wrote
	}
	return changed
}

// find returns the unexpired record of a key. A record that only lists
// abandoned operations is returned with false.
func (s *bucketState) find(now time.Time, key Key) (Record, bool) {
	record, ok := s.records[key]
	if !ok {
		record, ok = s.segmentRecords[key]
	}
	if !ok || now.Sub(record.At) > RecordLifetime {
		return Record{}, false
	}
	return record, record.Operation != ""
}

// applyOperation applies one operation and reports whether it changed the
// bucket.
func (s *bucketState) applyOperation(now time.Time, operation Operation) (Result, bool) {
	record, found := s.find(now, operation.Key)
	switch action := operation.Action.(type) {
	case Begin:
		return s.begin(now, operation, record, found)
	case Finish:
		if !found || record.Operation != operation.ID {
			return Failed{"the intent is not recorded"}, false
		}
		if record.Reply != nil {
			return Done{filter.Known{Reply: *record.Reply}}, false
		}
		record.Reply = &action.Reply
		s.records[operation.Key] = record
		return Done{filter.Known{Reply: action.Reply}}, true
	case Abandon:
		return s.abandon(now, operation, record, found)
	default:
		panic(fmt.Sprintf("unknown action %T", action))
	}
}

// abandon removes the intent of an operation. If the intent has not arrived
// yet, it ensures that the intent is not recorded later.
func (s *bucketState) abandon(now time.Time, operation Operation, record Record, found bool) (Result, bool) {
	switch {
	case found && record.Operation == operation.ID && record.Reply != nil:
		return Done{filter.Uncertain{}}, false
	case slices.Contains(record.Abandoned, operation.ID):
		return Done{filter.Fresh{}}, false
	}
	abandoned := append(slices.Clone(record.Abandoned), operation.ID)
	abandoned = abandoned[max(0, len(abandoned)-maxAbandoned):]
	if !found || record.Operation == operation.ID {
		// An empty operation overrides the record in a segment.
		record = Record{Key: operation.Key, At: now}
	}
	record.Abandoned = abandoned
	s.records[operation.Key] = record
	return Done{filter.Fresh{}}, true
}

func (s *bucketState) begin(now time.Time, operation Operation, record Record, found bool) (Result, bool) {
	switch {
	case slices.Contains(record.Abandoned, operation.ID):
		return Done{filter.Uncertain{}}, false
	case !found:
		s.records[operation.Key] = Record{
			Key:       operation.Key,
			Operation: operation.ID,
			Digest:    operation.Digest,
			At:        now,
			Abandoned: record.Abandoned,
		}
		return Done{filter.Fresh{}}, true
	case record.Digest != operation.Digest:
		return Mismatch{}, false
	case record.Operation == operation.ID && record.Reply == nil:
		// The earlier write, whose outcome was unknown, took effect.
		return Done{filter.Fresh{}}, false
	case record.Reply != nil:
		return Done{filter.Known{Reply: *record.Reply}}, false
	default:
		return Done{filter.Uncertain{}}, false
	}
}
