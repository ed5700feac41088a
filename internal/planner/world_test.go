package planner

import (
	"fmt"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/resolver"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	worldService = "describer"
	worldSpacing = 3 * time.Second
	// worldReportLag is how old a replica's report of itself is.
	worldReportLag = 200 * time.Millisecond
	// worldLate is the longest delay of an order that got no answer.
	worldLate = 12 * time.Second
)

// world holds the replicas of an engine and the nodes that order them about,
// and judges every order as it arrives.
type world struct {
	now      time.Time
	engine   *resolver.Engine
	replicas []*worldReplica
	nodes    []*worldNode
	late     []worldCall
	loads    []time.Time
	// unload is how long an unload waits for running requests.
	unload   time.Duration
	problems []string
}

// worldNode is a node with its planner.
type worldNode struct {
	name       string
	controller *Controller
	inbox      []worldMessage
	// frozen nodes neither step nor send.
	frozen bool
}

type worldMessage struct {
	at      time.Time
	message Message
}

// worldCall is an order that is carried out late.
type worldCall struct {
	at      time.Time
	replica *worldReplica
	order   Order
}

type worldReplica struct {
	id       string
	born     int64
	sequence uint64
	models   map[string]map[string]bool
	disk     []string
	// busyUntil ends the order that is being carried out, and running is the
	// order. An unload waits for runs until then.
	busyUntil time.Time
	running   *Order
	history   []worldState
	// holder gave the last order at orderedAt.
	holder    string
	orderedAt time.Time
	crashed   bool
}

type worldState struct {
	at    time.Time
	state surveyor.Replica
	busy  bool
}

func newWorld(replicas, models int) *world {
	w := &world{now: tester.Start, unload: 50 * time.Millisecond, engine: &resolver.Engine{
		Slots: 24, MemoryMB: 200, AdapterSlots: 4, HostMB: 130, DiskMB: 400, LoadsPerSecond: 3,
		Models: map[string]resolver.Model{},
	}}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		w.engine.Models[name] = resolver.Model{
			Name: name, MemoryMB: []float64{65, 43, 65, 73}[i%4], StoreLoad: 6 * time.Second,
			DiskLoad: 700 * time.Millisecond, MemoryLoad: 500 * time.Millisecond, Adapters: 4, AdapterMB: 4,
		}
	}
	for i := range replicas {
		w.replicas = append(w.replicas, &worldReplica{
			id: fmt.Sprintf("r%d", i), born: 1, models: map[string]map[string]bool{}, disk: []string{fmt.Sprintf("m%d", i%models)},
		})
	}
	for _, name := range []string{"n1", "n2"} {
		w.nodes = append(w.nodes, &worldNode{name: name, controller: NewController(Settings{Node: name, Spacing: worldSpacing})})
	}
	w.record()
	return w
}

func (w *world) problem(format string, values ...any) {
	w.problems = append(w.problems, w.now.Sub(tester.Start).String()+": "+fmt.Sprintf(format, values...))
}

// step advances the world to the next moment.
func (w *world) step(by time.Duration) {
	w.now = w.now.Add(by)
	for _, replica := range w.replicas {
		w.complete(replica)
	}
	w.late = slices.DeleteFunc(w.late, func(call worldCall) bool {
		if call.at.After(w.now) {
			return false
		}
		w.execute(call.replica, call.order)
		return true
	})
	w.record()
	for _, node := range w.nodes {
		w.stepNode(node)
	}
}

func (w *world) stepNode(node *worldNode) {
	if node.frozen {
		return
	}
	due := []Message{}
	node.inbox = slices.DeleteFunc(node.inbox, func(m worldMessage) bool {
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
	node.inbox = append(node.inbox, worldMessage{w.now, message})
}

// perform carries out effects. lose draws the fate of orders in fuzz tests.
func (w *world) perform(node *worldNode, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case SendOrder:
			if !w.now.Before(effect.NotAfter) {
				w.send(node, OrderDone{effect.Replica, effect.Order, Unsent})
				continue
			}
			w.order(node, effect)
		case ReadState:
			w.read(node, effect)
		}
	}
}

func (w *world) replica(id string) *worldReplica {
	at := slices.IndexFunc(w.replicas, func(r *worldReplica) bool { return r.id == id })
	if at < 0 {
		return nil
	}
	return w.replicas[at]
}

