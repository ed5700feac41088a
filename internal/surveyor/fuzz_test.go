package surveyor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	// fuzzCurrency is how long a node goes on with keys that were the newest,
	// the time for withdrawals less the margin of internal/assembler.
	fuzzMaxKeyAge = 3500 * time.Millisecond
	// fuzzApply is the time within which a change must be in force at a node
	// that is in touch.
	fuzzApplyTime = 2 * time.Second
	fuzzStep      = 25 * time.Millisecond
	fuzzExchange  = 250 * time.Millisecond
	fuzzTimeout   = 400 * time.Millisecond
)

// TestWithdrawnKeysStop guards against a node that admits a withdrawn key later
// than the time for withdrawals, and against a configuration that goes back:
// with nodes that stand still, lose the store or the holder, answers that come
// late, and holders that change.
func TestWithdrawnKeyIsRejected(t *testing.T) {
	tester.CheckSome(t, 20, 10, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), true)
		for range 800 {
			s.injectFault()
			s.step()
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		}
		s.checkConvergence()
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	})
}

// TestSteadyClockIsNotEnough guards against a check that cannot fail: nodes
// whose clock stops while they stand still admit withdrawn keys too late.
func TestSteadyClockAdmitsWithdrawnKey(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(seed, false)
		for range 800 {
			s.injectFault()
			s.step()
		}
		if s.violation != "" {
			return
		}
	}
	t.Error("no withdrawn key was admitted")
}

// world is a store with one key and nodes that learn of it.
type simulation struct {
	random *rand.Rand
	now    time.Time
	// counts says that the nodes' clocks count the time for which they stand
	// still.
	countsSuspension bool
	configuration    *resolver.Configuration
	// withdrawnAt is when the withdrawal of the key was acknowledged, the zero
	// time while it is granted.
	withdrawnAt time.Time
	changedAt   time.Time
	nodes       []*simulatedNode
	violation   string
}

type simulatedNode struct {
	controller *Controller
	inFlight   []delayedMessage
	// frozenUntil ends a time of standing still, and stood adds them up.
	frozenUntil      time.Time
	frozenFor        time.Duration
	noStore, noPeers bool
	exchangeAt       time.Time
	inForce          *resolver.Configuration
	provenAt         time.Time
}

// worldMessage is handled at a time of the world.
type delayedMessage struct {
	at      time.Time
	message func() Message
}

const simulatedKey = "k"

func newSimulation(seed uint64, countsSuspension bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: tester.Start, countsSuspension: countsSuspension}
	s.change(true)
	for range 4 {
		s.nodes = append(s.nodes, &simulatedNode{controller: NewController()})
	}
	s.setHolder(0)
	return s
}

// change acknowledges a new version that grants or withdraws the key.
func (s *simulation) change(granted bool) {
	next := &resolver.Configuration{Version: 1, Revision: 1, Keys: map[string]string{}}
	if s.configuration != nil {
		next.Version, next.Revision = s.configuration.Version+1, s.configuration.Revision+1
	}
	if granted {
		next.Keys[simulatedKey] = "w"
		s.withdrawnAt = time.Time{}
	} else if s.withdrawnAt.IsZero() {
		s.withdrawnAt = s.now
	}
	s.configuration, s.changedAt = next, s.now
}

func (s *simulation) setHolder(holder int) {
	for i, node := range s.nodes {
		node.receive(s.now, func() Message { return SetHolding{Holding: i == holder} })
	}
}

func (n *simulatedNode) receive(at time.Time, message func() Message) {
	n.inFlight = append(n.inFlight, delayedMessage{at, message})
}

// clock is the node's own time.
func (s *simulation) clock(node *simulatedNode) time.Time {
	if s.countsSuspension {
		return s.now
	}
	return s.now.Add(-node.frozenFor)
}

// delay draws the time of one way.
func (s *simulation) delay() time.Duration {
	if s.random.IntN(20) == 0 {
		return time.Duration(s.random.Int64N(int64(fuzzTimeout)))
	}
	return time.Duration(1+s.random.IntN(8)) * time.Millisecond
}

func (s *simulation) injectFault() {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	switch s.random.IntN(80) {
	case 0, 1:
		s.change(s.random.IntN(2) == 0)
	case 2:
		node.frozenUntil = s.now.Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
	case 3:
		node.noStore = !node.noStore
	case 4:
		node.noPeers = !node.noPeers
	case 5:
		s.setHolder(s.random.IntN(len(s.nodes)))
	}
}

