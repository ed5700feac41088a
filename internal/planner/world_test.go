package planner

import (
	"fmt"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/sequencer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	worldService      = "describer"
	worldOrderSpacing = 3 * time.Second
	// worldReportAge is the age of a replica's report of itself.
	worldReportAge = 200 * time.Millisecond
	// maxOrderDelay is the longest delay after which an unanswered order is still
	// executed.
	maxOrderDelay = 12 * time.Second
)

// world simulates the replicas of an engine and the nodes that send orders to
// them. It checks every order on arrival and records violations as problems.
type world struct {
	now           time.Time
	engine        *resolver.Engine
	replicas      []*worldReplica
	nodes         []*worldNode
	delayedOrders []delayedOrder
	storeLoads    []time.Time
	// unloadTime is how long an unload waits for running requests.
	unloadTime time.Duration
	problems   []string
}

// worldNode is a node with its planner.
type worldNode struct {
	name       string
	controller *Controller
	inbox      []queuedMessage
	// paused is set while the node neither steps nor sends.
	paused bool
}

type queuedMessage struct {
	at      time.Time
	message Message
}

// delayedOrder is an unanswered order that is executed later.
type delayedOrder struct {
	at      time.Time
	replica *worldReplica
	order   Order
}

type worldReplica struct {
	id       string
	born     int64
	sequence uint64
	models   map[string]map[string]bool
	onDisk   []string
	// running is the order in progress, and busyUntil its end. An unload waits for
	// running requests until then.
	busyUntil time.Time
	running   *Order
	history   []worldState
	// lastHolder sent the last order, at orderedAt.
	lastHolder string
	orderedAt  time.Time
	crashed    bool
}

type worldState struct {
	at    time.Time
	state surveyor.Replica
	busy  bool
}

func newWorld(replicas, models int) *world {
	w := &world{now: tester.Start, unloadTime: 50 * time.Millisecond, engine: &resolver.Engine{
		Slots: 24, MemoryMB: 200, AdapterSlots: 4, HostMB: 130, DiskMB: 400, LoadsPerSecond: 3,
		Models: map[string]resolver.Model{},
	}}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		w.engine.Models[name] = resolver.Model{
			Name: name, MemoryMB: []float64{65, 43, 65, 73}[i%4], StoreLoadTime: 6 * time.Second,
			DiskLoadTime: 700 * time.Millisecond, MemoryLoadTime: 500 * time.Millisecond, Adapters: 4, AdapterMB: 4,
		}
	}
	for i := range replicas {
		w.replicas = append(w.replicas, &worldReplica{
			id: fmt.Sprintf("r%d", i), born: 1, models: map[string]map[string]bool{}, onDisk: []string{fmt.Sprintf("m%d", i%models)},
		})
	}
	for _, name := range []string{"n1", "n2"} {
		w.nodes = append(w.nodes, &worldNode{name: name, controller: NewController(Settings{Node: name, OrderSpacing: worldOrderSpacing})})
	}
	w.recordStates()
	return w
}

func (w *world) addProblem(format string, values ...any) {
	w.problems = append(w.problems, w.now.Sub(tester.Start).String()+": "+fmt.Sprintf(format, values...))
}

// step advances the time, the replicas and the nodes.
func (w *world) step(by time.Duration) {
	w.now = w.now.Add(by)
	for _, replica := range w.replicas {
		w.complete(replica)
	}
	w.delayedOrders = slices.DeleteFunc(w.delayedOrders, func(call delayedOrder) bool {
		if call.at.After(w.now) {
			return false
		}
		w.execute(call.replica, call.order)
		return true
	})
	w.recordStates()
	for _, node := range w.nodes {
		w.stepNode(node)
	}
}

