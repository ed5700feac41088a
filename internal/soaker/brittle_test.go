package soaker

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// brittleRoom is the number of requests that a brittle replica takes at once: its slots.
	brittleRoom = 8
	// bearableRefusals is the number of requests that it can turn away in a second.
	bearableRefusals = 2
	// baseFalls and fallShare bound how often the replicas of a service may fall: baseFalls
	// and one in fallShare of them.
	baseFalls, fallShare = 2, 10
)

// TestBrittleReplicasStayUp guards against nodes that fill a brittle replica together, because
// each knows the requests of the others too late, so that it falls over again and again.
func TestBrittleReplicasStayUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), 171, 6)
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	brittle := d.replicas[:3]
	for _, r := range brittle {
		r.emulated.SetFaults(emulator.ReplicaFaults{Brittle: true, MaxRefusals: bearableRefusals, Room: brittleRoom})
	}
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	callerGroup.Go(func() { d.runPromptCaller(callersCtx, 0, 40*time.Millisecond, false, results) })
	time.Sleep(contactBound)
	fallsBefore := 0
	for _, r := range brittle {
		fallsBefore += r.emulated.Falls()
	}
	for i := range 8 {
		callerGroup.Go(func() { d.runPromptCaller(callersCtx, i+1, 16*time.Millisecond, false, results) })
	}
	time.Sleep(6 * time.Second)
	stopCallers()
	callerGroup.Wait()

	falls := -fallsBefore
	for _, r := range brittle {
		falls += r.emulated.Falls()
	}
	if allowed := baseFalls + len(brittle)/fallShare; falls > allowed {
		t.Errorf("%d replicas fell over %d times, want at most %d", len(brittle), falls, allowed)
	}
	succeeded := 0
	for _, o := range results.outcomes {
		if o.status == http.StatusOK && o.complete {
			succeeded++
		}
	}
	if succeeded*4 < len(results.outcomes) {
		t.Errorf("%d of %d requests were served, want at least a quarter", succeeded, len(results.outcomes))
	}
	t.Logf("%d falls, %d of %d requests were served", falls, succeeded, len(results.outcomes))
	if t.Failed() {
		d.saveLogs(171)
	}
}
