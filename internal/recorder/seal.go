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

// recordBytes estimates the size of a record without its reply's body.
const recordBytes = 250

// BucketOf returns the number of the bucket that holds a key.
func BucketOf(key Key) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	return int(hash.Sum32() % Buckets)
}

func (r Record) size() int {
	size := recordBytes
	for _, id := range r.Abandoned {
		size += len(id)
	}
	if r.Reply != nil {
		size += replySize(*r.Reply)
	}
	return size
}

// size is that of the record that an operation makes.
func (o Operation) size() int {
	if finish, ok := o.Action.(Finish); ok {
		return recordBytes + replySize(finish.Reply)
	}
	return recordBytes
}

// replySize counts a body in base64.
func replySize(reply filter.Reply) int {
	return len(reply.ContentType) + len(reply.Body)*4/3
}

// expire drops records and segments past their lifetime and returns the names
// of the segments.
func (a *written) expire(now time.Time) []string {
	for key, record := range a.records {
		if now.Sub(record.At) > Lifetime {
			delete(a.records, key)
		}
	}
	var expired []string
	var kept []Segment
	for _, segment := range a.segments {
		if now.After(segment.Until) {
			expired = append(expired, segment.Name)
		} else {
			kept = append(kept, segment)
		}
	}
	a.segments = kept
	if len(expired) > 0 {
		a.sealed = unexpired(now, a.sealed)
	}
	return expired
}

func unexpired(now time.Time, records map[Key]Record) map[Key]Record {
	kept := make(map[Key]Record, len(records))
	for key, record := range records {
		if now.Sub(record.At) <= Lifetime {
			kept[key] = record
		}
	}
	return kept
}

// seal moves the older half of the head's records into a new segment if the
// head is large. An outcome that comes later stands in the head, where it
// replaces the segment's record.
func (w *Writer) seal(number int, a *written) *Sealing {
	size := 0
	for _, record := range a.records {
		size += record.size()
	}
	if size <= w.SealBytes {
		return nil
	}
	w.Sealings++
	sealing := &Sealing{Name: w.segmentName(number)}
	sealed := maps.Clone(a.sealed)
	until := time.Time{}
	for _, record := range a.sorted() {
		if size <= w.SealBytes/2 {
			break
		}
		size -= record.size()
		sealing.Records = append(sealing.Records, record)
		sealed[record.Key] = record
		delete(a.records, record.Key)
		until = record.At.Add(Lifetime)
	}
	a.sealed = sealed
	a.segments = append(slices.Clone(a.segments), Segment{Name: sealing.Name, Until: until})
	return sealing
}

// segmentName returns a name that no earlier run of this node used: the version
// of the head grows with every segment that a head refers to.
func (w *Writer) segmentName(number int) string {
	return fmt.Sprintf("%s-%d-%d-%d", w.Node, number, w.Buckets[number].ObjectVersion, w.Sealings)
}

// sorted returns the head's records, oldest first.
func (a *written) sorted() []Record {
	records := make([]Record, 0, len(a.records))
	for _, record := range a.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(x, y Record) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Key, y.Key))
	})
	return records
}

func (a *written) content() Content {
	return Content{Segments: a.segments, Records: a.sorted()}
}
