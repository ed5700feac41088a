package relayer

import (
	"fmt"
	"testing"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// BenchmarkRelayedConnection measures the controller's steps for one relayed connection at a node
// that is partitioned from 10,000 replicas in a fleet of 3,500 nodes.
func BenchmarkRelayedConnection(b *testing.B) {
	c := NewController(1)
	var replicas []Replica
	for i := range 10_000 {
		replicas = append(replicas, Replica{ID: fmt.Sprint("r", i), Address: fmt.Sprintf("r%d:1", i), DataCentre: fmt.Sprint("d", i%24)})
	}
	var peers []Peer
	for i := range 3_499 {
		peers = append(peers, Peer{Address: fmt.Sprint("n", i), DataCentre: fmt.Sprint("d", i%24)})
	}
	c.Step(tester.Start, SetReplicas{replicas})
	c.Step(tester.Start, SetPeers{peers})
	for _, replica := range replicas[:evidenceReplicas] {
		c.Step(tester.Start, Relayed{Address: replica.Address, Peer: "n1", DirectFailed: true, StartedAt: tester.Start})
	}
	if !c.Partitioned {
		b.Fatal("not partitioned")
	}
	for b.Loop() {
		c.Step(tester.Start, Choose{Call: 1, Address: "r7:1"})
		c.Step(tester.Start, Relayed{Address: "r7:1", Peer: "n7"})
	}
}
