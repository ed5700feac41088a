package placer

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// engine simulates an endpoint.
type engine struct {
	instance  tracker.Instance
	fence     uint64
	sequence  uint64
	run       int
	reclaimed bool
	items     map[Key]*loadedItem
	// hasUnmanaged is true if another sender has loaded a model here.
	hasUnmanaged bool
}

type loadedItem struct {
	state     tracker.State
	memoryMB  int
	unmanaged bool
}

// executeOrder executes an order. An endpoint that ignores fences also
// executes duplicates.
func (s *simulation) executeOrder(e *engine, order Order) Outcome {
	if e.instance.HonoursFence {
		if order.Fence < e.fence {
			return StaleFence
		}
		if order.Fence == e.fence {
			return Accepted
		}
		e.fence = order.Fence
	}
	switch order.Kind {
	case LoadModel, LoadAdapter:
		s.load(e, order.Key, order.MemoryMB)
	case UnloadModel, UnloadAdapter:
		s.unload(e, order.Key)
	}
	return Accepted
}

func (s *simulation) load(e *engine, key Key, memoryMB int) {
	if key.Adapter != "" && !e.holds(Key{Model: key.Model}) {
		return
	}
	item, ok := e.items[key]
	if ok && item.state != tracker.Unloading && item.state != tracker.Failed {
		return
	}
	item = &loadedItem{state: tracker.Loading, memoryMB: memoryMB, unmanaged: ok && item.unmanaged}
	e.items[key] = item
	result := "loads"
	if !s.faultFree {
		result = rapid.SampledFrom([]string{"loads", "loads", "loads", "fails", "hangs"}).Draw(s.t, "load result")
	}
	if result == "hangs" {
		return
	}
	s.schedule(s.drawDelay("load", 300, 5000), func() {
		if e.items[key] != item || item.state != tracker.Loading {
			return
		}
		item.state = tracker.Loaded
		if result == "fails" {
			item.state = tracker.Failed
		}
	})
}

func (s *simulation) unload(e *engine, key Key) {
	for other, item := range e.items {
		if other != key && (key.Adapter != "" || other.Model != key.Model) {
			continue
		}
		if item.state == tracker.Failed {
			delete(e.items, other) // a failed load has no memory to free
			continue
		}
		item.state = tracker.Unloading
	}
	s.schedule(s.drawDelay("unload", 50, 1500), func() {
		for _, other := range slices.SortedFunc(maps.Keys(e.items), compareKeys) {
			affected := other == key || (key.Adapter == "" && other.Model == key.Model)
			if affected && e.items[other].state == tracker.Unloading {
				delete(e.items, other)
			}
		}
	})
}

func (e *engine) holds(key Key) bool {
	item, ok := e.items[key]
	return ok && item.state != tracker.Failed
}

func (e *engine) usedMB() int {
	sum := 0
	for _, item := range e.items {
		if item.state != tracker.Failed {
			sum += item.memoryMB
		}
	}
	return sum
}
