package assembler

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/archiver"
	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/leaser"
	"toucanhitch.example/toucanhitch/internal/logger"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/rationer"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/surveyor"
	"toucanhitch.example/toucanhitch/internal/syncer"
)

// seed derives the seed for random choices from the ID of the node's run.
func seed(run string) uint64 { return xxhash.Sum64String(run) }

// logPostError logs a message that a task did not accept. This is an error,
// since the capacity of each inbox is far above the load expected in
// operation.
func (n *Node) logPostError(task string, err error) {
	if err != nil {
		n.logger.WithField("Task", task).WithError(err).Error("message was not accepted by the task")
	}
}

// applySurveyorEffect passes what the surveyor publishes to the tasks that use
// it.
func (n *Node) applySurveyorEffect(effect surveyor.Effect) {
	switch effect := effect.(type) {
	case surveyor.PublishConfiguration:
		previous := n.view.configuration.Swap(&currentConfiguration{effect.Configuration, effect.CurrentAsOf})
		n.setModels(effect.Configuration)
		if previous == nil || previous.configuration != effect.Configuration {
			n.setColdRules(effect.Configuration)
		}
		if previous == nil {
			n.logPostError("archiver", n.archiver.Post(archiver.ConfigurationKnown{}))
		}
		n.logPostError("planner", n.planner.Post(planner.ConfigurationChanged{Configuration: effect.Configuration, CurrentAsOf: effect.CurrentAsOf}))
	case surveyor.PublishStoreReplicas:
		n.logPostError("planner", n.planner.Post(planner.ReplicasListed{Replicas: effect.Replicas, Era: effect.Era, CurrentAsOf: effect.CurrentAsOf}))
	case surveyor.PublishEvacuations:
		n.view.evacuated.Store(&effect.DataCentres)
		n.logPostError("planner", n.planner.Post(planner.EvacuationsListed{DataCentres: effect.DataCentres, CurrentAsOf: effect.CurrentAsOf}))
	case surveyor.PublishReplicas:
		n.view.evacuatedReplicas.Store(countEvacuated(effect.Replicas))
		n.view.observeReplicas(effect.CurrentAsOf)
		n.logPostError("balancer", n.balancer.Post(balancer.SetReplicas{Replicas: effect.Replicas}))
		configuration, _ := n.view.Configuration()
		n.setCacheReplicas(configuration, effect.Replicas)
		n.setRelayedReplicas(effect.Replicas)
	case surveyor.PublishNodes:
		n.setNodes(effect)
	case surveyor.StoreRestored:
		// The node's entry may be lost, however recently it was written.
		n.storeRestoredAt.Store(new(n.clock.Now()))
		n.logPostError("archiver", n.archiver.Post(archiver.StoreRestored{}))
	case surveyor.ProofDelayed:
		n.view.proofDelayedUntil.Store(&effect.Until)
	case surveyor.Note:
		n.logSurveyorNote(effect)
	}
}

// setNodes passes the list of registered nodes, as read from the store, to the
// tasks. If this node is missing from the list, it registers again. A list without
// this node may be older than its registration and is not used until then.
func (n *Node) setNodes(effect surveyor.PublishNodes) {
	registered := slices.ContainsFunc(effect.Nodes, n.isOwnEntry)
	if !registered {
		n.requestRegistration()
	}
	if registered || n.clock.Since(n.startedAt) > staleListTimeout {
		n.logPostError("syncer", n.syncer.Post(syncer.SetNodes{Nodes: effect.Nodes}))
		n.logPostError("rationer", n.rationer.Post(rationer.SetNodes{Registered: len(effect.Nodes)}))
	}
	n.logPostError("planner", n.planner.Post(planner.NodesListed{Nodes: effect.Nodes, CurrentAsOf: effect.CurrentAsOf}))
}

// isOwnEntry reports whether an entry describes this node. It may be of an earlier
// run.
func (n *Node) isOwnEntry(node surveyor.Node) bool {
	node.RunID, node.Revision = n.self.RunID, n.self.Revision
	return node == n.self
}

// staleListTimeout is the time since the start of the process after which lists of
// nodes are used although this node is missing from them.
const staleListTimeout = 5 * time.Second

