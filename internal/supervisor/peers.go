package supervisor

import (
	"context"
	"net/http"
	"slices"
	"time"

	"toucanhitch.example/toucanhitch/internal/configurer"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/placer"
	"toucanhitch.example/toucanhitch/internal/recorder"
	"toucanhitch.example/toucanhitch/internal/spreader"
	"toucanhitch.example/toucanhitch/internal/tracker"
)

func (n *Node) registerPeerHandlers(mux *http.ServeMux) {
	messenger.HandlePush(mux, func(items []spreader.Item) error {
		return n.spreader.Post(spreader.Pushed{Items: items})
	})
	messenger.HandlePull(mux, func(ctx context.Context, version uint64) (configurer.Answer, error) {
		return configurer.HandlePull(ctx, n.configurer, version)
	})
	messenger.HandleIntents(mux, func(ctx context.Context, operation recorder.Operation) (recorder.Result, error) {
		return recorder.Execute(ctx, n.recorder, operation)
	})
	mux.Handle("POST "+messenger.DemandPath, messenger.HandleDemand(n.clock, func(demand placer.Demand) error {
		return n.placer.Post(demand)
	}))
	n.limits.registerHandlers(mux)
}

// handleReady answers the readiness probe: 204 if callers may use this node,
// 503 otherwise.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.draining.Load():
		http.Error(w, "the node is leaving", http.StatusServiceUnavailable)
	case !n.view.Current():
		http.Error(w, "the node cannot show that its configuration is up to date", http.StatusServiceUnavailable)
	case n.acceptor.Full():
		http.Error(w, "the node cannot accept more connections", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// nodeState is the response of GET /state, for operators.
type nodeState struct {
	Node        string
	DataCentre  string
	Region      string
	Version     uint64
	NoteVersion uint64
	Current     bool
	Draining    bool
	Relay       bool
	Leases      []string
	Waiting     int
	Running     int
	// Contacts is the time since the node last had evidence from each source.
	Contacts  map[configurer.Source]string
	Peers     []peerState
	Endpoints []endpointState
	// Warnings are the problems that the region's placer reports, and the live
	// engines that send no reports. Only the node that holds the placement
	// lease lists them.
	Warnings []warningState `json:"Troubles"`
	// Placement is the placement that was decided for the region, also listed
	// only by the holder of the placement lease.
	Placement *placer.Placement `json:",omitempty"`
}

type warningState struct {
	Endpoint string
	Model    string
	Adapter  string
	Text     string
	Age      string
}

type peerState struct {
	Node        string
	DataCentre  string
	Version     uint64
	NoteVersion uint64
	Current     bool
	Draining    bool
	// Age is the age of the peer's load figures; empty if it has sent none.
	Age string
}

type endpointState struct {
	Endpoint   string
	Kind       tracker.Kind
	DataCentre string
	Phase      tracker.Phase
	Suspected  bool
	Age        string
	Queued     int
	Running    int
	Slots      int
	UsedMB     int
	MemoryMB   int
	Models     []tracker.ModelState
}

func (n *Node) handleState(w http.ResponseWriter, _ *http.Request) {
	now := n.clock.Now()
	peers := n.peers.Load()
	load := n.schedulerLoad.Load()
	configuration := n.view.Configuration()
	leases := n.validLeases()
	slices.Sort(leases)
	state := nodeState{
		Node:        n.settings.Name,
		DataCentre:  n.settings.DataCentre,
		Region:      n.settings.Region,
		Version:     configuration.Version,
		NoteVersion: configuration.NoteVersion,
		Current:     n.view.Current(),
		Draining:    n.draining.Load(),
		Relay:       peers.Relay,
		Leases:      leases,
		Waiting:     load.Waiting,
		Running:     load.InUse,
		Contacts:    map[configurer.Source]string{},
	}
	for source, lastContact := range n.view.Contacts().At {
		state.Contacts[source] = formatAge(now, lastContact)
	}
	for _, peer := range peers.Alive {
		state.Peers = append(state.Peers, describePeer(now, peer, peers.Loads))
	}
	for _, endpoint := range n.fleet.Load().Endpoints {
		state.Endpoints = append(state.Endpoints, describeEndpoint(now, endpoint))
	}
	if view := n.placement.Load(); view.Leading {
		state.Placement = &view.Placement
		state.Warnings = append(describeWarnings(now, view.Warnings), enginesWithoutReports(now, n.fleet.Load())...)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoder.Encode(state))
}

func formatAge(now, since time.Time) string {
	return now.Sub(since).Round(time.Millisecond).String()
}

func describePeer(now time.Time, peer spreader.Peer, loads map[string]tracker.NodeLoad) peerState {
	state := peerState{Node: peer.Name, DataCentre: peer.DataCentre}
	if load, ok := loads[peer.Name]; ok {
		state.Version = load.Version
		state.NoteVersion = load.NoteVersion
		state.Current = load.Current
		state.Draining = load.Draining
		state.Age = formatAge(now, load.Received)
	}
	return state
}

func describeEndpoint(now time.Time, endpoint tracker.Endpoint) endpointState {
	state := endpointState{
		Endpoint:   endpoint.Name,
		Kind:       endpoint.Kind,
		DataCentre: endpoint.DataCentre,
		Phase:      endpoint.Phase,
		Suspected:  now.Before(endpoint.SuspectUntil),
		MemoryMB:   endpoint.MemoryMB,
	}
	if report := endpoint.Report; report != nil {
		state.Age = formatAge(now, report.Measured)
		state.Queued = report.Queued
		state.Running = report.Running
		state.Slots = report.Slots
		state.UsedMB = report.UsedMB
		state.Models = report.Models
	}
	return state
}

func describeWarnings(now time.Time, warnings []placer.Warning) []warningState {
	var states []warningState
	for _, warning := range warnings {
		states = append(states, warningState{
			Endpoint: warning.Endpoint,
			Model:    warning.Key.Model,
			Adapter:  warning.Key.Adapter,
			Text:     warning.Text,
			Age:      formatAge(now, warning.At),
		})
	}
	return states
}

// maxReportAge is the age of an engine's last report above which the engine is
// listed in the warnings.
const maxReportAge = 10 * time.Second

// enginesWithoutReports lists the live engines that do not report. The
// models placed on them still count as replicas, since they may still be
// loaded. A model with a single replica on such an engine therefore stays
// unavailable until the platform removes the engine from its list.
func enginesWithoutReports(now time.Time, fleet *tracker.Fleet) []warningState {
	var states []warningState
	for _, endpoint := range fleet.Endpoints {
		if endpoint.Kind != tracker.Engine || endpoint.Phase != tracker.Live {
			continue
		}
		state := warningState{
			Endpoint: endpoint.Name,
			Text:     "no load report; its models count as placed until the platform's instance list drops it",
		}
		switch {
		case endpoint.Report == nil:
		case now.Sub(endpoint.Report.Measured) > maxReportAge:
			state.Age = formatAge(now, endpoint.Report.Measured)
		default:
			continue
		}
		states = append(states, state)
	}
	return states
}
