package supervisor

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/limiter"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/scheduler"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

// limits connects the two tasks of the token limits: the client, which reserves
// tokens for the requests of this node, and the owner, which grants tokens to
// all nodes while this node holds the lease.
type limits struct {
	node   *Node
	logger logrus.FieldLogger
	client *limiter.Limits
	owner  *limiter.OwnerTask
}

func (n *Node) newLimits() *limits {
	l := &limits{node: n, logger: n.logger.WithField("Task", "limits")}
	l.owner = limiter.NewOwnerTask(n.settings.LimitSlots, n.clock, l.storeLeaseData)
	l.client = limiter.New(n.settings.Name, n.settings.LimitSlots, n.clock, l.exchange, l.attainedChanged)
	return l
}

func (l *limits) tasks() []runner.Runnable { return []runner.Runnable{l.client, l.owner} }

// attainedChanged passes the service attained by each workspace to the
// scheduler, so that the priority of attempts is fair across all nodes, and to
// the owner task, which needs the counts if this node becomes the owner.
func (l *limits) attainedChanged(tokens map[string]float64) {
	l.node.logPostError("scheduler", l.node.scheduler.Post(scheduler.AttainedService{Tokens: tokens}))
	var counts []limiter.AttainedService
	for _, workspace := range slices.Sorted(maps.Keys(tokens)) {
		counts = append(counts, limiter.AttainedService{Workspace: workspace, Tokens: tokens[workspace]})
	}
	l.logPostError(l.owner.Post(limiter.AttainedReceived{Counts: counts}))
}

// exchange sends a message to the owner, which may be on this node.
func (l *limits) exchange(ctx context.Context, address string, message limiter.Exchange) (limiter.Answer, error) {
	if address == l.node.settings.PeerAddress {
		return l.owner.Exchange(ctx, message)
	}
	return l.node.messenger.ExchangeLimits(ctx, address, message)
}

func (l *limits) registerHandlers(mux *http.ServeMux) {
	messenger.HandleLimits(mux, l.owner.Exchange)
}

func (l *limits) storeLeaseData(data []byte) {
	l.logPostError(l.node.leaser.SetData(limitsLease, data))
}

func (l *limits) logPostError(err error) {
	if err != nil {
		l.logger.WithError(err).Warn("message was not accepted by the task")
	}
}

func (l *limits) leaseHeld(held leaser.Held) {
	l.logPostError(l.owner.LeaseHeld(held.Epoch, held.Until, held.Data))
}

func (l *limits) leaseStored(stored leaser.Stored) {
	l.logPostError(l.owner.LeaseDataStored(stored.Epoch, stored.Data))
}

func (l *limits) leaseLost() { l.logPostError(l.owner.Post(limiter.LeaseLost{})) }

func (l *limits) ownerChanged(holder leaseholderItem) {
	l.logPostError(l.client.Post(limiter.OwnerChanged{Node: holder.Node, Address: holder.Address, Epoch: holder.Epoch}))
}

func (l *limits) fleetChanged(fleet *tracker.Fleet) {
	var names []string
	for _, node := range fleet.Nodes {
		names = append(names, node.Name)
	}
	l.logPostError(l.owner.Post(limiter.InstancesListed{Names: names}))
}

func (l *limits) configurationChanged() {
	l.node.postWithRetry("limits", func() error {
		return l.client.Post(limiter.WorkspacesChanged{Limits: l.workspaceLimits()})
	})
	l.node.postWithRetry("lending", func() error {
		return l.owner.Post(limiter.WorkspacesChanged{Limits: l.workspaceLimits()})
	})
}

// workspaceLimits returns the limits of all workspaces, sorted by workspace.
func (l *limits) workspaceLimits() []limiter.Limit {
	var all []limiter.Limit
	for workspace := range maps.Values(l.node.view.Configuration().Workspaces) {
		all = append(all, limiter.Limit{Workspace: workspace.Name, Rate: workspace.Rate, Burst: workspace.Burst})
	}
	slices.SortFunc(all, func(a, b limiter.Limit) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}

// releaseLease releases the lease and stores the state of the token buckets in
// it for the next holder.
func (l *limits) releaseLease(ctx context.Context) {
	data, err := l.owner.HandOver(ctx)
	if err == nil {
		_, err = l.node.leaser.Release(ctx, limitsLease, data)
	}
	if err != nil {
		l.logger.WithError(err).Warn("limits lease was not handed over; it will expire")
	}
}