// order judges and answers an order.
func (w *world) order(node *worldNode, effect SendOrder) {
	replica := w.replica(effect.Replica)
	if replica == nil || replica.crashed {
		w.send(node, OrderDone{effect.Replica, effect.Order, Rejected})
		return
	}
	if replica.holder != "" && replica.holder != node.name && w.now.Sub(replica.orderedAt) < worldSpacing {
		w.problem("ONE: %s orders %s %v after %s", node.name, replica.id, w.now.Sub(replica.orderedAt), replica.holder)
	}
	replica.holder, replica.orderedAt = node.name, w.now
	outcome := w.execute(replica, effect.Order)
	w.send(node, OrderDone{effect.Replica, effect.Order, outcome})
}

// execute carries out an order as a replica does.
func (w *world) execute(replica *worldReplica, order Order) Outcome {
	switch {
	case replica.crashed:
		return Rejected
	case order.Expected != replica.sequence:
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
		return Holding
	}
	replica.sequence++
	replica.running = &order
	if !order.Load {
		replica.busyUntil = w.now.Add(w.unload)
		return Accepted
	}
	took := w.engine.Models[order.Model].DiskLoad
	if !slices.Contains(replica.disk, order.Model) {
		took = w.engine.Models[order.Model].StoreLoad
		w.loads = append(w.loads, w.now)
	}
	replica.busyUntil = w.now.Add(took)
	if used := w.used(replica); used > w.engine.MemoryMB {
		w.problem("LIMIT: %s holds or loads %v MB", replica.id, used)
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
		return Holding
	}
	adapters[order.Adapter] = true
	count := 0
	for _, held := range replica.models {
		count += len(held)
	}
	if count > w.engine.AdapterSlots || w.used(replica) > w.engine.MemoryMB {
		w.problem("LIMIT: %s holds %d adapters and %v MB", replica.id, count, w.used(replica))
	}
	return Accepted
}

func (w *world) used(replica *worldReplica) float64 {
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
	if !slices.Contains(replica.disk, order.Model) {
		replica.disk = append(replica.disk, order.Model)
	}
}

// restart empties a replica; its disk is kept.
func (w *world) restart(replica *worldReplica) {
	replica.born++
	replica.sequence, replica.running, replica.crashed = 0, nil, false
	replica.models, replica.history = map[string]map[string]bool{}, nil
	// Orders to the former start do not reach the new one.
	w.late = slices.DeleteFunc(w.late, func(call worldCall) bool { return call.replica == replica })
}

func (w *world) state(replica *worldReplica) surveyor.Replica {
	state := surveyor.Replica{ID: replica.id, StartedMS: replica.born, Service: worldService, Address: replica.id, Slots: 24, Sequence: replica.sequence, OnDisk: slices.Clone(replica.disk)}
	for name, adapters := range replica.models {
		loaded := surveyor.LoadedModel{Name: name}
		for adapter := range adapters {
			loaded.Adapters = append(loaded.Adapters, adapter)
		}
		state.Models = append(state.Models, loaded)
	}
	return state
}

// record keeps the states that delayed reports show.
func (w *world) record() {
	for _, replica := range w.replicas {
		replica.history = append(replica.history, worldState{w.now, w.state(replica), replica.running != nil})
		for len(replica.history) > 1 && !replica.history[1].at.After(w.now.Add(-worldReportLag)) {
			replica.history = replica.history[1:]
		}
	}
}

func (w *world) read(node *worldNode, effect ReadState) {
	replica := w.replica(effect.Replica)
	if replica == nil || replica.crashed || len(replica.history) == 0 {
		w.send(node, StateRead{Replica: effect.Replica, AskedAt: w.now, Failed: true})
		return
	}
	old := replica.history[0]
	w.send(node, StateRead{Replica: effect.Replica, AskedAt: w.now, Busy: old.busy, State: old.state})
}

// list tells a node of the replicas as the store lists them.
func (w *world) list(node *worldNode) {
	var replicas []surveyor.Replica
	for _, replica := range w.replicas {
		if replica.crashed || len(replica.history) == 0 {
			continue
		}
		listed := replica.history[0].state
		listed.Sequence = 0
		replicas = append(replicas, listed)
	}
	w.send(node, Listed{Replicas: replicas, ProvenAt: w.now})
}

func (w *world) configure(node *worldNode) {
	w.send(node, Configured{ProvenAt: w.now, Configuration: &resolver.Configuration{
		Version: 1, Revision: 1, Services: map[string]resolver.Service{worldService: {Name: worldService, Engine: w.engine}},
	}})
}

// ceiling checks the loads from the weight store in each window of 5 s.
func (w *world) ceiling() {
	allowed := int(w.engine.LoadsPerSecond*5*1.1) + 3
	for i := range w.loads {
		if i >= allowed && w.loads[i].Sub(w.loads[i-allowed]) < 5*time.Second {
			w.problem("CEILING: more than %d loads within 5 s", allowed)
			return
		}
	}
}
