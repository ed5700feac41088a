package syncer

import (
	"time"
)

const (
	// minInterval and maxInterval bound the time between two exchanges when no
	// exchange is requested. On average, half of the interval passes before a
	// change of the fleet is known. The older the usage counts are, the less
	// accurately the workspace limits are enforced.
	minInterval = 250 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// intervalPerNode lengthens the interval in proportion to the number of
	// nodes, so that the holder answers about 100 exchanges per second.
	intervalPerNode = 10 * time.Millisecond
	// largeIntervalPerNode lengthens the interval above maxInterval in a fleet for
	// which that is too short: a holder answers at most 1,000 exchanges per second.
	largeIntervalPerNode = time.Millisecond
	// minRetryDelay is the delay after an exchange that found no holder. In a large
	// fleet it grows with the number of nodes, which all query the same few
	// candidates: by retryDelayPerNode.
	minRetryDelay     = 60 * time.Millisecond
	retryDelayPerNode = 850 * time.Microsecond
	// maxRetryDelay bounds the delay, which doubles with each consecutive exchange
	// that is not answered: a holder that is overloaded must not get more reports
	// because its answers are late.
	maxRetryDelay = 500 * time.Millisecond
	// retryJitter is the maximum relative change of a retry delay.
	retryJitter = 0.3
	// minUrgentDelay is the delay before a requested exchange, and thereby the
	// minimum time between two requested exchanges. It grows with the number of
	// nodes by urgentDelayPerNode.
	minUrgentDelay     = 2 * time.Millisecond
	urgentDelayPerNode = 100 * time.Microsecond
	// minTimeout ends an exchange on a connection that no longer responds. It grows
	// with the number of nodes by timeoutPerNode.
	minTimeout     = 400 * time.Millisecond
	timeoutPerNode = 2 * time.Millisecond
	// lostHolderTimeout is the time for which a holder that did not answer is not
	// queried again, although other nodes name it: they may not have noticed yet.
	lostHolderTimeout = 700 * time.Millisecond
	// probeInterval is the interval at which a node whose state comes from an acting
	// node looks for the holder of the lease elsewhere.
	probeInterval = 2 * time.Second
	// viewAge is the time since the last answer of a holder after which the nodes
	// that are queried send their own view of the store.
	viewAge = 800 * time.Millisecond
)

// interval returns the time between the starts of two regular exchanges.
func (c *Controller) interval() time.Duration {
	nodes := time.Duration(c.Registered)
	return max(min(maxInterval, max(minInterval, nodes*intervalPerNode)), nodes*largeIntervalPerNode)
}

func (c *Controller) urgentDelay() time.Duration {
	return max(minUrgentDelay, time.Duration(c.Registered)*urgentDelayPerNode)
}

// timeout returns the time limit of an exchange. In a large fleet, the answers of
// a new holder, which contain the whole state, queue up on its link.
func (c *Controller) timeout() time.Duration {
	return minTimeout + time.Duration(c.Registered)*timeoutPerNode
}

// retryDelay returns the delay after an exchange that found no holder.
func (c *Controller) retryDelay() time.Duration {
	delay := max(minRetryDelay, time.Duration(c.Registered)*retryDelayPerNode)
	for range max(0, c.Unanswered-maxCandidates) {
		if delay *= 2; delay > maxRetryDelay {
			break
		}
	}
	jitter := 1 + retryJitter*(2*c.Random.Float64()-1)
	return time.Duration(float64(min(delay, maxRetryDelay)) * jitter)
}
