package messenger_test

import (
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/placer"
)

// Guards against a demand that the wire encoding changes, and against a message
// with one malformed demand of which the others are delivered.
func TestDemandRoundTrip(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var got []placer.Demand
	server := httptest.NewServer(messenger.HandleDemand(clock, func(demand placer.Demand) error {
		got = append(got, demand)
		return nil
	}))
	defer server.Close()
	client, closeClient := messenger.NewClient(clock)
	defer closeClient()
	address := strings.TrimPrefix(server.URL, "http://")
	want := []placer.Demand{
		{Node: "n1", Model: "m@1", Class: filter.Assured, Waiting: 2, EarliestDeadline: clock.Now().Add(time.Second)},
		{Node: "n1", Model: "m@1", Adapter: "a@3", Class: filter.Deferred, EarliestDeadline: clock.Now().Add(-time.Second)},
	}
	if err := messenger.SendDemand(t.Context(), client, address, "n1", want); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("delivered %+v; want %+v", got, want)
	}
	bad := append(want, placer.Demand{Model: "m@1", Class: "urgent"})
	if err := messenger.SendDemand(t.Context(), client, address, "n1", bad); err == nil || len(got) != len(want) {
		t.Errorf("malformed demand: %v, %d delivered; want an error and %d", err, len(got), len(want))
	}
}
