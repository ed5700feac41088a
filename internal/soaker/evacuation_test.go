package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// evacuationBound is the time within which an evacuated data centre gets no more requests.
const evacuationBound = 3 * time.Second

// evacuation is one data centre that was evacuated from a time until another one.
type evacuation struct {
	dataCentre string
	from, to   time.Time
}

// TestEvacuatedDataCentresGetNoRequests guards against requests and loads that reach a data
// centre after the bound on its evacuation, while the holder is killed, the store is
// restored from an older copy and a node restarts, against callers that do not learn that
// nothing is left when all are evacuated, and against one that gets no requests after it was
// returned to service.
func TestEvacuatedDataCentresGetNoRequests(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), 190, 3)
	d.evacuateWithin = evacuationBound
	zones := map[string]string{}
	for i, r := range d.replicas {
		zones[r.id] = fmt.Sprintf("z%d", 1+i%2)
		r.emulated.SetZone(zones[r.id])
	}
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i := range 4 {
		callerGroup.Go(func() { d.runCaller(callersCtx, rand.New(rand.NewPCG(190, uint64(i))), i, results) })
	}
	time.Sleep(2 * time.Second)

	// z1 is evacuated; then the store loses that, a node is killed and another restarts.
	first := evacuation{dataCentre: "z1", from: time.Now()}
	d.store.Put("evacuations", "z1", struct{}{})
	time.Sleep(evacuationBound)
	d.store.Restore(evacuationBound+time.Second, time.Second)
	time.Sleep(2 * time.Second)
	d.nodes[0].stop()
	time.Sleep(2 * time.Second)
	d.start(d.nodes[0])
	time.Sleep(2 * time.Second)

	// Both are evacuated.
	second := evacuation{dataCentre: "z2", from: time.Now()}
	d.store.Put("evacuations", "z2", struct{}{})
	time.Sleep(evacuationBound)
	for _, n := range d.nodes {
		startedAt := time.Now()
		if status := d.probe(n, "/safe/"); status != http.StatusServiceUnavailable || time.Since(startedAt) > time.Second {
			t.Errorf("%s answers with %d after %v while all data centres are evacuated, want %d at once", n.name, status, time.Since(startedAt), http.StatusServiceUnavailable)
		}
	}
	d.store.Remove("evacuations", "z2")
	second.to = time.Now()
	d.store.Remove("evacuations", "z1")
	first.to = time.Now()
	time.Sleep(evacuationBound)
	stopCallers()
	callerGroup.Wait()

	for _, r := range d.replicas {
		runs, orders := r.emulated.Runs(), r.emulated.Orders()
		for _, e := range []evacuation{first, second} {
			if zones[r.id] != e.dataCentre {
				continue
			}
			for _, run := range runs {
				if run.At.After(e.from.Add(evacuationBound)) && run.At.Before(e.to) {
					t.Errorf("%s in %s got %s %v after its evacuation", r.id, e.dataCentre, run.Attempt, run.At.Sub(e.from))
				}
			}
			for _, order := range orders {
				if order.At.After(e.from.Add(evacuationBound)) && order.At.Before(e.to) {
					t.Errorf("%s in %s got an order %v after its evacuation", r.id, e.dataCentre, order.At.Sub(e.from))
				}
			}
		}
		if r.emulated.Entry("ready")["service"] == plainService && runsAfter(runs, first.to) == 0 {
			t.Errorf("%s got no requests after it was returned to service", r.id)
		}
	}
	if succeeded, total := countSucceeded(results.outcomes, time.Time{}); succeeded*4 < total {
		t.Errorf("%d of %d requests were served", succeeded, total)
	}
	if t.Failed() {
		d.saveLogs(190)
	}
}
