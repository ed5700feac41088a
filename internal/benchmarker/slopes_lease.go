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
	leaseNodes  = 8
	leaseTrials = 3
	leaseName   = "Limits"
	leaseLimit  = 20 * time.Second
	// leaveTime is how long a leaving node keeps answering before it hands
	// over, as nobody's address answer may name it any more.
	leaveTime = tracker.AddressLifetime + time.Second
)

// leases measures how long the lease of the token limits has no holder.
func (s slopes) leases(ctx context.Context) ([]Table, error) {
	fleet, cleanUp, err := s.fleet(ctx, leaseNodes)
	if err != nil {
		return nil, err
	}
	defer cleanUp()
	holder, err := fleet.AwaitLease(leaseName, "", leaseLimit)
	if err != nil {
		return nil, err
	}
	s.sleep(settleTime)
	var crashes, handovers []time.Duration
	for range leaseTrials {
		var took time.Duration
		if took, holder, err = s.loseHolder(ctx, fleet, holder.Node, (*FleetNode).crash); err != nil {
			return nil, err
		}
		crashes = append(crashes, took)
		if took, holder, err = s.loseHolder(ctx, fleet, holder.Node, (*FleetNode).leave); err != nil {
			return nil, err
		}
		handovers = append(handovers, took-leaveTime)
	}
	table := Table{
		Title:   fmt.Sprintf("time until another node holds the lease %s", leaseName),
		Columns: []string{"trials", "p50 ms", "max ms"},
		Notes: []string{
			"crash: the holder's tasks end and its listeners close at a drawn moment of its renewal period",
			fmt.Sprintf("handover: the time beyond the %s for which a leaving node still serves", leaveTime),
		},
	}
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{{"crash", crashes}, {"handover", handovers}} {
		median, most := spread(row.times)
		table.add(row.name, float64(len(row.times)), median, most)
	}
	return []Table{table}, nil
}

func (n *FleetNode) crash() { n.Crash() }
func (n *FleetNode) leave() { n.Leave() }

// loseHolder ends the holder and returns how long it took until another node
// held the lease. The ended node is taken out of the instance list after that.
func (s slopes) loseHolder(ctx context.Context, fleet *Fleet, holder string, end func(*FleetNode)) (time.Duration, FleetEvent, error) {
	at := slices.IndexFunc(fleet.Nodes, func(node *FleetNode) bool { return node.Name == holder })
	if at < 0 {
		return 0, FleetEvent{}, merry.Errorf("%s is not in the fleet", holder)
	}
	node := fleet.Nodes[at]
	s.sleep(s.upTo(time.Second))
	started := s.Clock.Now()
	end(node)
	next, err := fleet.AwaitLease(leaseName, holder, leaseLimit)
	if err != nil {
		return 0, FleetEvent{}, err
	}
	fleet.Nodes = slices.Delete(fleet.Nodes, at, at+1)
	return next.At.Sub(started), next, fleet.remove(ctx, node.Name)
}

// remove takes an instance out of the platform's list.
func (f *Fleet) remove(ctx context.Context, name string) error {
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
