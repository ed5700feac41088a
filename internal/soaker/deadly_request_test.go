package soaker

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

// deadlyBody is the body of the request that crashes replicas.
const deadlyBody = "crashes replicas"

// TestRequestThatCrashesReplicas guards against nodes that do not recognise a request
// that has crashed replicas when it comes again with another identifier, of each kind of
// route, and against refusals of sound requests beside it.
func TestRequestThatCrashesReplicas(t *testing.T) {
	binary := buildBinary(t)
	for i, path := range []string{"/resume/", "/stream/", "/safe/", "/once/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			checkDeadlyRequest(t, binary, 190+i, path)
		})
	}
}

func checkDeadlyRequest(t *testing.T, binary string, network int, path string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, binary, network, 3)
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	for _, r := range d.replicas {
		r.emulated.SetFaults(emulator.ReplicaFaults{CrashOnBody: deadlyBody})
	}
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i, request := range []struct {
		body  string
		pause time.Duration
	}{{deadlyBody, 300 * time.Millisecond}, {"", 40 * time.Millisecond}, {"", 40 * time.Millisecond}} {
		callerGroup.Go(func() {
			d.sendRepeatedly(callersCtx, i, request.pause, results, func(int) outcome {
				return outcome{path: path, requestBody: request.body, promptPrefix: "aaaa0001:90,bbbb0001:60,cccc0001:100"}
			})
		})
	}
	time.Sleep(14 * time.Second)
	stopCallers()
	callerGroup.Wait()

	late, boundAt := d.runsAfterCrashes(3, func(run emulator.FleetRun) bool { return run.Body == deadlyBody })
	if boundAt.IsZero() {
		t.Fatal("the request reached no replica")
	}
	if late > maxLateRuns {
		t.Errorf("the request reached replicas %d times later than %v after the third crash, want at most %d", late, contactBound, maxLateRuns)
	}
	succeeded, total := 0, 0
	for _, o := range results.outcomes {
		if o.requestBody == "" && o.sentAt.After(boundAt.Add(contactBound)) {
			total++
			if o.status == http.StatusOK && o.complete {
				succeeded++
			}
		}
	}
	if total < 20 || succeeded*2 < total {
		t.Errorf("%d of %d sound requests were served, want at least half of 20 or more", succeeded, total)
	}
	if t.Failed() {
		d.saveLogs(uint64(network))
	}
}
