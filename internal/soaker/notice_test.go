package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

const (
	// drainBound is the time after an answer that announces that its replica leaves within
	// which the node that passed it on may send requests to the replica.
	drainBound = 2 * time.Second
	// closedGrace is the time after a refusal with a time from which the replica gets at
	// most maxClosedArrivals requests from the node until that time is over.
	closedGrace       = 500 * time.Millisecond
	maxClosedArrivals = 2
	closedTime        = 2 * time.Second
)

// TestReplicasAreTakenAtTheirWord guards against requests to replicas that have announced in
// an answer that they leave, while the store still lists them as ready, and to replicas
// that have asked for no requests for a time, and against replicas that stay without
// requests afterwards.
func TestReplicasAreTakenAtTheirWord(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), 180, 3)
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i := range 4 {
		callerGroup.Go(func() { d.runCaller(callersCtx, rand.New(rand.NewPCG(180, uint64(i))), i, results) })
	}
	time.Sleep(3 * time.Second)
	plain, leaving := d.replicas[3:], d.replicas[4]
	for _, r := range plain {
		r.emulated.SetTurnAway(closedTime)
	}
	time.Sleep(closedTime + closedGrace)
	for _, r := range plain {
		r.emulated.SetTurnAway(0)
	}
	reopenedAt := time.Now()
	time.Sleep(closedTime + time.Second)
	leaving.emulated.SetLeaving(true)
	time.Sleep(drainBound + 2*time.Second)
	stopCallers()
	callerGroup.Wait()

	problems := d.checkNotices(results.outcomes, func(string, string, time.Time) bool { return false })
	for _, problem := range problems {
		t.Error(problem)
	}
	for _, r := range plain {
		if runsAfter(r.emulated.Runs(), reopenedAt) == 0 {
			t.Errorf("%s got no requests after its time was over", r.id)
		}
	}
	if len(leaving.emulated.Refusals()) == 0 || !passedLeaving(results.outcomes) {
		t.Error("no replica refused with a time, or none said that it leaves")
	}
	if t.Failed() {
		d.saveLogs(180)
	}
}

func runsAfter(runs []emulator.FleetRun, at time.Time) int { return len(runs) - runsBefore(runs, at) }

func passedLeaving(outcomes []outcome) bool {
	for _, o := range outcomes {
		if o.leaving {
			return true
		}
	}
	return false
}

// checkNotices compares what replicas got with what they had announced in
// answers to the same node, and returns the violations.
func (d *deployment) checkNotices(outcomes []outcome, excused excuse) []string {
	sent := make(map[string]outcome, len(outcomes))
	for _, o := range outcomes {
		sent[o.attempt] = o
	}
	var problems []string
	for _, r := range d.replicas {
		problems = append(problems, checkLeaving(r.emulated.Runs(), outcomes, sent, excused)...)
		problems = append(problems, checkClosed(r.emulated, sent, excused)...)
	}
	return problems
}

// excuse reports whether a node was restarted or stood still, or its path to a replica
// failed, after a time.
type excuse func(node, replica string, since time.Time) bool

func checkLeaving(runs []emulator.FleetRun, outcomes []outcome, sent map[string]outcome, excused excuse) []string {
	// A replica that has started again under the same ID no longer leaves.
	type word struct {
		node      string
		startedMS int64
	}
	startOf := map[string]int64{}
	for _, run := range runs {
		startOf[run.Attempt] = run.StartedMS
	}
	saidAt := map[word]time.Time{}
	for _, o := range outcomes {
		startedMS, ran := startOf[o.attempt]
		if !o.leaving || !ran || o.seal != emulator.Seal(runs[0].Replica, o.attempt) {
			continue
		}
		said := word{o.node, startedMS}
		if at, ok := saidAt[said]; !ok || o.endedAt.Before(at) {
			saidAt[said] = o.endedAt
		}
	}
	for _, run := range runs {
		o := sent[run.Attempt]
		at, ok := saidAt[word{o.node, run.StartedMS}]
		if ok && o.sentAt.Sub(at) > drainBound && !excused(o.node, run.Replica, at) {
			return []string{fmt.Sprintf("DRAIN: %s got %s, sent %v after %s had passed on that it leaves", run.Replica, run.Attempt, o.sentAt.Sub(at), o.node)}
		}
	}
	return nil
}

func checkClosed(replica *emulator.FleetReplica, sent map[string]outcome, excused excuse) []string {
	type arrival struct {
		node      string
		startedMS int64
		at        time.Time
	}
	var arrivals []arrival
	for _, run := range replica.Runs() {
		arrivals = append(arrivals, arrival{sent[run.Attempt].node, run.StartedMS, run.At})
	}
	for _, refusal := range replica.Refusals() {
		arrivals = append(arrivals, arrival{sent[refusal.Attempt].node, refusal.StartedMS, refusal.At})
	}
	for _, refusal := range replica.Refusals() {
		node, count := sent[refusal.Attempt].node, 0
		for _, a := range arrivals {
			if since := a.at.Sub(refusal.At); a.node == node && a.startedMS == refusal.StartedMS && since > closedGrace && since < refusal.RetryAfter {
				count++
			}
		}
		if count > maxClosedArrivals && !excused(node, refusal.Replica, refusal.At) {
			return []string{fmt.Sprintf("BUDGET: %s got %d requests from %s within the %v for which it had asked for none", refusal.Replica, count, node, refusal.RetryAfter)}
		}
	}
	return nil
}

const (
	// refusalStream separates the random numbers of refusals from those of the other
	// faults of a seed.
	refusalStream = 2 << 32
	// maxRefusalGap is the longest time between two refusing replicas.
	maxRefusalGap = 4 * time.Second
)

// turnAway makes random replicas refuse requests for some time and ask for none, until
// a time.
func (d *deployment) turnAway(random *rand.Rand, until time.Time) {
	draw := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	for {
		time.Sleep(draw(maxRefusalGap))
		if time.Now().After(until) {
			return
		}
		r := d.replicas[random.IntN(len(d.replicas))]
		r.emulated.SetTurnAway(closedGrace + draw(closedTime))
		time.Sleep(draw(time.Second))
		r.emulated.SetTurnAway(0)
	}
}
