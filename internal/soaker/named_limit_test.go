package soaker

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// namedLimit is the limit of replicas in requests a second.
	namedLimit = 2.0
	// limitWindow, limitFactor and limitSlack bound what a replica gets in any window:
	// limitFactor times what the limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// TestReplicasKeepNamedLimits guards against nodes that ignore the limit that a replica
// names in its answers, or keep it each by itself, and against limits that outlast
// their being named.
func TestReplicasKeepNamedLimits(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), 160, 4)
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	limited := d.replicas[:2]
	setLimit := func(limit float64) time.Time {
		for _, r := range limited {
			r.emulated.SetFaults(emulator.ReplicaFaults{NamedLimit: limit})
		}
		return time.Now()
	}
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i := range 3 {
		callerGroup.Go(func() { d.runPromptCaller(callersCtx, i, 60*time.Millisecond, false, results) })
	}
	time.Sleep(2 * time.Second)
	boundAt := setLimit(namedLimit).Add(contactBound)
	time.Sleep(contactBound + 2*limitWindow)
	liftedAt := setLimit(0)
	time.Sleep(limitWindow)
	stopCallers()
	callerGroup.Wait()

	allowed := int(limitFactor*namedLimit*limitWindow.Seconds() + limitSlack)
	after := 0
	for _, r := range limited {
		if most := mostRuns(r.emulated.Runs(), boundAt, liftedAt); most > allowed {
			t.Errorf("%s got %d requests in %v, want at most %d", r.id, most, limitWindow, allowed)
		}
		after += len(r.emulated.Runs()) - runsBefore(r.emulated.Runs(), liftedAt)
	}
	if after <= allowed {
		t.Errorf("replicas got %d requests in %v after they named no limit, want more than %d", after, limitWindow, allowed)
	}
	succeeded := 0
	for _, o := range results.outcomes {
		if o.status == http.StatusOK && o.complete {
			succeeded++
		}
	}
	if succeeded*2 < len(results.outcomes) {
		t.Errorf("%d of %d requests were served, want at least half", succeeded, len(results.outcomes))
	}
	if t.Failed() {
		d.saveLogs(160)
	}
}

// mostRuns returns the largest number of runs in a limitWindow between two times.
func mostRuns(runs []emulator.FleetRun, from, to time.Time) int {
	runs = slices.DeleteFunc(slices.Clone(runs), func(run emulator.FleetRun) bool { return run.At.Before(from) || run.At.After(to) })
	most := 0
	for i, first := range runs {
		most = max(most, runsBefore(runs[i:], first.At.Add(limitWindow)))
	}
	return most
}

// runsBefore returns the number of runs before a time.
func runsBefore(runs []emulator.FleetRun, at time.Time) int {
	count := 0
	for _, run := range runs {
		if run.At.Before(at) {
			count++
		}
	}
	return count
}
