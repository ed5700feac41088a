package router

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/estimator"
)

// Limits of the set of good candidates relative to the best one. The set is
// wide enough that nodes with slightly different views do not all choose the
// same endpoint, and narrow enough to exclude slower engines of an older
// generation while faster ones are free.
const (
	goodFactor = 1.5
	goodMargin = 10 * time.Millisecond
)

// Choose returns the index of the better of two random picks among the good
// candidates, or -1 if estimates is empty.
func Choose(estimates []Estimate, source *Source) int {
	best := Best(estimates)
	if best < 0 {
		return -1
	}
	bound := estimator.Scale(estimates[best].FirstToken, goodFactor) + goodMargin
	good := 0
	for _, estimate := range estimates {
		if estimate.FirstToken <= bound {
			good++
		}
	}
	first, second := source.IntN(good), source.IntN(good)
	return better(estimates, nthWithin(estimates, bound, first), nthWithin(estimates, bound, second))
}

// Best returns the index of the lowest estimate, or -1 if estimates is empty.
func Best(estimates []Estimate) int {
	best := -1
	for index := range estimates {
		if best < 0 || estimates[index].FirstToken < estimates[best].FirstToken {
			best = index
		}
	}
	return best
}

func nthWithin(estimates []Estimate, bound time.Duration, rank int) int {
	for index, estimate := range estimates {
		if estimate.FirstToken > bound {
			continue
		}
		if rank == 0 {
			return index
		}
		rank--
	}
	return -1
}

func better(estimates []Estimate, a, b int) int {
	if estimates[b].FirstToken < estimates[a].FirstToken {
		return b
	}
	return a
}