func (w *world) stepNode(node *worldNode) {
	if node.paused {
		return
	}
	due := []Message{}
	node.inbox = slices.DeleteFunc(node.inbox, func(m queuedMessage) bool {
		if m.at.After(w.now) {
			return false
		}
		due = append(due, m.message)
		return true
	})
	if wake := node.controller.Wake(); !wake.IsZero() && !wake.After(w.now) {
		due = append(due, Tick{})
	}
	for _, message := range due {
		w.perform(node, node.controller.Step(w.now, message))
	}
}

func (w *world) send(node *worldNode, message Message) {
	node.inbox = append(node.inbox, queuedMessage{w.now, message})
}

// perform performs the effects of a node. fuzzRun.loseAnswer may later remove the
// answer to an order.
func (w *world) perform(node *worldNode, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendOrder:
			if !w.now.Before(effect.NotAfter) {
				w.send(node, OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: Unsent})
				continue
			}
			w.deliverOrder(node, effect)
		case ReadState:
			w.deliverRead(node, effect)
		}
	}
}

func (w *world) replica(id string) *worldReplica {
	index := slices.IndexFunc(w.replicas, func(r *worldReplica) bool { return r.id == id })
	if index < 0 {
		return nil
	}
	return w.replicas[index]
}

// deliverOrder checks, executes and answers an order.
func (w *world) deliverOrder(node *worldNode, effect SendOrder) {
	replica := w.replica(effect.Replica)
	if replica == nil || replica.crashed {
		w.send(node, OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: Rejected})
		return
	}
	if replica.lastHolder != "" && replica.lastHolder != node.name && w.now.Sub(replica.orderedAt) < worldOrderSpacing {
		w.addProblem("order spacing violated: %s sends an order to %s %v after %s", node.name, replica.id, w.now.Sub(replica.orderedAt), replica.lastHolder)
	}
	if effect.Order.Load && slices.Contains(node.controller.Evacuated, replica.id) {
		w.addProblem("%s orders a load of %s at %s, which it knows to be evacuated", node.name, effect.Order.Model, replica.id)
	}
	replica.lastHolder, replica.orderedAt = node.name, w.now
	outcome := w.execute(replica, effect.Order)
	w.send(node, OrderResult{Replica: effect.Replica, Order: effect.Order, Outcome: outcome})
}

// execute executes an order as a replica does.
func (w *world) execute(replica *worldReplica, order Order) Outcome {
	switch {
	case replica.crashed:
		return Rejected
	case order.ExpectedSequence != replica.sequence:
		return Busy
	}
	if order.Adapter != "" {
		return w.executeAdapter(replica, order)
	}
	if replica.running != nil {
		return Busy
	}
	_, loaded := replica.models[order.Model]
	if loaded == order.Load {
		return AlreadyInEffect
	}
	replica.sequence++
	replica.running = &order
	if !order.Load {
		replica.busyUntil = w.now.Add(w.unloadTime)
		return Accepted
	}
	duration := w.engine.Models[order.Model].DiskLoadTime
	if !slices.Contains(replica.onDisk, order.Model) {
		duration = w.engine.Models[order.Model].StoreLoadTime
		w.storeLoads = append(w.storeLoads, w.now)
	}
	replica.busyUntil = w.now.Add(duration)
	if used := w.memoryUsed(replica); used > w.engine.MemoryMB {
		w.addProblem("memory exceeded: %s holds or loads %v MB", replica.id, used)
	}
	return Accepted
}

func (w *world) executeAdapter(replica *worldReplica, order Order) Outcome {
	adapters, loaded := replica.models[order.Model]
	if !loaded {
		return Rejected
	}
	replica.sequence++
	if !order.Load {
		delete(adapters, order.Adapter)
		return AlreadyInEffect
	}
	adapters[order.Adapter] = true
	count := 0
	for _, held := range replica.models {
		count += len(held)
	}
	if count > w.engine.AdapterSlots || w.memoryUsed(replica) > w.engine.MemoryMB {
		w.addProblem("adapter slots or memory exceeded: %s holds %d adapters and %v MB", replica.id, count, w.memoryUsed(replica))
	}
	return Accepted
}

