package recorder

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// checkResult compares the result of a Begin with the expected owner of the
// key, and records that an Abandon was confirmed.
func (w *world) checkResult(t *rapid.T, request operationRequest, result Result) {
	done, ok := result.(Done)
	if _, abandons := request.operation.Action.(Abandon); abandons && ok {
		request.attempt.abandonConfirmed = true
	}
	if _, begins := request.operation.Action.(Begin); !ok || !begins {
		return
	}
	owner := w.owners[request.operation.Key]
	switch record := done.Record.(type) {
	case filter.Fresh:
		if request.attempt.abandoned {
			return
		}
		if owner != nil && owner != request.attempt && w.recordIsLive(owner) {
			t.Fatalf("%s got Fresh while %s owns key %s", request.operation.ID, owner.operation.ID, request.operation.Key)
		}
		w.owners[request.operation.Key] = request.attempt
	case filter.Uncertain:
		if recorded := w.recordedAttempt(request.operation.Key); recorded != nil && recorded.abandonConfirmed {
			t.Fatalf("%s got Uncertain because of the intent of %s, which was abandoned", request.operation.ID, recorded.operation.ID)
		}
	case filter.Known:
		if owner == nil || !owner.hasOutcome || string(record.Reply.Body) != owner.operation.ID {
			t.Fatalf("%s got the reply %q, which is not the outcome of the call that ran", request.operation.ID, record.Reply.Body)
		}
		if owner.operation.Digest != request.operation.Digest {
			t.Fatalf("%s got the reply of another call", request.operation.ID)
		}
	}
}

// recordedAttempt returns the attempt whose intent the store holds for a key.
func (w *world) recordedAttempt(key Key) *attempt {
	var records []Record
	for _, segment := range w.content.Segments {
		records = append(records, w.segments[segment.Name]...)
	}
	record := indexByKey(append(records, w.content.Records...))[key]
	for _, a := range w.attempts {
		if a.operation.ID == record.Operation {
			return a
		}
	}
	return nil
}

// accessStore performs a pending read or write. Its reply may be lost, and a
// write whose reply is lost may take effect later.
func (w *world) accessStore(t *rapid.T) {
	index, next := drawOne(t, w.accesses, "access")
	fault := rapid.IntRange(0, 9).Draw(t, "fault")
	if fault == 0 && !next.timedOut {
		w.accesses[index].timedOut = true
		w.queueStoreResult(next, BucketFailed{Detail: "no reply"})
		return
	}
	w.accesses = slices.Delete(w.accesses, index, index+1)
	result := w.perform(next.effect, fault == 1)
	if fault == 2 {
		result = BucketFailed{Detail: "reply lost"}
	}
	if !next.timedOut {
		w.queueStoreResult(next, result)
	}
}

func (w *world) queueStoreResult(source access, message Message) {
	w.storeResults = append(w.storeResults, storeResult{source.writer, source.writerRun, message})
}

func (w *world) perform(effect Effect, outage bool) Message {
	if outage {
		return BucketFailed{Detail: "outage"}
	}
	switch effect := effect.(type) {
	case ReadBucket:
		read := BucketRead{ObjectVersion: w.version, Content: w.content}
		for _, segment := range w.content.Segments {
			if slices.Contains(effect.KnownSegments, segment.Name) {
				continue
			}
			read.SegmentRecords = append(read.SegmentRecords, w.segments[segment.Name]...)
		}
		return read
	case WriteBucket:
		return w.write(effect)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

func (w *world) write(effect WriteBucket) Message {
	if segment := effect.NewSegment; segment != nil {
		if _, exists := w.segments[segment.Name]; exists {
			return BucketFailed{Detail: "segment exists"}
		}
		w.segments[segment.Name] = segment.Records
	}
	if effect.IfVersion != w.version {
		return BucketFailed{Conflict: true}
	}
	w.version++
	w.content = effect.Content
	for _, name := range effect.ExpiredSegments {
		delete(w.segments, name)
	}
	return BucketWritten{ObjectVersion: w.version}
}
