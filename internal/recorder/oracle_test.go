package recorder

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// check compares an answer to Begin with what the oracle knows.
func (w *world) check(t *rapid.T, asked question, result Result) {
	done, ok := result.(Done)
	if _, abandons := asked.operation.Action.(Abandon); abandons && ok {
		asked.attempt.released = true
	}
	if _, begins := asked.operation.Action.(Begin); !ok || !begins {
		return
	}
	holder := w.holder[asked.operation.Key]
	switch record := done.Record.(type) {
	case filter.Fresh:
		if asked.attempt.abandoned {
			return
		}
		if holder != nil && holder != asked.attempt && w.lives(holder) {
			t.Fatalf("%s is fresh while %s holds key %s", asked.operation.ID, holder.operation.ID, asked.operation.Key)
		}
		w.holder[asked.operation.Key] = asked.attempt
	case filter.Uncertain:
		if blocker := w.recorded(asked.operation.Key); blocker != nil && blocker.released {
			t.Fatalf("%s is uncertain because of %s, which was abandoned", asked.operation.ID, blocker.operation.ID)
		}
	case filter.Known:
		if holder == nil || !holder.outcome || string(record.Reply.Body) != holder.operation.ID {
			t.Fatalf("%s got the reply %q, which is not the outcome of the call that ran", asked.operation.ID, record.Reply.Body)
		}
		if holder.operation.Digest != asked.operation.Digest {
			t.Fatalf("%s got the reply of another call", asked.operation.ID)
		}
	}
}

// recorded returns the attempt whose intent the store holds for a key.
func (w *world) recorded(key Key) *attempt {
	var records []Record
	for _, segment := range w.content.Segments {
		records = append(records, w.segments[segment.Name]...)
	}
	record := index(append(records, w.content.Records...))[key]
	for _, a := range w.attempts {
		if a.operation.ID == record.Operation {
			return a
		}
	}
	return nil
}

// act carries out a read or write. Its reply may be lost, and a write whose
// reply is lost may take effect later.
func (w *world) act(t *rapid.T) {
	at, next := pick(t, w.accesses, "access")
	fault := rapid.IntRange(0, 9).Draw(t, "fault")
	if fault == 0 && !next.gaveUp {
		w.accesses[at].gaveUp = true
		w.tell(next, BucketFailed{Detail: "no reply"})
		return
	}
	w.accesses = slices.Delete(w.accesses, at, at+1)
	result := w.perform(next.effect, fault == 1)
	if fault == 2 {
		result = BucketFailed{Detail: "reply lost"}
	}
	if !next.gaveUp {
		w.tell(next, result)
	}
}

func (w *world) tell(to access, message Message) {
	w.news = append(w.news, news{to.writer, to.run, message})
}

func (w *world) perform(effect Effect, outage bool) Message {
	if outage {
		return BucketFailed{Detail: "outage"}
	}
	switch effect := effect.(type) {
	case ReadBucket:
		read := BucketRead{ObjectVersion: w.version, Content: w.content}
		for _, segment := range w.content.Segments {
			if slices.Contains(effect.Known, segment.Name) {
				continue
			}
			read.Sealed = append(read.Sealed, w.segments[segment.Name]...)
		}
		return read
	case WriteBucket:
		return w.write(effect)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

func (w *world) write(effect WriteBucket) Message {
	if sealing := effect.Sealing; sealing != nil {
		if _, exists := w.segments[sealing.Name]; exists {
			return BucketFailed{Detail: "segment exists"}
		}
		w.segments[sealing.Name] = sealing.Records
	}
	if effect.IfVersion != w.version {
		return BucketFailed{Conflict: true}
	}
	w.version++
	w.content = effect.Content
	for _, name := range effect.Expired {
		delete(w.segments, name)
	}
	return BucketWritten{ObjectVersion: w.version}
}