// applyLeaseEvent passes the events of the placement lease to the tasks that use
// them.
func (n *Node) applyLeaseEvent(event leaser.Event) {
	switch event := event.(type) {
	case leaser.Held:
		data := decodeLeaseData(event.Data)
		n.logPostError("planner", n.planner.Post(planner.LeaseHeld{
			Epoch:           event.Epoch,
			Until:           event.Until,
			NoEarlierHolder: event.First,
			HandedOver:      data.HandedOver,
			Callers:         n.callers(),
			Versions:        data.versions(event.Era),
			Assignments:     data.Assignments,
			FormerSizes:     data.FormerSizes,
			StoreEra:        event.Era,
		}))
		n.logPostError("surveyor", n.surveyor.Post(surveyor.SetHolding{Holding: true}))
		n.logPostError("syncer", n.syncer.Post(syncer.SetHolding{Holding: true}))
	case leaser.Lost:
		n.logger.WithField("Lease", event.Name).Warn("placement lease lost")
		n.logPostError("planner", n.planner.Post(planner.LeaseLost{}))
		n.logPostError("surveyor", n.surveyor.Post(surveyor.SetHolding{}))
		n.logPostError("syncer", n.syncer.Post(syncer.SetHolding{}))
	case leaser.Stored:
		data := decodeLeaseData(event.Data)
		n.logPostError("planner", n.planner.Post(planner.VersionsStored{Services: data.Versions, Assignments: data.Assignments}))
	case leaser.Observed:
		data := decodeLeaseData(event.Data)
		if versions := data.versions(event.Era); versions.Complete {
			n.logPostError("planner", n.planner.Post(planner.VersionsInherited{Versions: versions, Assignments: data.Assignments, Stored: true}))
		}
		n.holder.Store(&holderHint{name: event.Holder})
		n.logPostError("syncer", n.syncer.Post(syncer.HolderHint{Holder: event.Holder}))
	}
}

// handleReport answers the report of another node. A node that does not hold
// the lease names the holder that it knows.
func (n *Node) handleReport(ctx context.Context, report planner.Report) (planner.Answer, error) {
	answer, err := n.planner.Report(ctx, report)
	if holder := n.holder.Load(); err == nil && !answer.Holding && holder != nil {
		answer.Holder, answer.HolderAddress = holder.name, holder.address
	}
	return answer, err
}

// collectReport builds this node's report to the holder.
func (n *Node) collectReport(ctx context.Context) (planner.Report, error) {
	activity, err := n.balancer.Collect(ctx)
	if err != nil {
		return planner.Report{}, err
	}
	usage, err := n.rationer.Collect(ctx)
	if err != nil {
		return planner.Report{}, err
	}
	prompts, err := n.screener.Collect(ctx)
	if err != nil {
		return planner.Report{}, err
	}
	version := uint64(0)
	if configuration, _ := n.view.Configuration(); configuration != nil {
		version = configuration.Version
	}
	return planner.Report{
		ConfigurationVersion: version,

		Node:        n.self,
		Leaving:     n.draining.Load(),
		Partitioned: n.relayer.Partitioned(),
		Assigning:   true,
		Running:     activity.Running,
		Suspects:    activity.Suspects,
		Demands:     activity.Demands,
		Uses:        activity.Uses,
		Spent:       append(usage.Spent, activity.Sent...),
		UsageEpoch:  usage.Epoch,
		RateLimits:  activity.RateLimits,
		Notices:     activity.Notices,
		Prompts:     prompts,
		Speeds:      activity.Speeds,
		Paces:       activity.Paces,
		Cached:      activity.Cached,
	}, nil
}

