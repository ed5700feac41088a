package benchmarker

import (
	"testing"
	"time"
)

// TestFleetSettlesAfterTakeover guards against a fleet that overloads the new
// holder of the placement lease and never finds it: answers with the whole state
// of the fleet queue on the holder's link, the exchanges time out, and the nodes
// repeat them at once. The pattern is the loss of the holder of hundreds of nodes,
// most of them small.
func TestFleetSettlesAfterTakeover(t *testing.T) {
	for _, size := range takeoverSizes {
		result := simulateTakeover(1, size)
		if result.unfound > 0 || result.foundAfter > 3*time.Second {
			t.Errorf("%d nodes: %d without the new holder, the last one found it after %v; want all within 3 s", size.nodes, result.unfound, result.foundAfter)
		}
		if result.failedAtRest > 0 {
			t.Errorf("%d nodes: %d exchanges failed in the last %v", size.nodes, result.failedAtRest, takeoverRest)
		}
		if result.linkShare > 0.5 {
			t.Errorf("%d nodes: the answers take %.2f of the holder's link at rest; want at most half", size.nodes, result.linkShare)
		}
	}
}
