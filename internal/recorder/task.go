package recorder

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/storer"
)

// Object kinds of bucket heads and segments.
const (
	bucketKind  = "Intents"
	segmentKind = "IntentSegment"
)

const inboxSize = 2048

// Task runs a Writer.
type Task = runner.Task[Message, Effect]

// NewTask returns the task that runs a node's writer on the given store.
func NewTask(clock clockwork.Clock, store storer.Store, writer *Writer) *Task {
	performer := performer{store: store}
	return runner.New(runner.Settings[Message, Effect]{
		Name:       "recorder",
		Clock:      clock,
		Controller: writer,
		Tick:       Tick{},
		Perform:    performer.perform,
		InboxSize:  inboxSize,
	})
}

// Execute has a writer's task carry out an operation, and returns its result.
func Execute(ctx context.Context, task *Task, operation Operation) (Result, error) {
	return runner.Ask[Result](ctx, task,
		func(call runner.Call) Message { return OperationRequested{Call: call, Operation: operation} }, nil)
}

type performer struct {
	store storer.Store
}

func (p performer) perform(handle runner.Handle[Message], effect Effect) {
	switch effect := effect.(type) {
	case ReadBucket:
		handle.Start(func(ctx context.Context) Message { return p.read(ctx, effect) })
	case WriteBucket:
		handle.Start(func(ctx context.Context) Message { return p.write(ctx, effect) })
	case AnswerCall:
		handle.Reply(effect.Call, effect.Result)
	}
}

func bucketID(bucket int) storer.ID {
	return storer.ID{Kind: bucketKind, Name: strconv.Itoa(bucket)}
}

func (p performer) read(ctx context.Context, effect ReadBucket) Message {
	bucket := effect.Bucket
	object, err := p.store.Get(ctx, bucketID(bucket))
	if errors.Is(err, storer.ErrNotFound) {
		return BucketRead{Bucket: bucket, Era: object.Era}
	}
	if err != nil {
		return BucketFailed{Bucket: bucket, Detail: err.Error()}
	}
	wire, err := encoder.DecodeLenient[contentWire](object.Data)
	if err != nil {
		return BucketFailed{Bucket: bucket, Detail: err.Error()}
	}
	read := BucketRead{Bucket: bucket, Era: object.Era, ObjectVersion: object.Version, Content: wire.decode()}
	for _, segment := range read.Content.Segments {
		if slices.Contains(effect.KnownSegments, segment.Name) {
			continue
		}
		records, err := p.readSegment(ctx, segment.Name)
		if err != nil {
			return BucketFailed{Bucket: bucket, Detail: err.Error()}
		}
		read.SegmentRecords = append(read.SegmentRecords, records...)
	}
	return read
}

func (p performer) readSegment(ctx context.Context, name string) ([]Record, error) {
	object, err := p.store.Get(ctx, storer.ID{Kind: segmentKind, Name: name})
	if err != nil {
		return nil, err
	}
	wire, err := encoder.DecodeLenient[[]recordWire](object.Data)
	if err != nil {
		return nil, err
	}
	return decodeRecords(wire), nil
}

func (p performer) write(ctx context.Context, effect WriteBucket) Message {
	if err := p.createSegment(ctx, effect.NewSegment); err != nil {
		return BucketFailed{Bucket: effect.Bucket, Detail: err.Error()}
	}
	data := encoder.Encode(encodeContent(effect.Content))
	object, err := p.store.Put(ctx, bucketID(effect.Bucket), effect.IfVersion, data)
	if err != nil {
		return BucketFailed{
			Bucket:   effect.Bucket,
			Conflict: errors.Is(err, storer.ErrConflict),
			Detail:   err.Error(),
		}
	}
	p.deleteSegments(ctx, effect.ExpiredSegments)
	return BucketWritten{Bucket: effect.Bucket, Era: object.Era, ObjectVersion: object.Version}
}

func (p performer) createSegment(ctx context.Context, segment *SealedSegment) error {
	if segment == nil {
		return nil
	}
	id := storer.ID{Kind: segmentKind, Name: segment.Name}
	_, err := p.store.Put(ctx, id, 0, encoder.Encode(encodeRecords(segment.Records)))
	return err
}

// deleteSegments deletes segments that no head refers to any more. A segment
// whose deletion fails only takes up space.
func (p performer) deleteSegments(ctx context.Context, names []string) {
	for _, name := range names {
		id := storer.ID{Kind: segmentKind, Name: name}
		if object, err := p.store.Get(ctx, id); err == nil {
			_ = p.store.Delete(ctx, id, object.Version)
		}
	}
}

type contentWire struct {
	Segments []segmentWire
	Records  []recordWire
}

type segmentWire struct {
	Name  string
	Until time.Time
}

type recordWire struct {
	Key       Key
	Operation string
	Digest    string
	At        time.Time
	Reply     *replyWire `json:",omitempty"`
	Abandoned []string   `json:",omitempty"`
}

type replyWire struct {
	Status      int
	ContentType string
	Body        []byte
}

func encodeContent(content Content) contentWire {
	wire := contentWire{Records: encodeRecords(content.Records)}
	for _, segment := range content.Segments {
		wire.Segments = append(wire.Segments, segmentWire(segment))
	}
	return wire
}

func (w contentWire) decode() Content {
	content := Content{Records: decodeRecords(w.Records)}
	for _, segment := range w.Segments {
		content.Segments = append(content.Segments, Segment(segment))
	}
	return content
}

func encodeRecords(records []Record) []recordWire {
	wire := make([]recordWire, 0, len(records))
	for _, record := range records {
		encoded := recordWire{Key: record.Key, Operation: record.Operation, Digest: record.Digest, At: record.At, Abandoned: record.Abandoned}
		if reply := record.Reply; reply != nil {
			encoded.Reply = &replyWire{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
		}
		wire = append(wire, encoded)
	}
	return wire
}

func decodeRecords(wire []recordWire) []Record {
	records := make([]Record, 0, len(wire))
	for _, encoded := range wire {
		record := Record{Key: encoded.Key, Operation: encoded.Operation, Digest: encoded.Digest, At: encoded.At, Abandoned: encoded.Abandoned}
		if reply := encoded.Reply; reply != nil {
			record.Reply = &filter.Reply{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
		}
		records = append(records, record)
	}
	return records
}
