package supervisor

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/router"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// eventsItem encodes prefix-cache events for transfer between nodes. The
// events are stored by column: entry i of each list belongs to event i. This
// takes 44 bytes per event; a list of objects takes 122.
type eventsItem struct {
	Endpoint  string
	Last      uint64
	Sequences []uint64 `json:",omitempty"`
	Prefixes  []uint64 `json:",omitempty"`
	// Models are indexes into Names.
	Models []int `json:",omitempty"`
	// Dropped are the indexes of the events that report a prefix as no longer
	// cached.
	Dropped []int    `json:",omitempty"`
	Names   []string `json:",omitempty"`
}

func newEventsItem(events tracker.CacheEvents) eventsItem {
	item := eventsItem{Endpoint: events.Endpoint, Last: events.Last}
	for index, event := range events.Events {
		model := slices.Index(item.Names, event.Model)
		if model < 0 {
			model = len(item.Names)
			item.Names = append(item.Names, event.Model)
		}
		item.Sequences = append(item.Sequences, event.Sequence)
		item.Prefixes = append(item.Prefixes, event.Prefix)
		item.Models = append(item.Models, model)
		if !event.Stored {
			item.Dropped = append(item.Dropped, index)
		}
	}
	return item
}

func (i eventsItem) events() (tracker.CacheEvents, error) {
	events := tracker.CacheEvents{Endpoint: i.Endpoint, Last: i.Last}
	count := len(i.Sequences)
	if len(i.Prefixes) != count || len(i.Models) != count || count > tracker.MaxEventsPerItem {
		return events, merry.Errorf("%d sequences, %d prefixes and %d models; want the same number, at most %d",
			count, len(i.Prefixes), len(i.Models), tracker.MaxEventsPerItem)
	}
	for index, model := range i.Models {
		if model < 0 || model >= len(i.Names) {
			return events, merry.Errorf("Models[%d] is %d; want an index of the %d Names", index, model, len(i.Names))
		}
		events.Events = append(events.Events, router.CacheEvent{
			Sequence: i.Sequences[index],
			Model:    i.Names[model],
			Prefix:   i.Prefixes[index],
			Stored:   !slices.Contains(i.Dropped, index),
		})
	}
	return events, nil
}

// pushEvents applies the events to this node's scheduler and publishes them to
// the other nodes of the region.
func (n *Node) pushEvents(events tracker.CacheEvents) {
	n.applyEvents(events)
	n.publishItem(spreader.Events, events.Endpoint, 0, spreader.Region, encoder.Encode(newEventsItem(events)))
}

func (n *Node) applyEvents(events tracker.CacheEvents) {
	n.logPostError("scheduler", n.scheduler.Post(scheduler.CacheEvents(events)))
}

func (n *Node) deliverEvents(item eventsItem) error {
	events, err := item.events()
	if err == nil {
		n.applyEvents(events)
	}
	return err
}
