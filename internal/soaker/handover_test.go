package soaker

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

// holderPartitionTime is how long the lease holder is partitioned. A handover, the spacing of
// orders and a load take about half of it.
const holderPartitionTime = 10 * time.Second

// TestPartitionedHolderHandsLeaseOver guards against models that no node can have loaded, because
// the node that holds the placement lease has lost its ways to the replicas and keeps the lease,
// and against orders of two holders within their spacing when it does not.
func TestPartitionedHolderHandsLeaseOver(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const network = partitionNetwork + 5
	d := newDeployment(ctx, t, buildPartitionable(t), network, 4)
	for _, n := range d.nodes {
		d.startPartitionable(n)
		defer n.stop()
	}
	d.awaitReady()
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i, n := range d.nodes {
		callerGroup.Go(func() { d.runNodeCaller(callersCtx, n, i, results) })
	}
	holder := d.awaitOrder()
	time.Sleep(time.Second)
	// The holder has further copies of busy models loaded on a new engine.
	d.addReplica(ctx, engineSettings("i-new"), 0)
	index := slices.IndexFunc(d.nodes, func(n *node) bool { return n.name == holder })
	d.partition(d.nodes[index], partition{Kept: "silent", New: "silent"})
	time.Sleep(holderPartitionTime)
	stopCallers()
	callerGroup.Wait()

	isOther := func(order emulator.FleetOrder) bool { return order.Holder != holder }
	if !slices.ContainsFunc(d.orders(), isOther) {
		t.Errorf("no node but %s has sent orders in the %v for which it was partitioned", holder, holderPartitionTime)
	}
	for _, problem := range d.checkInvariants(results.outcomes, nil, nil) {
		t.Error(problem)
	}
	if t.Failed() {
		d.saveLogs(network)
	}
}

// awaitOrder waits until a replica has got an order, and returns the node that sent it.
func (d *deployment) awaitOrder() string {
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if orders := d.orders(); len(orders) > 0 {
			return orders[0].Holder
		}
	}
	d.t.Fatal("no node has sent orders within 12 s")
	return ""
}

// orders returns the orders that the replicas got, oldest first.
func (d *deployment) orders() []emulator.FleetOrder {
	var orders []emulator.FleetOrder
	for _, r := range d.replicas {
		orders = append(orders, r.emulated.Orders()...)
	}
	slices.SortStableFunc(orders, func(a, b emulator.FleetOrder) int { return a.At.Compare(b.At) })
	return orders
}
