package recorder

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// sendWindow is how long after its first Begin a node may still send a call.
const sendWindow = time.Hour

// attempt is the state of a node's request for a call, as the oracle sees it.
type attempt struct {
	operation        Operation
	startedAt        time.Time
	fresh            bool // the node received Fresh
	ended            bool // the node has crashed, given up or finished the request
	abandoned        bool // the node has given up and sent Abandon
	abandonConfirmed bool // a writer has confirmed the Abandon
	sent             bool
	hasOutcome       bool // the endpoint has replied
}

// operationRequest is an operation in transit to a writer.
type operationRequest struct {
	writer    int
	operation Operation
	attempt   *attempt
}

// operationResult is a result in transit to a node.
type operationResult struct {
	attempt *attempt
	result  Result
}

// access is a read or write in transit to the store.
type access struct {
	writer, writerRun int
	effect            Effect
	timedOut          bool // its writer has received a failure
}

// storeResult is a result of the store in transit to a writer.
type storeResult struct {
	writer, writerRun int
	message           Message
}

// world holds two or three writers of one bucket, a store, and the messages in
// transit between the writers, the store and the nodes.
type world struct {
	now          time.Time
	writers      []*Writer
	writerRuns   []int
	version      uint64
	content      Content
	segments     map[string][]Record
	requests     []operationRequest
	results      []operationResult
	accesses     []access
	storeResults []storeResult
	attempts     []*attempt
	calls        map[runner.Call]operationRequest
	nextCall     runner.Call
	// owners holds, by key, the attempt that received Fresh and has not
	// abandoned its intent. executed holds the attempt whose call may have run.
	owners   map[Key]*attempt
	executed map[Key]*attempt
	keys     []Key
}

// smallHeadBytes is a size at which a bucket of a few records is sealed.
const smallHeadBytes = 4 * recordOverheadBytes

func newWorld(t *rapid.T) *world {
	w := &world{
		now: tester.Start, segments: map[string][]Record{}, calls: map[runner.Call]operationRequest{},
		owners: map[Key]*attempt{}, executed: map[Key]*attempt{},
	}
	for number := 0; len(w.keys) < 6; number++ {
		if key := Key(fmt.Sprint(number)); BucketOf(key) == 0 {
			w.keys = append(w.keys, key)
		}
	}
	w.writerRuns = make([]int, rapid.IntRange(2, 3).Draw(t, "writers"))
	for i := range w.writerRuns {
		w.writers = append(w.writers, newSmallWriter(i))
	}
	return w
}

func newSmallWriter(number int) *Writer {
	writer := NewWriter(fmt.Sprintf("n%d", number))
	writer.MaxHeadBytes = smallHeadBytes
	return writer
}
