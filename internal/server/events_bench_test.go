package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
)

// BenchmarkStream measures the time and the allocations to write one token to a
// caller over TCP.
func BenchmarkStream(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	clock := clockwork.NewRealClock()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		request := &filter.Request{Identity: "identity", Arrived: clock.Now()}
		events := newEventWriter(clock, w, "model")
		for index := range b.N {
			if err := events.emit(request, filter.Token{Index: index, Text: " word"}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	go func() { _ = Serve(ctx, clock, listener, handler, time.Second) }()
	b.ReportAllocs()
	b.ResetTimer()
	response, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
}
