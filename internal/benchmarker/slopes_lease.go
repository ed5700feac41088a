package benchmarker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

const (
	leaseNodes   = 8
	leaseTrials  = 3
	leaseName    = "Limits"
	leaseTimeout = 20 * time.Second
	// shutdownTime is the time for which a node that shuts down keeps serving
	// before it hands over. It exceeds tracker.AddressLifetime, so that no
	// address answer names the node any more.
	shutdownTime = tracker.AddressLifetime + time.Second
)

// measureLeases measures how long the lease of the token limits is without a
// holder.
func (s slopesRun) measureLeases(ctx context.Context) ([]Table, error) {
	fleet, cleanUp, err := s.newFleet(ctx, leaseNodes)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	holder, err := fleet.AwaitLease(leaseName, "", leaseTimeout)
	if err != nil {
		return nil, err
	}
	s.sleep(settleTime)
	var crashes, handovers []time.Duration
	for range leaseTrials {
		var duration time.Duration
		if duration, holder, err = s.measureFailover(ctx, fleet, holder.Node, (*FleetNode).crash); err != nil {
			return nil, err
		}
		crashes = append(crashes, duration)
		if duration, holder, err = s.measureFailover(ctx, fleet, holder.Node, (*FleetNode).shutDown); err != nil {
			return nil, err
		}
		handovers = append(handovers, duration-shutdownTime)
	}
	table := Table{
		Title:   fmt.Sprintf("time until another node holds the lease %s", leaseName),
		Columns: []string{"trials", "p50 ms", "max ms"},
		Notes: []string{
			"crash: the holder's tasks end and its listeners close at a drawn moment of its renewal period",
			fmt.Sprintf("handover: the time beyond the %s for which a leaving node still serves", shutdownTime),
		},
	}
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{{"crash", crashes}, {"handover", handovers}} {
		median, maximum := medianAndMax(row.times)
		table.addRow(row.name, float64(len(row.times)), median, maximum)
	}
	return []Table{table}, nil
}

func (n *FleetNode) crash()    { n.Crash() }
func (n *FleetNode) shutDown() { n.ShutDown() }

// measureFailover stops the holder and returns the time until another node
// acquired the lease. Afterwards it removes the stopped node from the instance
// list.
func (s slopesRun) measureFailover(ctx context.Context, fleet *Fleet, holder string, stop func(*FleetNode)) (time.Duration, FleetEvent, error) {
	index := slices.IndexFunc(fleet.Nodes, func(node *FleetNode) bool { return node.Name == holder })
	if index < 0 {
		return 0, FleetEvent{}, merry.Errorf("lease holder %s is not in the fleet", holder)
	}
	node := fleet.Nodes[index]
	s.sleep(s.randomDuration(time.Second))
	start := s.Clock.Now()
	stop(node)
	next, err := fleet.AwaitLease(leaseName, holder, leaseTimeout)
	if err != nil {
		return 0, FleetEvent{}, err
	}
	fleet.Nodes = slices.Delete(fleet.Nodes, index, index+1)
	return next.At.Sub(start), next, fleet.deregister(ctx, node.Name)
}

// deregister removes an instance from the platform's list.
func (f *Fleet) deregister(ctx context.Context, name string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+f.Platform+"/instances/"+name, nil)
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(response.Body.Close())
}