// applySyncerEffect passes the holder's answers to the tasks that use them.
func (n *Node) applySyncerEffect(effect syncer.Effect) {
	switch effect := effect.(type) {
	case syncer.HolderAnswered:
		n.applyHolderAnswer(effect)
	case syncer.ViewReceived:
		n.logPostError("surveyor", n.surveyor.Post(surveyor.ViewUpdate{
			AsOf:                  effect.AsOf,
			Era:                   effect.View.StoreEra,
			ConfigurationEra:      effect.View.ConfigurationEra,
			ConfigurationRevision: effect.View.ConfigurationRevision,
			ConfigurationAge:      effect.View.ConfigurationAge,
			ReplicasAge:           effect.View.ReplicasAge,
			Replicas:              effect.View.Replicas,
			Evacuated:             effect.View.Evacuated,
			EvacuationsKnown:      effect.View.EvacuationsKnown,
			EvacuationsAge:        effect.View.EvacuationsAge,
		}))
	case syncer.SetActing:
		if effect.Acting && n.draining.Load() {
			return
		}
		n.logPostError("surveyor", n.surveyor.Post(surveyor.SetActing{Acting: effect.Acting}))
		n.logPostError("planner", n.planner.Post(planner.SetActing{
			Acting:     effect.Acting,
			Callers:    n.callers(),
			Registered: effect.Registered,
		}))
	case syncer.SetCandidates:
		n.logPostError("surveyor", n.surveyor.Post(surveyor.SetCandidate{Candidate: effect.Candidate}))
		if !n.draining.Load() {
			n.logPostError("leaser", n.leaser.SetNodes(effect.Names))
		}
	case syncer.Note:
		if effect.Lost {
			// This node must not name a holder that does not answer to other
			// nodes.
			n.holder.Store(nil)
		}
		n.logger.WithFields(logrus.Fields{"Holder": effect.Holder, "Age": logger.FormatAge(effect.Age), "Error": effect.Cause}).Info(effect.Text)
	}
}

func (n *Node) applyHolderAnswer(effect syncer.HolderAnswered) {
	answer, state := effect.Answer, effect.Answer.State
	n.holder.Store(&holderHint{answer.Holder, effect.HolderAddress})
	if !answer.Registered {
		n.requestRegistration()
	}
	n.logPostError("surveyor", n.surveyor.Post(surveyor.HolderUpdate{
		StartedAt:             effect.AsOf,
		Era:                   state.StoreEra,
		ConfigurationEra:      state.ConfigurationEra,
		ConfigurationRevision: state.ConfigurationRevision,
		ConfigurationVersion:  state.ConfigurationVersion,
		Own:                   answer.Holder == n.settings.Node,
		ConfigurationAge:      state.ConfigurationAge,
		ReplicasAge:           state.ReplicasAge,
		NodesAge:              state.NodesAge,
		Evacuated:             state.Evacuated,
		EvacuationsKnown:      state.EvacuationsKnown,
		EvacuationsAge:        state.EvacuationsAge,
		Full:                  state.Full,
		Replicas:              state.Replicas,
		Updates:               state.Updates,
		Removed:               state.Removed,
	}))
	usage := rationer.UsageUpdate{
		Epoch:      state.Epoch,
		Spent:      effect.Others.Spent,
		LiveNodes:  state.Peers,
		Registered: state.Registered,
	}
	n.logPostError("rationer", n.rationer.Post(usage))
	n.logPostError("balancer", n.balancer.Post(balancer.UsageUpdate{Usage: usage}))
	n.logPostError("screener", n.screener.Post(screener.StateReceived{Tenure: state.Epoch, Published: state.Prompts}))
	n.view.observeReplicas(effect.AsOf.Add(-state.ReplicasAge))
	n.applyVersions(effect)
	n.setCacheNodes(effect.Callers)
	n.setBalancerNodes(effect)
	n.setRelayPeers(effect.Callers)
	n.view.directory.Store(n.view.directory.Load().update(effect.Callers, state.Callers, effect.AsOf))
	n.logPostError("balancer", n.balancer.Post(balancer.SetPeerState{
		Active:          effect.Others.Active,
		Suspects:        effect.Others.Suspects,
		RateLimits:      effect.Others.RateLimits,
		Brittle:         brittleReplicas(effect.Others.Brittle),
		BrittleUnknown:  effect.Others.BrittleUnknown,
		Closed:          state.Closed,
		OrdersAllowedIn: state.OrdersAllowedIn,
		Speeds:          state.Speeds,
		Paces:           state.Paces,
		Cached:          state.Cached,
	}))
}

func (n *Node) removeNode(ctx context.Context, name string, revision uint64) {
	err := n.store.Unregister(ctx, name, revision)
	n.logger.WithField("Node", name).WithError(err).Info("tried to remove the entry of a node that is gone")
}