func (w *world) memoryUsed(replica *worldReplica) float64 {
	total := 0.0
	for name, adapters := range replica.models {
		total += w.engine.Models[name].MemoryMB + float64(len(adapters))*w.engine.Models[name].AdapterMB
	}
	if replica.running != nil && replica.running.Load {
		total += w.engine.Models[replica.running.Model].MemoryMB
	}
	return total
}

func (w *world) complete(replica *worldReplica) {
	if replica.running == nil || replica.busyUntil.After(w.now) {
		return
	}
	order := *replica.running
	replica.running = nil
	if !order.Load {
		delete(replica.models, order.Model)
		return
	}
	replica.models[order.Model] = map[string]bool{}
	if !slices.Contains(replica.onDisk, order.Model) {
		replica.onDisk = append(replica.onDisk, order.Model)
	}
}

// restart restarts a replica, which loses everything but its disk.
func (w *world) restart(replica *worldReplica) {
	replica.born++
	replica.sequence, replica.running, replica.crashed = 0, nil, false
	replica.models, replica.history = map[string]map[string]bool{}, nil
	// Orders to the previous process do not reach the new one.
	w.delayedOrders = slices.DeleteFunc(w.delayedOrders, func(call delayedOrder) bool { return call.replica == replica })
}

func (w *world) replicaState(replica *worldReplica) surveyor.Replica {
	state := surveyor.Replica{ID: replica.id, StartedMS: replica.born, Service: worldService, Address: replica.id, DataCentre: replica.id, Slots: 24, Sequence: replica.sequence, OnDisk: slices.Clone(replica.onDisk)}
	for name, adapters := range replica.models {
		loaded := surveyor.LoadedModel{Name: name}
		for adapter := range adapters {
			loaded.Adapters = append(loaded.Adapters, adapter)
		}
		state.Models = append(state.Models, loaded)
	}
	return state
}

// recordStates records the states of the replicas and keeps those that delayed
// reports still show.
func (w *world) recordStates() {
	for _, replica := range w.replicas {
		replica.history = append(replica.history, worldState{w.now, w.replicaState(replica), replica.running != nil})
		for len(replica.history) > 1 && !replica.history[1].at.After(w.now.Add(-worldReportAge)) {
			replica.history = replica.history[1:]
		}
	}
}

func (w *world) deliverRead(node *worldNode, effect ReadState) {
	replica := w.replica(effect.Replica)
	if replica == nil || replica.crashed || len(replica.history) == 0 {
		w.send(node, StateRead{Replica: effect.Replica, RequestedAt: w.now, Failed: true})
		return
	}
	old := replica.history[0]
	w.send(node, StateRead{Replica: effect.Replica, RequestedAt: w.now, Busy: old.busy, State: old.state})
}

// sendList sends a node the replicas as listed in the store.
func (w *world) sendList(node *worldNode) {
	var replicas []surveyor.Replica
	for _, replica := range w.replicas {
		if replica.crashed || len(replica.history) == 0 {
			continue
		}
		listed := replica.history[0].state
		listed.Sequence = 0
		replicas = append(replicas, listed)
	}
	w.send(node, ReplicasListed{Replicas: replicas, CurrentAsOf: w.now})
}

func (w *world) sendConfiguration(node *worldNode) {
	w.send(node, ConfigurationChanged{CurrentAsOf: w.now, Configuration: &resolver.Configuration{
		Version: 1, Position: sequencer.Position{Revision: 1}, Services: map[string]resolver.Service{worldService: {Name: worldService, Engine: w.engine}},
	}})
}

// checkStoreRate checks the number of loads from the weight store in each window of
// 5 s.
func (w *world) checkStoreRate() {
	allowed := int(w.engine.LoadsPerSecond*5*1.1) + 3
	for i := range w.storeLoads {
		if i >= allowed && w.storeLoads[i].Sub(w.storeLoads[i-allowed]) < 5*time.Second {
			w.addProblem("store load rate exceeded: more than %d loads within 5 s", allowed)
			return
		}
	}
}
