package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// partitionTime is how long requests are sent to partitioned nodes. Those count that are sent
	// later than contactBound after its start.
	partitionTime = 7 * time.Second
	// partitionNetwork is the network of the first deployment with partitioned nodes.
	partitionNetwork = 210
)

// partition is a way in which a node loses the replicas while callers, the store and the other
// nodes reach it.
type partition struct {
	Name string
	// Kept is what happens to open connections: "silent", "reset" or "live", and New to new
	// ones: "silent" or "refuse".
	Kept, New string
}

// TestNodesPartitionedFromReplicas guards against callers who are served less than two thirds
// as often by nodes that have lost their ways to all replicas as by the others.
func TestNodesPartitionedFromReplicas(t *testing.T) {
	binary := buildPartitionable(t)
	for i, variant := range readPartitions(t) {
		t.Run(variant.Name, func(t *testing.T) {
			t.Parallel()
			runPartition(t, binary, partitionNetwork+i, variant)
		})
	}
}

func readPartitions(t *testing.T) []partition {
	data, err := os.ReadFile("testdata/partitions.json")
	if err != nil {
		t.Fatal(err)
	}
	var variants []partition
	if err := json.Unmarshal(data, &variants); err != nil {
		t.Fatal(err)
	}
	return variants
}

func runPartition(t *testing.T, binary string, network int, variant partition) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, binary, network, 4)
	for _, n := range d.nodes {
		d.startPartitionable(n)
		defer n.stop()
	}
	d.awaitReady()
	partitioned := d.nodes[:2]
	results := &outcomeLog{}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callerGroup sync.WaitGroup
	for i, n := range d.nodes {
		callerGroup.Go(func() { d.runNodeCaller(callersCtx, n, i, results) })
	}
	d.awaitOrder()
	time.Sleep(time.Second)
	for _, n := range partitioned {
		d.partition(n, variant)
	}
	boundAt := time.Now().Add(contactBound)
	time.Sleep(partitionTime)
	// Requests must not wait for the end of the partition.
	stopCallers()
	callerGroup.Wait()

	counted := slices.DeleteFunc(slices.Clone(results.outcomes), func(o outcome) bool { return o.sentAt.Before(boundAt) })
	isPartitioned := func(o outcome) bool {
		return slices.ContainsFunc(partitioned, func(n *node) bool { return n.address(callersPort) == o.node })
	}
	served, total := countServed(counted, isPartitioned)
	servedElsewhere, totalElsewhere := countServed(counted, func(o outcome) bool { return !isPartitioned(o) })
	t.Logf("%d of %d first tries were served at the partitioned nodes, %d of %d at the others", served, total, servedElsewhere, totalElsewhere)
	if total < 20 || servedElsewhere*2 < totalElsewhere {
		t.Errorf("%d first tries at the partitioned nodes, want 20 or more, and %d of %d served at the others, want half of them", total, servedElsewhere, totalElsewhere)
	}
	if 3*served*totalElsewhere < 2*servedElsewhere*total {
		t.Errorf("%d of %d first tries were served at the partitioned nodes and %d of %d at the others, want two thirds of the others' share", served, total, servedElsewhere, totalElsewhere)
	}
	for _, problem := range d.checkInvariants(results.outcomes, nil, nil) {
		t.Error(problem)
	}
	if t.Failed() {
		d.saveLogs(uint64(network))
	}
}

// countServed returns how many of the requests for which include is true were served, and their
// number.
func countServed(outcomes []outcome, include func(outcome) bool) (served, total int) {
	for _, o := range outcomes {
		if !include(o) {
			continue
		}
		total++
		if o.status == http.StatusOK && o.complete {
			served++
		}
	}
	return served, total
}

// runNodeCaller sends requests of all kinds to one node until ctx ends, and none twice.
func (d *deployment) runNodeCaller(ctx context.Context, n *node, index int, results *outcomeLog) {
	client := &http.Client{Timeout: 6 * time.Second}
	paths := []string{"/once/", "/safe/", "/stream/", "/resume/"}
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(60 * time.Millisecond)
		o := outcome{attempt: fmt.Sprintf("c-%d-%d", index, i), path: paths[i%len(paths)], key: "key-a", sentAt: time.Now()}
		requests.Go(func() {
			d.send(client, n.address(callersPort), rand.New(rand.NewPCG(uint64(index), uint64(i))), &o)
			results.add(o)
		})
	}
}

// buildPartitionable builds the program with the dialer of testdata/partition.go.txt, which
// fails connections to replicas. A proxy before a replica cannot refuse the connections of some
// nodes only, since the kernel accepts them before it shows where they come from.
func buildPartitionable(t *testing.T) string {
	return buildWith(t, "../assembler/network.go", "func newDialer()", "func newSoundDialer()", "testdata/partition.go.txt")
}

// startPartitionable starts a process of a program of buildPartitionable. Its connections come
// from the address of the node.
func (d *deployment) startPartitionable(n *node) {
	d.setNewConnections(n, "live")
	n.environment = append(os.Environ(), "TEST_SOURCE_ADDRESS="+n.ip, "TEST_PARTITION_FILE="+d.partitionPath(n))
	d.start(n)
}

func (d *deployment) partitionPath(n *node) string {
	return filepath.Join(d.dir, n.name+".partition")
}

// setNewConnections sets the state of a node's new connections to replicas.
func (d *deployment) setNewConnections(n *node, state string) {
	lines := []string{state}
	for _, r := range d.replicas {
		lines = append(lines, r.proxy.address())
	}
	next := d.partitionPath(n) + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		d.t.Error(err)
	}
	if err := os.Rename(next, d.partitionPath(n)); err != nil {
		d.t.Error(err)
	}
}

// partition partitions a node from all replicas.
func (d *deployment) partition(n *node, variant partition) {
	d.setNewConnections(n, variant.New)
	for _, r := range d.replicas {
		switch variant.Kept {
		case "silent":
			r.proxy.setModeOf(n.ip, blackHole)
		case "reset":
			r.proxy.resetConnections(n.ip)
		}
	}
}
