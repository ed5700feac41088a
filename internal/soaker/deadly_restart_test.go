package soaker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// quarantineBound is the time within which a quarantine must be in the store, and
	// restartedTime the time for which the request comes after the restart.
	quarantineBound = 15 * time.Second
	restartedTime   = 8 * time.Second
)

// TestQuarantineOutlivesAllNodes guards against a quarantine that is forgotten when all nodes
// lose power at the same time: the request would crash replicas again, from the first moment on.
func TestQuarantineOutlivesAllNodes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), 194, 3)
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
				return outcome{path: "/safe/", requestBody: request.body}
			})
		})
	}
	d.awaitQuarantine()
	for _, n := range d.nodes {
		n.signal(syscall.SIGKILL)
	}
	killedAt := time.Now()
	for _, n := range d.nodes {
		d.start(n)
	}
	time.Sleep(restartedTime)
	stopCallers()
	callerGroup.Wait()

	late := 0
	for _, r := range d.replicas {
		for _, run := range r.emulated.Runs() {
			if run.Body == deadlyBody && run.At.After(killedAt) {
				late++
			}
		}
	}
	if late > 0 {
		t.Errorf("the request reached replicas %d times after all nodes had restarted, want none", late)
	}
	succeeded, total := 0, 0
	for _, o := range results.outcomes {
		if o.requestBody == "" && o.sentAt.After(killedAt.Add(contactBound)) {
			total++
			if o.status == http.StatusOK && o.complete {
				succeeded++
			}
		}
	}
	if total < 20 || succeeded*2 < total {
		t.Errorf("%d of %d sound requests were served after the restart, want at least half of 20 or more", succeeded, total)
	}
	if t.Failed() {
		d.saveLogs(194)
	}
}

// awaitQuarantine waits until the store has the record of a quarantine, or for quarantineBound.
func (d *deployment) awaitQuarantine() {
	for deadline := time.Now().Add(quarantineBound); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		answer := httptest.NewRecorder()
		d.store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/toucanhitch/objects/toucanhitch-quarantines", nil))
		if strings.Contains(answer.Body.String(), `"Quarantined":true`) {
			return
		}
	}
	d.t.Log("no quarantine in the store")
}