// step lets the nodes handle what is due, and judges them.
func (s *simulation) step() {
	s.now = s.now.Add(fuzzStep)
	for i, node := range s.nodes {
		if s.now.Before(node.frozenUntil) {
			node.frozenFor += fuzzStep
			continue
		}
		due := []func() Message{}
		node.inFlight = slices.DeleteFunc(node.inFlight, func(m delayedMessage) bool {
			if m.at.After(s.now) {
				return false
			}
			due = append(due, m.message)
			return true
		})
		for _, message := range due {
			s.handle(i, message())
		}
		if !s.now.Before(node.exchangeAt) {
			node.exchangeAt = s.now.Add(fuzzExchange)
			s.exchange(node)
		}
		if wake := node.controller.Wake(); !wake.IsZero() && !wake.After(s.clock(node)) {
			s.handle(i, Tick{})
		}
		s.checkKey(i)
	}
}

func (s *simulation) handle(index int, message Message) {
	node := s.nodes[index]
	for _, effect := range node.controller.Step(s.clock(node), message) {
		switch effect := effect.(type) {
		case ReadConfiguration:
			s.read(node, effect.Known)
		case ReadReplicas:
			started := s.clock(node)
			node.receive(s.now.Add(s.delay()), func() Message { return ReplicasRead{StartedAt: started, Failed: true} })
		case ReadNodes:
			started := s.clock(node)
			node.receive(s.now.Add(s.delay()), func() Message { return NodesRead{StartedAt: started, Failed: true} })
		case PublishConfiguration:
			if node.inForce != nil && effect.Version < node.inForce.Version {
				s.violation = fmt.Sprintf("CONFIG: node %d goes back from version %d to %d", index, node.inForce.Version, effect.Version)
			}
			node.inForce, node.provenAt = effect.Configuration, effect.CurrentAsOf
		}
	}
}

// read lets the store answer with what it holds when the call arrives.
func (s *simulation) read(node *simulatedNode, known uint64) {
	started, arrives := s.clock(node), s.now.Add(s.delay())
	if node.noStore {
		node.receive(s.now.Add(fuzzTimeout), func() Message { return ConfigurationRead{StartedAt: started, Failed: true} })
		return
	}
	// What is acknowledged until the call arrives may or may not be seen.
	seen := s.configuration
	node.receive(arrives.Add(s.delay()), func() Message {
		if seen.Revision == known {
			return ConfigurationRead{StartedAt: started}
		}
		return ConfigurationRead{StartedAt: started, Configuration: seen}
	})
}

// exchange asks the holders; several nodes may take themselves for the holder.
func (s *simulation) exchange(node *simulatedNode) {
	for _, holder := range s.nodes {
		if holder == node || !holder.controller.Holding || holder.noPeers || node.noPeers {
			continue
		}
		started := s.clock(node)
		// A holder that stands still answers when it goes on.
		answers := s.now.Add(s.delay())
		if answers.Before(holder.frozenUntil) {
			answers = holder.frozenUntil
		}
		holder.receive(answers, func() Message {
			known, age := holder.controller.Configuration, s.clock(holder).Sub(holder.controller.ConfigSource.CurrentAsOf)
			heard := HolderUpdate{StartedAt: started, ConfigurationAge: age, ReplicasAge: time.Hour, NodesAge: time.Hour}
			if known != nil {
				heard.ConfigurationRevision = known.Revision
			}
			node.receive(s.now.Add(s.delay()), func() Message { return heard })
			return Tick{}
		})
	}
}

// admits says whether a node takes a request with the key.
func (s *simulation) admits(node *simulatedNode) bool {
	return node.inForce != nil && s.clock(node).Sub(node.provenAt) <= fuzzMaxKeyAge && node.inForce.Keys[simulatedKey] != ""
}

func (s *simulation) checkKey(index int) {
	node := s.nodes[index]
	if !s.withdrawnAt.IsZero() && s.now.Sub(s.withdrawnAt) > fuzzMaxKeyAge+fuzzStep && s.admits(node) {
		s.violation = fmt.Sprintf("CONFIG: node %d admits a key %v after its withdrawal", index, s.now.Sub(s.withdrawnAt))
	}
}

// settle ends all disturbances; a change must then be in force in time.
func (s *simulation) checkConvergence() {
	for _, node := range s.nodes {
		node.noStore, node.noPeers, node.frozenUntil = false, false, time.Time{}
	}
	s.setHolder(0)
	for range int(4 * time.Second / fuzzStep) {
		s.step()
	}
	s.change(true)
	for range int(fuzzApplyTime / fuzzStep) {
		s.step()
	}
	for index, node := range s.nodes {
		if !s.admits(node) || node.inForce.Version != s.configuration.Version {
			s.violation = fmt.Sprintf("CONFIG: node %d does not have version %d after %v", index, s.configuration.Version, fuzzApplyTime)
		}
	}
}
