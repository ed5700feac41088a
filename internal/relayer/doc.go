// Package relayer opens connections to replicas. A node that is partitioned from the replicas,
// while other nodes still reach them, opens them through another node.
//
// A relayed connection carries bytes both ways and nothing else: the choice of the replica, the
// limits and the attempts of a request stay with the node that the caller asked. A controller
// decides from the results of connects whether the node is partitioned and which nodes may
// relay. A carrier is the other side, which connects other nodes with replicas.
package relayer
