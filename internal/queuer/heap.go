package queuer

// Item is an element of a Heap that stores its own index.
type Item[T any] interface {
	// Before reports whether the element belongs above the other one.
	Before(other T) bool
	// SetIndex stores the element's index; -1 means that it was removed.
	SetIndex(index int)
}

// Heap is a binary heap from which elements can be removed by index.
type Heap[T Item[T]] []T

// Push adds an element.
func (h *Heap[T]) Push(x T) {
	*h = append(*h, x)
	x.SetIndex(len(*h) - 1)
	h.up(len(*h) - 1)
}

// Fix restores the order after the element at the index has changed.
func (h Heap[T]) Fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

// Remove removes the element at the index. It does not compare this element, which
// may be empty by then.
func (h *Heap[T]) Remove(index int) {
	last := len(*h) - 1
	removed := (*h)[index]
	h.swap(index, last)
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	if index < last {
		h.Fix(index)
	}
	removed.SetIndex(-1)
}

func (h Heap[T]) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetIndex(i)
	h[j].SetIndex(j)
}

func (h Heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h[index].Before(h[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

// down moves an element down to its position and reports whether it moved.
func (h Heap[T]) down(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(h) {
			break
		}
		if right := child + 1; right < len(h) && h[right].Before(h[child]) {
			child = right
		}
		if !h[child].Before(h[index]) {
			break
		}
		h.swap(index, child)
		index = child
	}
	return index > start
}
