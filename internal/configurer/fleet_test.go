package configurer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tester"
	"toucanhitch.example/toucanhitch/pkg/releaser"
)

// callDelay is the duration of an exchange between nodes or a call to the object
// API.
const callDelay = 3 * time.Millisecond

// fleet runs configurers in virtual time, with links that can be cut.
type fleet struct {
	now    time.Time
	queue  events
	random *rand.Rand
	nodes  []*node
	// head is the change log, current the newest configuration, and acceptedAt
	// the time at which each version was accepted.
	head       releaser.Head
	current    *releaser.Configuration
	acceptedAt map[uint64]time.Time
	// cutAPI contains the data centres that cannot reach the object API, and
	// cut the pairs of data centres that cannot reach each other.
	cutAPI map[string]bool
	cut    map[[2]string]bool
	// maxAnswerDelay bounds the random additional delay of answers to pulls.
	maxAnswerDelay time.Duration
	// directWatches is the number of watches by nodes that are not relays.
	directWatches int
}

type node struct {
	name       string
	dataCentre string
	controller *configurer.Configurer
	// run is incremented by a restart, so that responses to an earlier run
	// are dropped. Messages to the node are delayed until pausedUntil.
	run         int
	pausedUntil time.Time
	inForce     *releaser.Configuration
	contacts    configurer.Contacts
	wakeAt      time.Time
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var lastEventOrder int

func (f *fleet) schedule(delay time.Duration, run func()) {
	lastEventOrder++
	heap.Push(&f.queue, event{f.now.Add(delay), lastEventOrder, run})
}

func newFleet(seed uint64, dataCentres, perDataCentre int) *fleet {
	f := &fleet{
		now: tester.Start, random: rand.New(rand.NewPCG(seed, 1)), current: releaser.Empty(),
		acceptedAt: map[uint64]time.Time{}, cutAPI: map[string]bool{}, cut: map[[2]string]bool{},
		maxAnswerDelay: 900 * time.Millisecond,
	}
	for i := range dataCentres * perDataCentre {
		dataCentre := fmt.Sprintf("dc-%d", i/perDataCentre)
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("node-%d", i), dataCentre: dataCentre})
	}
	for i := range f.nodes {
		f.startNode(i, perDataCentre, dataCentres)
	}
	return f
}

// startNode starts a new run of a node. The first two nodes of a data centre are
// its relays; the others have parents as in the tree that tracker.Peers
// describes.
func (f *fleet) startNode(index, perDataCentre, dataCentres int) {
	n := f.nodes[index]
	n.run++
	n.controller = configurer.New(n.dataCentre, uint64(index*100+n.run))
	n.inForce, n.contacts, n.wakeAt = releaser.Empty(), configurer.Contacts{}, time.Time{}
	rank := index % perDataCentre
	message := configurer.PeersChanged{Relay: rank < 2, DataCentres: dataCentres}
	for other, peer := range f.nodes {
		spreaderPeer := spreader.Peer{Name: peer.name, Address: peer.name, DataCentre: peer.dataCentre}
		switch {
		case other == index:
		case peer.dataCentre == n.dataCentre:
			message.Local = append(message.Local, spreaderPeer)
			if !message.Relay && other%perDataCentre == (rank-2)/spreader.Fanout {
				message.Parent = &spreaderPeer
			}
		case other%perDataCentre < 2:
			message.Relays = append(message.Relays, spreaderPeer)
		}
	}
	f.deliver(n, n.run, message)
}

// deliver delivers a message to a run of a node, after the end of any pause.
func (f *fleet) deliver(n *node, run int, message configurer.Message) {
	if wait := n.pausedUntil.Sub(f.now); wait > 0 {
		f.schedule(wait, func() { f.deliver(n, run, message) })
		return
	}
	if n.run != run {
		return
	}
	for _, effect := range n.controller.Step(f.now, message) {
		f.perform(n, effect)
	}
	if wake := n.controller.Wake(); !wake.IsZero() && !wake.Equal(n.wakeAt) {
		n.wakeAt = wake
		f.schedule(max(wake.Sub(f.now), 0), func() { f.deliver(n, run, configurer.Tick{}) })
	}
}

func (f *fleet) perform(n *node, effect configurer.Effect) {
	run, started := n.run, f.now
	switch effect := effect.(type) {
	case configurer.WatchHead:
		if !n.controller.Relay {
			f.directWatches++
		}
		f.schedule(callDelay, func() { f.watch(n, run, started, effect.After, started.Add(effect.Wait)) })
	case configurer.Pull:
		f.schedule(callDelay, func() { f.pull(n, run, started, effect) })
	case configurer.Publish:
		n.inForce = effect.Configuration
	case configurer.PublishContacts:
		n.contacts = effect.Contacts
	case configurer.PushChanges:
		f.push(n, effect.Changes)
	case configurer.AnswerPull:
		panic("AnswerPull effect outside of fleet.pull")
	case configurer.ReadBase:
		panic("ReadBase effect although the change log is never compacted")
	}
}

