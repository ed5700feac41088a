package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// deadlyPart is the part of a prompt that crashes replicas.
	deadlyPart = "dead0001"
	// contactBound is the time after the fifth crash from which the part must no
	// longer reach replicas, and maxLateRuns the number of requests with it that may.
	contactBound = 3 * time.Second
	maxLateRuns  = 3
)

// TestPromptPartThatCrashesReplicas guards against nodes that send every replica
// requests with a part of a prompt that has crashed others, and against refusals of
// sound requests that share the key and the other parts.
func TestPromptPartThatCrashesReplicas(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), 150, 3)
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	for _, r := range d.replicas {
		r.emulated.SetFaults(emulator.ReplicaFaults{CrashOnPart: deadlyPart})
	}
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i, pause := range []time.Duration{150 * time.Millisecond, 40 * time.Millisecond, 40 * time.Millisecond} {
		callerGroup.Go(func() { d.runPromptCaller(callersCtx, i, pause, i == 0, results) })
	}
	time.Sleep(14 * time.Second)
	stopCallers()
	callerGroup.Wait()

	late, boundAt := d.runsAfterCrashes(5, func(run emulator.FleetRun) bool { return strings.Contains(run.PromptPrefix, deadlyPart) })
	if boundAt.IsZero() {
		t.Fatal("no request with the part reached a replica")
	}
	if late > maxLateRuns {
		t.Errorf("%d requests with the part reached replicas later than %v after the fifth crash, want at most %d", late, contactBound, maxLateRuns)
	}
	succeeded, total := 0, 0
	for _, o := range results.outcomes {
		if !strings.Contains(o.promptPrefix, deadlyPart) && o.sentAt.After(boundAt.Add(contactBound)) {
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
		d.saveLogs(150)
	}
}

// runsAfterCrashes returns the number of runs for which isDeadly holds later than
// contactBound after the last of the given number of them, each of which crashes its
// replica, and the time from which it counts. If there are fewer, none is late, and the
// time counts from the last one.
func (d *deployment) runsAfterCrashes(number int, isDeadly func(emulator.FleetRun) bool) (late int, boundAt time.Time) {
	var crashes []time.Time
	for _, r := range d.replicas {
		for _, run := range r.emulated.Runs() {
			if isDeadly(run) {
				crashes = append(crashes, run.At)
			}
		}
	}
	if len(crashes) == 0 {
		return 0, time.Time{}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	boundAt = crashes[min(number, len(crashes))-1].Add(contactBound)
	for _, at := range crashes {
		if at.After(boundAt) {
			late++
		}
	}
	return late, boundAt
}

// runPromptCaller sends requests with the same key and first parts to all nodes in
// turn until ctx ends. Deadly ones contain deadlyPart as well.
func (d *deployment) runPromptCaller(ctx context.Context, index int, pause time.Duration, deadly bool, results *outcomeLog) {
	part := ""
	if deadly {
		part = deadlyPart + ":60,"
	}
	d.sendRepeatedly(ctx, index, pause, results, func(i int) outcome {
		return outcome{path: "/resume/", promptPrefix: fmt.Sprintf("aaaa0001:90,bbbb000%d:60,%s%08x:100", i%2, part, i)}
	})
}

// sendRepeatedly sends requests to random nodes until ctx ends. It sets their
// identifiers, keys and times.
func (d *deployment) sendRepeatedly(ctx context.Context, index int, pause time.Duration, results *outcomeLog, newRequest func(i int) outcome) {
	client := &http.Client{Timeout: 6 * time.Second}
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(pause)
		o := newRequest(i)
		o.attempt, o.key, o.sentAt = fmt.Sprintf("p-%d-%d", index, i), "key-a", time.Now()
		random := rand.New(rand.NewPCG(uint64(index), uint64(i)))
		address := d.nodes[random.IntN(len(d.nodes))].address(callersPort)
		requests.Go(func() {
			d.send(client, address, random, &o)
			results.add(o)
		})
	}
}
