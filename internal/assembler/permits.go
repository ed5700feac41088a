package assembler

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/permitter"
	"toucanhitch.example/toucanhitch/internal/planner"
)

// permitTimeout bounds the wait for a permit. A node that answers at all does so within a few
// milliseconds.
const permitTimeout = 300 * time.Millisecond

// errUnknownGranter reports a node that has left the list since the replica was chosen.
var errUnknownGranter = merry.Sentinel("node that grants permits is not known")

// permits implements forwarder.Permits with the permitters of all nodes.
type permits struct{ node *Node }

func (p permits) Acquire(ctx context.Context, granter string, request permitter.Request) (permitter.Decision, error) {
	n := p.node
	request.Node = n.settings.Node
	if granter == n.self.CallerAddress {
		return n.permitter.Acquire(ctx, request)
	}
	address, ok := n.peerAddress(granter)
	if !ok {
		return permitter.Decision{}, merry.Wrap(errUnknownGranter, merry.AppendMessage(granter))
	}
	ctx, cancel := clockwork.WithTimeout(ctx, n.clock, permitTimeout)
	defer cancel()
	decision, err := n.peers.AcquirePermit(ctx, address, request)
	if errors.Is(err, messenger.ErrUnknownMessage) {
		return p.acquireOwn(ctx, address, request)
	}
	return decision, err
}

// acquireOwn requests a permit of this node, because the granter is of a build without permits.
// Nodes of that build send requests without one.
func (p permits) acquireOwn(ctx context.Context, granter string, request permitter.Request) (permitter.Decision, error) {
	n := p.node
	n.logFormUse(messenger.FormUse{Text: "granter of permits is of a build without them", Peer: granter, First: n.ownPermits.replaceGranter(granter)})
	request.CountActive = true
	decision, err := n.permitter.Acquire(ctx, request)
	if decision.Granted {
		n.ownPermits.add(request.Permit)
	}
	return decision, err
}

func (p permits) Release(granter string, release permitter.Release) {
	n := p.node
	if n.ownPermits.remove(release.Permit) || granter == n.self.CallerAddress {
		n.logPostError("permitter", n.permitter.Post(release))
		return
	}
	if address, ok := n.peerAddress(granter); ok {
		n.logPostError("permitter", n.permitter.Post(permitter.ForwardRelease{Address: address, Release: release}))
	}
}

// ownPermits are the permits in use that this node has granted itself in place of another
// granter.
type ownPermits struct {
	mutex    sync.Mutex
	permits  map[permitter.Permit]bool
	granters map[string]bool
}

// replaceGranter reports whether this node replaces the granter for the first time.
func (o *ownPermits) replaceGranter(granter string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.granters == nil {
		o.granters = map[string]bool{}
	}
	first := !o.granters[granter]
	o.granters[granter] = true
	return first
}

func (o *ownPermits) add(permit permitter.Permit) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.permits == nil {
		o.permits = map[permitter.Permit]bool{}
	}
	o.permits[permit] = true
}

// remove removes a permit and reports whether it was there.
func (o *ownPermits) remove(permit permitter.Permit) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	found := o.permits[permit]
	delete(o.permits, permit)
	return found
}

// peerAddress returns the address for other nodes of a node that callers may use.
func (n *Node) peerAddress(callerAddress string) (string, bool) {
	granters := n.granters.Load()
	if granters == nil {
		return "", false
	}
	address, ok := (*granters)[callerAddress]
	return address, ok && address != ""
}

// setGranters stores the addresses of the nodes that may grant permits.
func (n *Node) setGranters(callers []planner.Caller) {
	granters := make(map[string]string, len(callers))
	for _, caller := range callers {
		granters[caller.Address] = caller.PeerAddress
	}
	if known := n.granters.Load(); known == nil || !maps.Equal(*known, granters) {
		n.granters.Store(&granters)
	}
}

// brittleReplicas returns the brittle replicas as the balancer expects them.
func brittleReplicas(published map[string]int) map[string]balancer.Brittleness {
	var brittle map[string]balancer.Brittleness
	for id, maxRefusals := range published {
		if brittle == nil {
			brittle = make(map[string]balancer.Brittleness, len(published))
		}
		brittle[id] = balancer.Brittleness{Brittle: true, MaxRefusals: maxRefusals}
	}
	return brittle
}

func (n *Node) logPermitterNote(note permitter.Note) {
	n.logger.WithFields(logrus.Fields{"Replica": note.Replica, "Limit": note.Limit}).Info(note.Text)
	n.meter.RecordChange("permitter", note.Text)
}
