package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

// coldFleet is the balancers of many nodes in front of replicas that are cold.
type coldFleet struct {
	t        *rapid.T
	now      time.Time
	nodes    []*Controller
	names    []string
	replicas []surveyor.Replica
	// frozenUntil holds the ends of the freezes of nodes.
	frozenUntil []time.Time
	call        runner.Call
	// sentAt holds when requests were sent to each replica.
	sentAt map[string][]time.Time
}

var coldRule = ColdRule{Time: 3 * time.Second, Rate: 30, MaxPerSecond: 50}

func newColdFleet(t *rapid.T, nodes, replicas int) *coldFleet {
	f := &coldFleet{t: t, now: tester.Start, sentAt: map[string][]time.Time{}, frozenUntil: make([]time.Time, nodes)}
	for i := range replicas {
		f.replicas = append(f.replicas, surveyor.Replica{
			ID: fmt.Sprintf("r%02d", i), StartedMS: 1, Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 1000, ColdKnown: true,
		})
	}
	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("a%03d", i))
		f.nodes = append(f.nodes, NewController(uint64(i+1)))
	}
	f.publish(f.names)
	f.now = f.now.Add(firstListTime)
	f.list()
	for _, node := range f.nodes {
		node.Step(f.now, SetColdRules{map[string]ColdRule{"s": coldRule}})
	}
	return f
}

// publish tells nodes that these are the ones that reach their holder.
func (f *coldFleet) publish(group []string) {
	for i, node := range f.nodes {
		if _, ok := slices.BinarySearch(group, f.names[i]); ok {
			node.Step(f.now, SetNodes{Self: f.names[i], Nodes: group, Registered: len(f.nodes)})
		}
	}
}

func (f *coldFleet) list() {
	for _, node := range f.nodes {
		node.Step(f.now, SetReplicas{slices.Clone(f.replicas)})
	}
}

// maxSent bounds what a node sends at once, so that the test of a balancer without limits ends.
const maxSent = 20

// run lets all nodes send as much as they may for a time.
func (f *coldFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for i, node := range f.nodes {
			if f.now.Before(f.frozenUntil[i]) {
				continue
			}
			for more, sent := true, 0; more && sent < maxSent; sent++ {
				f.call++
				more = false
				for _, effect := range node.Step(f.now, Place{Call: f.call, Need: Need{Service: "s", GiveUpAt: f.now.Add(time.Hour)}}) {
					if answer, ok := effect.(AnswerPlace); ok && answer.Placement.Refused == nil {
						f.sentAt[answer.Placement.Replica] = append(f.sentAt[answer.Placement.Replica], f.now)
						node.Step(f.now, AttemptEnded{PlacementID: answer.Placement.ID, Result: Answered})
						more = true
					}
				}
				node.Waiting = newWaiting()
			}
		}
	}
}

// check checks what each replica got in each second.
func (f *coldFleet) check() {
	for _, replica := range f.replicas {
		for from, times := 0, f.sentAt[replica.ID]; from < len(times); from++ {
			count := 0
			for _, at := range times[from:] {
				if at.Sub(times[from]) >= time.Second {
					break
				}
				count++
			}
			if float64(count) > coldRule.MaxPerSecond {
				f.t.Fatalf("%d requests in a second to %s from %v on, want at most %v", count, replica.ID, times[from].Sub(tester.Start), coldRule.MaxPerSecond)
			}
		}
	}
}

// TestColdReplicasAreSpared guards against more requests to a cold replica, from all nodes
// together, than it survives: nodes are cut off from each other in groups or one by one and
// keep old lists of nodes for a time, freeze for seconds, and send whatever they may.
func TestColdReplicasAreSpared(t *testing.T) {
	tester.CheckN(t, 10, 3, func(t *rapid.T) {
		f := newColdFleet(t, rapid.SampledFrom([]int{1, 3, 12, 40, 87}).Draw(t, "nodes"), 3)
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "idle ms")) * time.Millisecond)
		for i := range f.replicas {
			f.replicas[i].ColdFor = 20 * time.Second
		}
		f.list()
		split := rapid.IntRange(0, len(f.nodes)).Draw(t, "cut off")
		for range 4 {
			f.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"cut", "cut alone", "heal", "freeze"}).Draw(t, "event") {
			case "cut":
				// The others learn of it first.
				f.publish(f.names[split:])
				f.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "late ms")) * time.Millisecond)
				f.publish(f.names[:split])
			case "cut alone":
				for _, name := range f.names[:split] {
					f.publish([]string{name})
				}
			case "heal":
				f.publish(f.names)
			case "freeze":
				for i := range f.names[:split] {
					f.frozenUntil[i] = f.now.Add(2 * time.Second)
				}
			}
		}
		f.run(time.Second)
		f.check()
	})
}

// TestSplitFleetSparesColdReplicas guards against groups of nodes without contact that each
// send what all nodes together may.
func TestSplitFleetSparesColdReplicas(t *testing.T) {
	tester.CheckN(t, 1, 1, func(t *rapid.T) {
		f := newColdFleet(t, 87, 5)
		for i := range f.replicas {
			f.replicas[i].ColdFor = 20 * time.Second
		}
		f.list()
		f.publish(f.names[:40])
		f.publish(f.names[40:])
		f.run(2 * time.Second)
		f.check()
	})
}

// TestStartingFleetSparesColdReplicas guards against nodes that start at once and each take the
// first nodes that the holder knows for the whole fleet.
func TestStartingFleetSparesColdReplicas(t *testing.T) {
	for _, nodes := range []int{87, 295} {
		tester.CheckN(t, 1, 1, func(t *rapid.T) {
			f := newColdFleet(t, nodes, 5)
			for i, node := range f.nodes {
				f.nodes[i] = NewController(uint64(i + 1))
				f.nodes[i].Step(f.now, SetColdRules{node.Cold.Rules})
			}
			for i := range f.replicas {
				f.replicas[i].ColdFor = 20 * time.Second
			}
			f.list()
			f.run(300 * time.Millisecond)
			for i, node := range f.nodes {
				node.Step(f.now, SetNodes{Self: f.names[i], Nodes: f.names[:i+1], Registered: i + 1})
			}
			f.run(500 * time.Millisecond)
			f.publish(f.names)
			f.run(3 * time.Second)
			f.check()
		})
	}
}

// TestReturnedDataCentre guards against replicas that are sent as much as before when their
// data centre is returned to service although they have become cold, and against ones that
// get far less than they bear, or nothing more than that when they are warm again.
func TestReturnedDataCentre(t *testing.T) {
	tester.CheckN(t, 1, 1, func(t *rapid.T) {
		f := newColdFleet(t, 87, 5)
		for i := range f.replicas {
			f.replicas[i].Evacuated = true
		}
		f.list()
		f.now = f.now.Add(time.Minute)
		for i := range f.replicas {
			f.replicas[i].Evacuated = false
		}
		f.list()
		returnedAt := f.now
		f.run(coldRule.Time)
		f.check()
		for _, replica := range f.replicas {
			if got, want := len(f.sentAt[replica.ID]), int(coldRule.Rate*coldRule.Time.Seconds()); got < want*9/10 {
				t.Errorf("%s got %d requests while it was cold, want about %d", replica.ID, got, want)
			}
		}
		f.now = returnedAt.Add(coldRule.Time)
		for _, node := range f.nodes {
			for _, replica := range node.Replicas {
				if node.isCold(f.now, replica) {
					t.Errorf("%s is still cold after its time", replica.Description.ID)
				}
			}
		}
	})
}
