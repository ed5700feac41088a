package scheduler

// item is a heap element that stores its own index.
type item[T any] interface {
	// before reports whether the element belongs above the other one.
	before(other T) bool
	// setIndex stores the element's index; -1 means that it was removed.
	setIndex(index int)
}

// heap is a binary heap from which elements can be removed by index.
type heap[T item[T]] []T

func (h *heap[T]) push(x T) {
	*h = append(*h, x)
	x.setIndex(len(*h) - 1)
	h.up(len(*h) - 1)
}

func (h heap[T]) fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *heap[T]) remove(index int) {
	last := len(*h) - 1
	removed := (*h)[index]
	h.swap(index, last)
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	if index < last {
		h.fix(index)
	}
	removed.setIndex(-1)
}

func (h heap[T]) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

func (h heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h[index].before(h[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

// down moves an element down to its position and reports whether it moved.
func (h heap[T]) down(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(h) {
			break
		}
		if right := child + 1; right < len(h) && h[right].before(h[child]) {
			child = right
		}
		if !h[child].before(h[index]) {
			break
		}
		h.swap(index, child)
		index = child
	}
	return index > start
}
