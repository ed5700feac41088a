package placer

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// engine is an endpoint.
type engine struct {
	instance tracker.Instance
	fence    uint64
	sequence uint64
	run      int
	gone     bool
	held     map[Key]*held
	// stranger says that someone else gave orders here.
	stranger bool
}

type held struct {
	state    tracker.State
	memoryMB int
	stranger bool
}

// take carries out an order. An endpoint that ignores fences also carries out
// repeated ones.
func (w *world) take(e *engine, order Order) Outcome {
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
		w.load(e, order.Key, order.MemoryMB)
	case UnloadModel, UnloadAdapter:
		w.unload(e, order.Key)
	}
	return Accepted
}

func (w *world) load(e *engine, key Key, memoryMB int) {
	if key.Adapter != "" && !e.has(Key{Model: key.Model}) {
		return
	}
	h, ok := e.held[key]
	if ok && h.state != tracker.Unloading && h.state != tracker.Failed {
		return
	}
	h = &held{state: tracker.Loading, memoryMB: memoryMB, stranger: ok && h.stranger}
	e.held[key] = h
	fate := "loads"
	if !w.calm {
		fate = rapid.SampledFrom([]string{"loads", "loads", "loads", "fails", "hangs"}).Draw(w.t, "fate")
	}
	if fate == "hangs" {
		return
	}
	w.after(w.milliseconds("load", 300, 5000), func() {
		if e.held[key] != h || h.state != tracker.Loading {
			return
		}
		h.state = tracker.Loaded
		if fate == "fails" {
			h.state = tracker.Failed
		}
	})
}

func (w *world) unload(e *engine, key Key) {
	for other, h := range e.held {
		if other != key && (key.Adapter != "" || other.Model != key.Model) {
			continue
		}
		if h.state == tracker.Failed {
			delete(e.held, other) // a failed load holds nothing that could unload
			continue
		}
		h.state = tracker.Unloading
	}
	w.after(w.milliseconds("unload", 50, 1500), func() {
		for _, other := range slices.SortedFunc(maps.Keys(e.held), compareKeys) {
			same := other == key || (key.Adapter == "" && other.Model == key.Model)
			if same && e.held[other].state == tracker.Unloading {
				delete(e.held, other)
			}
		}
	})
}

func (e *engine) has(key Key) bool {
	h, ok := e.held[key]
	return ok && h.state != tracker.Failed
}

func (e *engine) usedMB() int {
	sum := 0
	for _, h := range e.held {
		if h.state != tracker.Failed {
			sum += h.memoryMB
		}
	}
	return sum
}
