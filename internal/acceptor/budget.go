package acceptor

import "sync/atomic"

// budget bounds the memory that the heads of all connections take together.
type budget struct {
	// limit bounds all heads, and largeLimit the parts of heads above smallHead.
	limit, largeLimit int64
	held, large       atomic.Int64
}

// newBudget returns the budget of a process with the given memory in bytes, 0 if that is
// not known. It has room for one head of the default size in the shortest lines.
func newBudget(memory int64) *budget {
	if memory <= 0 {
		memory = defaultMemory
	}
	const shortestLine = 3
	largest := headCost(defaults.HeaderBytes+headAllowance, defaults.HeaderBytes/shortestLine)
	limit := max(2*largest, int64(float64(memory)*headShare))
	return &budget{limit: limit, largeLimit: limit / 2}
}

// headCost returns the memory in bytes that a head takes.
func headCost(bytes, lines int) int64 { return int64(bytes)*byteCost + int64(lines)*lineCost }

// resize changes what one head holds from one number of bytes to another. It reports false
// if there is no room; what the head holds is then unchanged.
func (b *budget) resize(from, to int64) bool {
	largeGrowth := max(0, to-smallHead) - max(0, from-smallHead)
	growth := to - from
	if b.held.Add(growth) > b.limit && growth > 0 {
		b.held.Add(-growth)
		return false
	}
	if b.large.Add(largeGrowth) > b.largeLimit && largeGrowth > 0 {
		b.large.Add(-largeGrowth)
		b.held.Add(-growth)
		return false
	}
	return true
}

// scarce reports whether three quarters of the budget are held.
func (b *budget) scarce() bool { return b.held.Load() > b.limit/4*3 }
