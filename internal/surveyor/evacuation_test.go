package surveyor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	evacuationBound = 5 * time.Second
	// evacuationContact is the shortest time after which a node with an undisturbed path
	// to a working store must comply.
	evacuationContact = 3 * time.Second
	// evacuationRewrite is the longest time until the operator has written again what a
	// restoration has lost.
	evacuationRewrite = 2 * time.Second
)

// TestEvacuationsAreObeyed guards against a node in contact that does not know an
// evacuation after the bound, and against one that does not know that it was lifted. Nodes
// are suspended, restarted and lose the store or the holder, answers are late or lost, the
// holder changes, the store does not answer for a while, and it is restored from older
// copies. One or all of the data centres are evacuated.
func TestEvacuationsAreObeyed(t *testing.T) {
	tester.CheckN(t, 20, 10, func(t *rapid.T) {
		w := newEvacuationWorld(rapid.Uint64().Draw(t, "seed"))
		for range 1600 {
			w.injectFault()
			w.step()
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
		w.settle()
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// evacuationWorld is a store with evacuations and nodes that follow them.
type evacuationWorld struct {
	random *rand.Rand
	now    time.Time
	// evacuatedAt holds the acknowledgements of the evacuations in force.
	evacuatedAt map[string]time.Time
	// stored are the evacuations in the store, and copies older ones with their times.
	era       uint64
	stored    []string
	copies    []evacuationCopy
	silent    time.Time
	rewriteAt time.Time
	nodes     []*evacuationNode
	holder    int
	violation string
}

type evacuationCopy struct {
	at     time.Time
	stored []string
}

type evacuationNode struct {
	controller     *Controller
	inFlight       []delayedMessage
	suspendedUntil time.Time
	// noStore is set while the node does not reach the store, and contactSince is when the
	// node was last disturbed or without a path to a working store.
	noStore, noPeers bool
	contactSince     time.Time
	exchangeAt       time.Time
	known            []string
	replicas         []Replica
}

var simulatedDataCentres = []string{"a", "b", "c"}

func newEvacuationWorld(seed uint64) *evacuationWorld {
	w := &evacuationWorld{random: rand.New(rand.NewPCG(seed, 1)), now: tester.Start, era: 1, evacuatedAt: map[string]time.Time{}}
	for range 5 {
		w.nodes = append(w.nodes, &evacuationNode{})
	}
	for _, n := range w.nodes {
		w.restart(n)
	}
	w.setHolder(0)
	return w
}

func (w *evacuationWorld) restart(n *evacuationNode) {
	*n = evacuationNode{noStore: n.noStore, noPeers: n.noPeers, contactSince: w.now, controller: NewController(Bounds{
		ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second, EvacuateWithin: evacuationBound, HeartbeatInterval: time.Second,
	})}
}

// setHolder makes a node the holder and the next one a candidate.
func (w *evacuationWorld) setHolder(holder int) {
	w.holder = holder
	for i, n := range w.nodes {
		n.receive(w.now, func() Message { return SetHolding{Holding: i == holder} })
		n.receive(w.now, func() Message { return SetCandidate{Candidate: i == holder || i == (holder+1)%len(w.nodes)} })
	}
}

func (n *evacuationNode) receive(at time.Time, message func() Message) {
	n.inFlight = append(n.inFlight, delayedMessage{at, message})
}

func (w *evacuationWorld) delay() time.Duration {
	if w.random.IntN(20) == 0 {
		return time.Duration(w.random.Int64N(int64(240 * time.Millisecond)))
	}
	return time.Duration(1+w.random.IntN(8)) * time.Millisecond
}

func (w *evacuationWorld) injectFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	working := !w.now.Before(w.silent) && w.rewriteAt.IsZero()
	switch w.random.IntN(200) {
	case 0, 1:
		if working {
			w.write(simulatedDataCentres[w.random.IntN(3)], w.random.IntN(2) == 0)
		}
	case 2:
		if working {
			for _, dataCentre := range simulatedDataCentres {
				w.write(dataCentre, true)
			}
		}
	case 3:
		n.suspendedUntil = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
	case 4:
		n.noStore = !n.noStore
	case 5:
		n.noPeers = !n.noPeers
	case 6:
		w.setHolder(w.random.IntN(len(w.nodes)))
	case 7:
		w.restart(n)
		w.setHolder(w.holder)
	case 8:
		if working {
			w.silent = w.now.Add(time.Duration(w.random.IntN(6000)) * time.Millisecond)
		}
	case 9:
		if working {
			w.restore()
		}
	}
}

// write acknowledges an evacuation, or its end.
func (w *evacuationWorld) write(dataCentre string, evacuated bool) {
	w.copies = append(w.copies, evacuationCopy{w.now, w.stored})
	w.stored = slices.DeleteFunc(slices.Clone(w.stored), func(name string) bool { return name == dataCentre })
	if !evacuated {
		delete(w.evacuatedAt, dataCentre)
		return
	}
	w.stored = append(w.stored, dataCentre)
	if _, before := w.evacuatedAt[dataCentre]; !before {
		w.evacuatedAt[dataCentre] = w.now
	}
}

// restore goes back to an older copy after an outage. The operator writes again afterwards.
func (w *evacuationWorld) restore() {
	w.era++
	copiedAt := w.now.Add(-time.Duration(w.random.IntN(9000)) * time.Millisecond)
	for len(w.copies) > 0 && w.copies[len(w.copies)-1].at.After(copiedAt) {
		w.stored = w.copies[len(w.copies)-1].stored
		w.copies = w.copies[:len(w.copies)-1]
	}
	for _, n := range w.nodes {
		for dataCentre := range w.evacuatedAt {
			if !slices.Contains(n.known, dataCentre) {
				// Until the operator has written again, the node cannot know it.
				n.contactSince = w.now
			}
		}
	}
	w.silent = w.now.Add(time.Duration(w.random.IntN(2)*w.random.IntN(3000)) * time.Millisecond)
	w.rewriteAt = w.silent.Add(time.Duration(w.random.Int64N(int64(evacuationRewrite))))
}

func (w *evacuationWorld) step() {
	w.now = w.now.Add(fuzzStep)
	if !w.rewriteAt.IsZero() && !w.now.Before(w.rewriteAt) {
		w.rewriteAt, w.stored = time.Time{}, nil
		for _, dataCentre := range simulatedDataCentres {
			if _, ok := w.evacuatedAt[dataCentre]; ok {
				w.stored = append(w.stored, dataCentre)
			}
		}
	}
	for i, n := range w.nodes {
		suspended := w.now.Before(n.suspendedUntil)
		if suspended || n.noStore || w.now.Before(w.silent) {
			n.contactSince = w.now
		}
		if suspended {
			continue
		}
		due := []func() Message{}
		n.inFlight = slices.DeleteFunc(n.inFlight, func(m delayedMessage) bool {
			if m.at.After(w.now) {
				return false
			}
			due = append(due, m.message)
			return true
		})
		for _, message := range due {
			w.handle(n, message())
		}
		if !w.now.Before(n.exchangeAt) {
			n.exchangeAt = w.now.Add(500 * time.Millisecond)
			w.exchange(n)
		}
		if wake := n.controller.Wake(); !wake.IsZero() && !wake.After(w.now) {
			w.handle(n, Tick{})
		}
		w.check(i)
	}
}

func (w *evacuationWorld) handle(n *evacuationNode, message Message) {
	for _, effect := range n.controller.Step(w.now, message) {
		startedAt := w.now
		switch effect := effect.(type) {
		case ReadEvacuations:
			w.answer(n, func() Message {
				return EvacuationsRead{StartedAt: startedAt, Era: w.era, DataCentres: slices.Sorted(slices.Values(w.stored))}
			}, EvacuationsRead{StartedAt: startedAt, Failed: true})
		case ReadReplicas:
			w.answer(n, func() Message {
				read := ReplicasRead{StartedAt: startedAt, Era: w.era}
				for _, dataCentre := range simulatedDataCentres {
					read.Replicas = append(read.Replicas, Replica{ID: dataCentre, DataCentre: dataCentre})
				}
				return read
			}, ReplicasRead{StartedAt: startedAt, Failed: true})
		case ReadConfiguration:
			w.answer(n, func() Message { return ConfigurationRead{StartedAt: startedAt, Era: w.era} }, ConfigurationRead{StartedAt: startedAt, Failed: true})
		case ReadNodes:
			w.answer(n, func() Message { return NodesRead{StartedAt: startedAt, Era: w.era} }, NodesRead{StartedAt: startedAt, Failed: true})
		case PublishEvacuations:
			n.known = effect.DataCentres
		case PublishReplicas:
			n.replicas = effect.Replicas
		}
	}
}

// answer delivers the store's answer as of the arrival of a call, or a failure after the
// time limit of calls.
func (w *evacuationWorld) answer(n *evacuationNode, read func() Message, failed Message) {
	if n.noStore || w.now.Before(w.silent) || w.random.IntN(60) == 0 {
		n.receive(w.now.Add(800*time.Millisecond), func() Message { return failed })
		return
	}
	answer := read()
	n.receive(w.now.Add(w.delay()), func() Message { return answer })
}

// exchange sends the view of the nodes that consider themselves the holder.
func (w *evacuationWorld) exchange(n *evacuationNode) {
	for _, holder := range w.nodes {
		if holder == n || !holder.controller.Holding || holder.noPeers || n.noPeers || w.now.Before(holder.suspendedUntil) {
			continue
		}
		e := holder.controller.Evacuations
		update := HolderUpdate{
			StartedAt: w.now, Era: holder.controller.Era, ConfigurationAge: time.Hour, ReplicasAge: time.Hour, NodesAge: time.Hour,
			Evacuated: e.DataCentres, EvacuationsKnown: e.Known, EvacuationsAge: w.now.Sub(e.CurrentAsOf),
		}
		n.receive(w.now.Add(w.delay()), func() Message { return update })
	}
}

// check checks what a node in contact publishes.
func (w *evacuationWorld) check(index int) {
	n := w.nodes[index]
	if w.now.Sub(n.contactSince) < evacuationContact {
		return
	}
	for _, replica := range n.replicas {
		at, evacuated := w.evacuatedAt[replica.DataCentre]
		if evacuated && w.now.Sub(at) > evacuationBound && !replica.Evacuated {
			w.violation = fmt.Sprintf("%v: node %d uses %s %v after its evacuation, knows %q", w.now.Sub(tester.Start), index, replica.DataCentre, w.now.Sub(at), n.known)
		}
	}
}

// settle removes all faults and checks that all nodes then agree with the store.
func (w *evacuationWorld) settle() {
	for _, n := range w.nodes {
		n.noStore, n.noPeers, n.suspendedUntil = false, false, time.Time{}
	}
	if w.now.Before(w.silent) && !w.rewriteAt.IsZero() {
		w.rewriteAt = w.rewriteAt.Add(w.now.Sub(w.silent))
	}
	w.silent = w.now
	w.setHolder(0)
	for range int(3 * evacuationBound / fuzzStep) {
		w.step()
	}
	for i, n := range w.nodes {
		if want := slices.Sorted(slices.Values(w.stored)); !slices.Equal(n.known, want) || len(n.replicas) == 0 {
			w.violation = fmt.Sprintf("node %d knows %q and %d replicas, want %q", i, n.known, len(n.replicas), want)
		}
	}
}
