package supervisor

import (
	"encoding/base64"
	"math"
	"reflect"
	"testing"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

func newCacheEvents(count int) tracker.CacheEvents {
	events := tracker.CacheEvents{Endpoint: "engine-1234", Last: 1 << 20}
	for index := range count {
		events.Events = append(events.Events, router.CacheEvent{
			Sequence: 1<<20 - uint64(count-index), Model: []string{"forecast-large@12", "gusts@2"}[index%2],
			Prefix: math.MaxUint64 - uint64(index), Stored: index%3 > 0,
		})
	}
	return events
}

// Guards against encoding that changes events, and against accepting items
// whose lists have different lengths or indexes out of range.
func TestEventsItemKeepsEvents(t *testing.T) {
	for _, count := range []int{0, 1, tracker.MaxEventsPerItem} {
		sent := newCacheEvents(count)
		item, err := encoder.Decode[eventsItem](encoder.Encode(newEventsItem(sent)))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := item.events(); err != nil || !reflect.DeepEqual(got, sent) {
			t.Errorf("%d events: %+v, %v; want %+v", count, got, err, sent)
		}
	}
	for _, item := range []eventsItem{
		{Sequences: []uint64{1}},
		{Sequences: []uint64{1}, Prefixes: []uint64{1}, Models: []int{0}},
		{Sequences: []uint64{1}, Prefixes: []uint64{1}, Models: []int{-1}, Names: []string{"m@1"}},
		newEventsItem(newCacheEvents(tracker.MaxEventsPerItem + 1)),
	} {
		if events, err := item.events(); err == nil {
			t.Errorf("%+v gave %+v; want an error", item, events)
		}
	}
}

// Guards against items that exceed the size per node stated in
// docs/scheduling.md. With -v it prints the sizes.
func TestEventsItemIsSmall(t *testing.T) {
	size := func(count int) int {
		return base64.StdEncoding.EncodedLen(len(encoder.Encode(newEventsItem(newCacheEvents(count)))))
	}
	empty, each := size(0), (size(tracker.MaxEventsPerItem)-size(0))/tracker.MaxEventsPerItem
	t.Logf("an item takes %d bytes and %d for each event", empty, each)
	if empty > 100 || each > 60 {
		t.Errorf("an item takes %d bytes and %d for each event; want at most 100 and 60", empty, each)
	}
}
