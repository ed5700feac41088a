package recorder

import (
	"fmt"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// fullBucket returns a writer whose bucket is just below the size at which it
// is sealed. Half of its records have an outcome with a body of 200 bytes.
func fullBucket() *Writer {
	writer := NewWriter("n1")
	bucket := &writer.Buckets[0]
	bucket.Loaded = true
	bucket.Records = map[Key]Record{}
	for size, number := 0, 0; ; number++ {
		record := Record{
			Key: Key(fmt.Sprintf("%032x", number)), Operation: fmt.Sprintf("%036x", number),
			Digest: "0123456789abcdef", At: tester.Start.Add(time.Duration(number) * 123457),
		}
		if number%2 == 0 {
			record.Reply = &filter.Reply{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}
		}
		if size += record.size(); size > maxHeadBytes-recordOverheadBytes {
			return writer
		}
		bucket.Records[record.Key] = record
	}
}

// BenchmarkCommit measures the controller's steps for one write of a full
// bucket.
func BenchmarkCommit(b *testing.B) {
	writer := fullBucket()
	key := bucketKeys(1)[0]
	for b.Loop() {
		writer.Step(tester.Start, OperationRequested{Operation: Operation{Key: key, ID: "x", Action: Begin{}}})
		writer.Step(tester.Start, BucketFailed{})
		bucket := &writer.Buckets[0]
		bucket.Loaded, bucket.Pending, bucket.NotBefore, bucket.Failures = true, nil, time.Time{}, 0
	}
}

// BenchmarkEncode measures encoding a full bucket as JSON.
func BenchmarkEncode(b *testing.B) {
	content := encodedState(fullBucket())
	var data []byte
	for b.Loop() {
		data = encoder.Encode(encodeContent(content))
	}
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportMetric(float64(len(content.Records)), "records")
}

// BenchmarkDecode measures decoding a full bucket, as after a conflict.
func BenchmarkDecode(b *testing.B) {
	data := encoder.Encode(encodeContent(encodedState(fullBucket())))
	for b.Loop() {
		if _, err := encoder.Decode[contentWire](data); err != nil {
			b.Fatal(err)
		}
	}
}

func encodedState(writer *Writer) Content {
	state := bucketState{records: writer.Buckets[0].Records}
	return state.content()
}
