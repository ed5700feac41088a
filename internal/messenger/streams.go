package messenger

import (
	"context"
	"net/http"
	"time"

	"toucanhitch.example/toucanhitch/internal/resumer"
)

const (
	rememberPath = "/peer/v1/streams"
	lookUpPath   = "/peer/v1/stream"
)

type streamRecord struct {
	Stream, Service string
	Version         string `json:",omitempty"`
	AgeMS           int64  `json:",omitempty"`
}

type rememberRequest struct{ Streams []streamRecord }

type rememberAnswer struct{}

type lookUpRequest struct{ Stream string }

type lookUpAnswer struct {
	Known            bool
	Service, Version string `json:",omitempty"`
}

// RememberStreams sends the origins of streams to a node that keeps them.
func (c *Client) RememberStreams(ctx context.Context, address string, records []resumer.Record) error {
	request := rememberRequest{Streams: make([]streamRecord, 0, len(records))}
	for _, record := range records {
		request.Streams = append(request.Streams, streamRecord{record.Stream, record.Origin.Service, record.Origin.Version, record.Age.Milliseconds()})
	}
	_, err := Exchange[rememberRequest, rememberAnswer](ctx, c, address, rememberPath, request)
	return err
}

// LookUpStream asks a node for the origin of a stream. It returns false if the node does
// not know it.
func (c *Client) LookUpStream(ctx context.Context, address, stream string) (resumer.Origin, bool, error) {
	answer, err := Exchange[lookUpRequest, lookUpAnswer](ctx, c, address, lookUpPath, lookUpRequest{stream})
	return resumer.Origin{Service: answer.Service, Version: answer.Version}, answer.Known, err
}

// HandleStreams registers the handlers of records of streams and of questions for them.
func HandleStreams(mux *http.ServeMux, remember func([]resumer.Record) error, lookUp func(ctx context.Context, stream string) (resumer.Origin, bool, error)) {
	mux.Handle("POST "+rememberPath, Handle(func(_ context.Context, request rememberRequest) (rememberAnswer, error) {
		records := make([]resumer.Record, 0, len(request.Streams))
		for _, stream := range request.Streams {
			records = append(records, resumer.Record{
				Stream: stream.Stream, Origin: resumer.Origin{Service: stream.Service, Version: stream.Version}, Age: time.Duration(stream.AgeMS) * time.Millisecond,
			})
		}
		return rememberAnswer{}, remember(records)
	}))
	mux.Handle("POST "+lookUpPath, Handle(func(ctx context.Context, request lookUpRequest) (lookUpAnswer, error) {
		origin, known, err := lookUp(ctx, request.Stream)
		return lookUpAnswer{known, origin.Service, origin.Version}, err
	}))
}