// watch simulates a watch at the object API.
func (f *fleet) watch(n *node, run int, started time.Time, after uint64, until time.Time) {
	switch {
	case f.cutAPI[n.dataCentre]:
		f.schedule(2*time.Second, func() { f.deliver(n, run, configurer.HeadFailed{}) })
	case f.head.Version > after:
		read := configurer.HeadRead{Started: started, ObjectVersion: f.head.Version, Head: f.head}
		f.schedule(callDelay, func() { f.deliver(n, run, read) })
	case f.now.Before(until):
		f.schedule(50*time.Millisecond, func() { f.watch(n, run, started, after, until) })
	default:
		f.schedule(callDelay, func() { f.deliver(n, run, configurer.HeadUnchanged{Started: started}) })
	}
}

func (f *fleet) connected(a, b string) bool {
	return !f.cut[[2]string{a, b}] && !f.cut[[2]string{b, a}]
}

func (f *fleet) pull(n *node, run int, started time.Time, effect configurer.Pull) {
	var peer *node
	for _, other := range f.nodes {
		if other.name == effect.Peer.Name {
			peer = other
		}
	}
	if !f.connected(n.dataCentre, peer.dataCentre) || peer.pausedUntil.After(f.now) {
		f.schedule(time.Second, func() { f.deliver(n, run, configurer.PullFailed{Peer: peer.name}) })
		return
	}
	for _, peerEffect := range peer.controller.Step(f.now, configurer.PullRequested{Call: 1, Version: effect.Version}) {
		if answer, ok := peerEffect.(configurer.AnswerPull); ok {
			// A slow answer must not make contacts appear more recent.
			delay := callDelay + time.Duration(f.random.Int64N(int64(f.maxAnswerDelay)))
			f.schedule(delay, func() {
				f.deliver(n, run, configurer.PullAnswered{Peer: peer.name, Started: started, Answer: answer.Answer})
			})
			continue
		}
		f.perform(peer, peerEffect)
	}
}

// push delivers each push with probability one half, delayed and out of order.
func (f *fleet) push(n *node, changes []releaser.Change) {
	for _, peer := range f.nodes {
		if peer != n && peer.dataCentre == n.dataCentre && f.random.IntN(2) == 0 {
			delay := time.Duration(f.random.IntN(300)) * time.Millisecond
			run := peer.run
			f.schedule(delay, func() { f.deliver(peer, run, configurer.ChangesPushed{Changes: changes}) })
		}
	}
}

func (f *fleet) change(body releaser.Body) {
	head, next, err := f.head.Append(f.current, releaser.Change{ID: "x", Actor: "test", Time: f.now, Body: body})
	if err != nil {
		panic(err)
	}
	f.head, f.current = head, next
	f.acceptedAt[next.Version] = f.now
}

// advance runs the fleet for the given time and calls check after every event.
func (f *fleet) advance(duration time.Duration, check func()) {
	end := f.now.Add(duration)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
		check()
	}
	f.now = end
}

func workspaceNote(base uint64, name string) releaser.ApplyNote {
	return releaser.ApplyNote{Note: releaser.Note{Name: "n", Base: base, Workspaces: []releaser.WorkspaceEntry{
		{Action: releaser.Add, Workspace: releaser.Workspace{Name: name, Rate: 1, Burst: 1}},
	}}}
}

// maxRelayDelay is how long a relay that can reach the object API may take to
// receive a change. It covers a watch that fails before the partition heals, and
// the back-off after it.
const maxRelayDelay = 6 * time.Second

