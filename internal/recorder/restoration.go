package recorder

import (
	"slices"
	"time"
)

// recoverRecords adds this writer's confirmed records to those that were found in the
// head after the object API was restored from an older copy. A call whose intent was
// lost must not run again. The records of segments are added only if the restored head
// lacks a segment.
func (b *Bucket) recoverRecords(now time.Time, found map[Key]Record, segments []Segment) {
	b.addLost(now, found, b.Records)
	for _, segment := range b.Segments {
		if !slices.Contains(segments, segment) {
			b.addLost(now, found, b.SegmentRecords)
			return
		}
	}
}

// addLost adds the confirmed records that are missing or older in the head.
func (b *Bucket) addLost(now time.Time, found, confirmed map[Key]Record) {
	for key, record := range unexpired(now, confirmed) {
		listed, ok := found[key]
		if ok && (listed.At.After(record.At) || listed.Operation == record.Operation && (listed.Reply != nil || record.Reply == nil)) {
			continue
		}
		found[key], b.Recovered = record, true
	}
}
