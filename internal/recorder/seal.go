package recorder

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// recordOverheadBytes is the estimated size of a record without the body of its
// reply.
const recordOverheadBytes = 250

// BucketOf returns the number of the bucket that holds a key.
func BucketOf(key Key) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	return int(hash.Sum32() % BucketCount)
}

func (r Record) size() int {
	size := recordOverheadBytes
	for _, id := range r.Abandoned {
		size += len(id)
	}
	if r.Reply != nil {
		size += replySize(*r.Reply)
	}
	return size
}

// size returns the size of the record that the operation creates.
func (o Operation) size() int {
	if finish, ok := o.Action.(Finish); ok {
		return recordOverheadBytes + replySize(finish.Reply)
	}
	return recordOverheadBytes
}

// replySize returns the encoded size of a reply, whose body is stored in
// base64.
func replySize(reply filter.Reply) int {
	return len(reply.ContentType) + len(reply.Body)*4/3
}

// expire drops the records and segments whose lifetime has ended, and returns
// the names of the dropped segments.
func (s *bucketState) expire(now time.Time) []string {
	for key, record := range s.records {
		if now.Sub(record.At) > RecordLifetime {
			delete(s.records, key)
		}
	}
	var expired []string
	var kept []Segment
	for _, segment := range s.segments {
		if now.After(segment.Until) {
			expired = append(expired, segment.Name)
		} else {
			kept = append(kept, segment)
		}
	}
	s.segments = kept
	if len(expired) > 0 {
		s.segmentRecords = unexpired(now, s.segmentRecords)
	}
	return expired
}

func unexpired(now time.Time, records map[Key]Record) map[Key]Record {
	kept := make(map[Key]Record, len(records))
	for key, record := range records {
		if now.Sub(record.At) <= RecordLifetime {
			kept[key] = record
		}
	}
	return kept
}

// seal moves the older half of the head's records into a new segment if the
// head is larger than MaxHeadBytes. An outcome that arrives later is stored in
// the head, where it overrides the record in the segment.
func (w *Writer) seal(number int, state *bucketState) *SealedSegment {
	size := 0
	for _, record := range state.records {
		size += record.size()
	}
	if size <= w.MaxHeadBytes {
		return nil
	}
	w.SegmentsCreated++
	segment := &SealedSegment{Name: w.segmentName(number)}
	segmentRecords := maps.Clone(state.segmentRecords)
	until := time.Time{}
	for _, record := range state.sortedRecords() {
		if size <= w.MaxHeadBytes/2 {
			break
		}
		size -= record.size()
		segment.Records = append(segment.Records, record)
		segmentRecords[record.Key] = record
		delete(state.records, record.Key)
		until = record.At.Add(RecordLifetime)
	}
	state.segmentRecords = segmentRecords
	state.segments = append(slices.Clone(state.segments), Segment{Name: segment.Name, Until: until})
	return segment
}

// segmentName returns a name that no earlier run of this node has used. It
// contains the version of the head, which increases with every segment that a
// head refers to.
func (w *Writer) segmentName(number int) string {
	return fmt.Sprintf("%s-%d-%d-%d", w.Node, number, w.Buckets[number].ObjectVersion, w.SegmentsCreated)
}

// sortedRecords returns the head's records, oldest first.
func (s *bucketState) sortedRecords() []Record {
	records := make([]Record, 0, len(s.records))
	for _, record := range s.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(x, y Record) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Key, y.Key))
	})
	return records
}

func (s *bucketState) content() Content {
	return Content{Segments: s.segments, Records: s.sortedRecords()}
}
