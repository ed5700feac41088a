package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// historyLength is the age of the oldest spend that can be refunded.
	historyLength = 2 * time.Minute
	// maxMinima bounds the memory of a history to 8 KiB. Above it, adjacent
	// minima are merged, which makes refunds smaller, never larger.
	maxMinima = 512
)

// History computes the smallest headroom that a bucket has had since a given
// time. It keeps only the times at which the headroom was smaller than at any
// later time, so headrooms increase from the first entry to the last.
type History struct {
	Minima []Minimum
}

// Minimum is the smallest headroom after the time of the preceding minimum.
type Minimum struct {
	At       time.Duration
	Headroom float64
}

// record adds the headroom at a time that is not before the last recorded one.
func (h *History) record(at time.Duration, headroom float64) {
	kept := len(h.Minima)
	for kept > 0 && h.Minima[kept-1].Headroom >= headroom {
		kept--
	}
	h.Minima = h.Minima[:kept]
	if kept == 0 || h.Minima[kept-1].At < at {
		h.Minima = append(h.Minima, Minimum{At: at, Headroom: headroom})
	}
	h.trim(at - historyLength)
}

func (h *History) trim(oldest time.Duration) {
	if len(h.Minima) > 0 && h.Minima[0].At < oldest {
		h.Minima = slices.Delete(h.Minima, 0, h.find(oldest))
	}
	if len(h.Minima) <= maxMinima {
		return
	}
	merged := h.Minima[:0]
	for i := 0; i+1 < len(h.Minima); i += 2 {
		merged = append(merged, Minimum{At: h.Minima[i+1].At, Headroom: h.Minima[i].Headroom})
	}
	if len(h.Minima)%2 == 1 {
		merged = append(merged, h.Minima[len(h.Minima)-1])
	}
	h.Minima = merged
}

// find returns the index of the first minimum at or after a time, or the number
// of minima if there is none.
func (h *History) find(at time.Duration) int {
	low, high := 0, len(h.Minima)
	for low < high {
		middle := (low + high) / 2
		if h.Minima[middle].At < at {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// minHeadroomSince returns the smallest headroom from a time until the last
// record, or +Inf if nothing was recorded in it.
func (h *History) minHeadroomSince(at time.Duration) float64 {
	first := h.find(at)
	if first == len(h.Minima) {
		return math.Inf(1)
	}
	return h.Minima[first].Headroom
}

// lower reduces the headroom at and after a time.
func (h *History) lower(at time.Duration, by float64) {
	first := h.find(at)
	if first == len(h.Minima) {
		return
	}
	for i := first; i < len(h.Minima); i++ {
		h.Minima[i].Headroom -= by
	}
	kept := first
	for kept > 0 && h.Minima[kept-1].Headroom >= h.Minima[first].Headroom {
		kept--
	}
	h.Minima = slices.Delete(h.Minima, kept, first)
}