// Guards against a configuration that reverts to an older version, and against a
// node that counts as current without a change that was accepted longer ago than
// MaxAge and maxRelayDelay together. Partitions leave a majority of the data
// centres connected with each other and with the object API; the bound holds
// only under this condition.
func TestCurrentNodesHaveTheChanges(t *testing.T) {
	tester.CheckN(t, 4, 40, func(t *rapid.T) {
		const dataCentres, perDataCentre = 3, 3
		f := newFleet(rapid.Uint64().Draw(t, "seed"), dataCentres, perDataCentre)
		highest := map[*node][2]uint64{}
		check := func() {
			for _, n := range f.nodes {
				if seen := highest[n]; seen[0] == uint64(n.run) && n.inForce.Version < seen[1] {
					t.Fatalf("%s reverted from version %d to %d", n.name, seen[1], n.inForce.Version)
				}
				highest[n] = [2]uint64{uint64(n.run), n.inForce.Version}
				if n.pausedUntil.After(f.now) || !n.contacts.Current(f.now) {
					continue
				}
				acceptedAt, missing := f.acceptedAt[n.inForce.Version+1]
				if missing && f.now.Sub(acceptedAt) > configurer.MaxAge+maxRelayDelay {
					t.Fatalf("%s is current at %s without version %d, accepted %s ago",
						n.name, f.now.Sub(tester.Start), n.inForce.Version+1, f.now.Sub(acceptedAt))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				f.change(workspaceNote(f.current.NoteVersion, fmt.Sprintf("w%d", f.current.Version)))
			},
			"cut": func(t *rapid.T) {
				// At most one data centre is partitioned at a time.
				isolated := fmt.Sprintf("dc-%d", rapid.IntRange(0, dataCentres-1).Draw(t, "alone"))
				f.cutAPI, f.cut = map[string]bool{}, map[[2]string]bool{}
				f.cutAPI[isolated] = rapid.Bool().Draw(t, "api")
				for i := range dataCentres {
					other := fmt.Sprintf("dc-%d", i)
					f.cut[[2]string{isolated, other}] = other != isolated && rapid.Bool().Draw(t, "link")
				}
			},
			"heal": func(t *rapid.T) { f.cutAPI, f.cut = map[string]bool{}, map[[2]string]bool{} },
			"restart": func(t *rapid.T) {
				f.startNode(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node"), perDataCentre, dataCentres)
			},
			"pause": func(t *rapid.T) {
				n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
				n.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			},
			"wait": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(100, 12_000).Draw(t, "ms"))*time.Millisecond, check)
			},
		})
		f.cutAPI, f.cut = map[string]bool{}, map[[2]string]bool{}
		f.advance(30*time.Second, check)
		f.advance(11*time.Second, check)
		for _, n := range f.nodes {
			if n.inForce.Version != f.current.Version || !n.contacts.Current(f.now) {
				t.Fatalf("%s has version %d, current %t, after all partitions healed; want version %d, current true",
					n.name, n.inForce.Version, n.contacts.Current(f.now), f.current.Version)
			}
		}
	})
}

// Guards against an outage of the object API that makes all nodes stop serving.
// No key can be withdrawn during an outage, so nodes that can reach a majority of
// the data centres stay current. Nodes that can reach no other data centre do
// not.
func TestOutageKeepsTheMajorityCurrent(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		f := newFleet(seed, 3, 4)
		f.change(workspaceNote(0, "w"))
		f.advance(10*time.Second, func() {})
		f.cutAPI = map[string]bool{"dc-0": true, "dc-1": true, "dc-2": true}
		f.cut[[2]string{"dc-2", "dc-0"}] = true
		f.cut[[2]string{"dc-2", "dc-1"}] = true
		f.advance(5*time.Minute, func() {})
		for _, n := range f.nodes {
			if got, want := n.contacts.Current(f.now), n.dataCentre != "dc-2"; got != want {
				t.Errorf("seed %d: %s is current: %t; want %t", seed, n.name, got, want)
			}
		}
	}
}

// Guards against a change that takes longer than the specified 11 s to reach all
// of 150 nodes per data centre. Logs how long it took.
func TestChangeReachesAllNodesInTime(t *testing.T) {
	f := newFleet(7, 3, 150)
	f.advance(20*time.Second, func() {})
	f.change(workspaceNote(0, "w"))
	started := f.now
	for f.now.Sub(started) < 11*time.Second {
		f.advance(100*time.Millisecond, func() {})
		behind := 0
		for _, n := range f.nodes {
			if n.inForce.Version < 1 {
				behind++
			}
		}
		if behind == 0 {
			t.Logf("in force on all %d nodes after %s", len(f.nodes), f.now.Sub(started))
			return
		}
	}
	t.Errorf("not in force on all nodes after 11 s")
}

// Guards against contacts with the object API that reach the lower levels of a
// data centre's tree so late that nodes there read from the API themselves, or
// stop being current.
func TestLowerNodesStayCurrentWithoutDirectReads(t *testing.T) {
	f := newFleet(5, 3, 150)
	// The latency between nodes of a data centre is about a millisecond.
	f.maxAnswerDelay = 20 * time.Millisecond
	f.advance(20*time.Second, func() {})
	f.directWatches = 0
	oldest := time.Duration(0)
	for range 300 {
		f.advance(100*time.Millisecond, func() {})
		for _, n := range f.nodes {
			oldest = max(oldest, f.now.Sub(n.contacts.At[configurer.API]))
		}
	}
	t.Logf("oldest contact with the object API: %s; reads by nodes that are not relays: %d", oldest, f.directWatches)
	if oldest > configurer.MaxAge || f.directWatches > 0 {
		t.Errorf("oldest contact %s, %d direct reads; want at most %s and none", oldest, f.directWatches, configurer.MaxAge)
	}
}
