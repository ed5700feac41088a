package forwarder

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestSlowCallerIsNoTimeoutOfTheReplica guards against a stream whose caller reads slowly and
// whose replica is taken to be too slow for that.
func TestSlowCallerIsNoTimeoutOfTheReplica(t *testing.T) {
	clock := clockwork.NewRealClock()
	e := &exchange{
		pool: &Pool{clock: clock, buffers: NewBufferBudget(1 << 20)},
		head: ResponseHead{Body: io.NopCloser(strings.NewReader("id: 1\n\nid: 2\n\n"))},
	}
	e.watchdog = clock.AfterFunc(time.Hour, func() { e.timedOut.Store(true) })
	defer e.watchdog.Stop()
	write := func([]byte) error {
		time.Sleep(300 * time.Millisecond)
		return nil
	}
	if err := e.forwardEvents(context.Background(), &EventStream{LastID: -1}, 200*time.Millisecond, write); err != nil {
		t.Fatal(err)
	}
	if e.timedOut.Load() {
		t.Error("the replica has timed out while the caller did not read")
	}
}

// TestHoldsReturnTheirMemory guards against memory that is lost with each request, and
// against large bodies that leave no room for ordinary ones.
func TestHoldsReturnTheirMemory(t *testing.T) {
	budget := NewBufferBudget(1 << 20)
	large, tooLarge, ordinary := BufferHold{Budget: budget}, BufferHold{Budget: budget}, BufferHold{Budget: budget}
	if err := large.Grow(freeBufferBytes + 1<<20); err != nil {
		t.Fatal(err)
	}
	if tooLarge.Grow(freeBufferBytes+1) == nil {
		t.Error("a body got more memory than there is")
	}
	if err := ordinary.Grow(freeBufferBytes); err != nil {
		t.Errorf("an ordinary body beside a large one: %v", err)
	}
	for _, hold := range []*BufferHold{&large, &tooLarge, &ordinary} {
		hold.Release()
	}
	if held, small := budget.held.Load(), budget.small.Load(); held != 0 || small != 0 {
		t.Errorf("%d and %d bytes are still held", held, small)
	}
}
