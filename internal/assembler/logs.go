package assembler

import (
	"strings"

	"github.com/sirupsen/logrus"

	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/filter"
	"toucanhitch.example/toucanhitch/internal/forwarder"
	"toucanhitch.example/toucanhitch/internal/logger"
	"toucanhitch.example/toucanhitch/internal/messenger"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/runner"
	"toucanhitch.example/toucanhitch/internal/screener"
	"toucanhitch.example/toucanhitch/internal/sequencer"
	"toucanhitch.example/toucanhitch/internal/surveyor"
)

// logAttempt logs the outcome of a forwarded request and counts each attempt
// at a replica.
func (n *Node) logAttempt(event forwarder.Event) {
	fields := logrus.Fields{
		"Request":          event.Forward.Attempt,
		"Route":            event.Forward.Route.Name,
		"Service":          event.Forward.Service,
		"Workspace":        event.Workspace,
		"Sends":            event.AttemptsSent,
		"WaitedMs":         event.Waited.Milliseconds(),
		"TookMs":           event.Duration.Milliseconds(),
		"ConfigurationAge": event.ConfigurationAge.Milliseconds(),
	}
	if event.Forward.Model != "" {
		fields["Tokens"] = event.Forward.PromptTokens + event.Forward.OutputTokens
		fields["Model"] = event.Forward.Model
		fields["Adapter"] = event.Forward.Adapter
	}
	if event.Replica != "" {
		fields["Replica"] = event.Replica
		fields["ReplicaVersion"] = event.Version
		fields["Candidates"] = event.Candidates
		fields["FirstByteMs"] = event.FirstByte.Milliseconds()
		fields["Status"] = event.Status
		addNoticeFields(fields, event.Notice)
	}
	if measured := event.Measurement; measured.FirstEvent > 0 {
		fields["FirstEventMs"], fields["ExpectedMs"] = measured.FirstEvent.Milliseconds(), measured.ExpectedFirstEvent.Milliseconds()
		if measured.CachedTokens > 0 {
			fields["CachedTokens"] = measured.CachedTokens
		}
	}
	if event.Forward.LastEventID != "" {
		fields["LastEvent"], fields["Resumes"] = event.Forward.LastEventID, event.Forward.Resumes
	}
	if event.Err != nil {
		fields["Error"] = event.Err.Error()
		fields["Fingerprint"] = event.Fingerprint
		if len(event.Forward.SharedParts) > 0 {
			fields["SharedParts"] = strings.Join(event.Forward.SharedParts, " ")
			fields["EventsPassed"] = event.EventsPassed
			fields["SilentMs"] = event.Silence.Milliseconds()
		}
	}
	n.logger.WithFields(fields).Info(event.Text)
	if event.Replica != "" {
		n.meter.RecordEstimate("first event", event.Measurement.ExpectedFirstEvent, event.Measurement.FirstEvent)
		n.meter.RecordEstimate("end", event.Measurement.ExpectedEnd, event.Measurement.End)
		n.meter.RecordPrompt(event.Forward.PromptTokens, event.Measurement.CachedTokens)
		n.meter.RecordAttempt(filter.Class(event.Forward.Route.Kind), event.Text, event.FirstByte)
	}
}

// recordWait records a request's wait for a replica or for quota.
func (n *Node) recordWait(wait forwarder.Wait) {
	n.meter.RecordWait(wait.For, wait.Rank, wait.Refused, wait.Duration)
}

// addNoticeFields adds what a replica has announced in its response headers.
func addNoticeFields(fields logrus.Fields, notice forwarder.Notice) {
	if notice.RateLimit > 0 {
		fields["RateLimit"] = notice.RateLimit
	}
	if notice.Brittle {
		fields["ReplicaMaxRefusals"] = notice.MaxRefusals
	}
	if notice.Leaving {
		fields["ReplicaLeaving"] = true
	}
	if notice.RetryAfter > 0 {
		fields["ReplicaRetryAfterMs"] = notice.RetryAfter.Milliseconds()
	}
	if len(notice.Malformed) > 0 {
		fields["MalformedHeaders"] = strings.Join(notice.Malformed, "; ")
	}
}

// logRequestEnd logs refused requests and counts all requests.
func (n *Node) logRequestEnd(request *filter.Request, verdict filter.Verdict) {
	forward := request.Work.(*filter.Forward)
	reason := filter.Reason("")
	duration := n.clock.Since(request.Arrived)
	if refused, ok := verdict.(filter.Refuse); ok {
		reason = refused.Refusal.Reason
		entry := n.logger.WithFields(logrus.Fields{
			"Request":      forward.Attempt,
			"Route":        forward.Route.Name,
			"Workspace":    request.Workspace,
			"Reason":       reason,
			"Run":          refused.Refusal.Run,
			"RetryAfterMs": refused.Refusal.RetryAfter.Milliseconds(),
			"TookMs":       duration.Milliseconds(),
		})
		if refused.Cause != nil {
			entry = runner.WithError(entry, refused.Cause)
		}
		entry.Info("refused: " + refused.Refusal.Detail)
	}
	n.meter.Ended(filter.Class(forward.Route.Kind), reason, duration)
}

// logBalancerNote logs a change in this node's view of a replica.
func (n *Node) logBalancerNote(note balancer.Note) {
	n.logger.WithFields(logrus.Fields{
		"Replica":     note.Replica,
		"Result":      note.Result,
		"Failures":    note.Failures,
		"RateLimit":   note.RateLimit,
		"MaxRefusals": note.MaxRefusals,
		"Remaining":   note.Remaining.String(),
		"LateMs":      note.Late.Milliseconds(),
		"Source":      note.Source,
		"HeldBack":    note.HeldBack,
		"Factor":      note.Factor,
	}).Info(note.Text)
	n.cold.record(note)
	n.meter.RecordChange("balancer", note.Text)
}

// logNoRegion logs a route and a workspace whose requests no region may run.
func (n *Node) logNoRegion(version uint64, route, workspace string) {
	n.logger.WithFields(logrus.Fields{"Version": version, "Route": route, "Workspace": workspace}).
		Warn("no region may run the requests of the workspace on the route")
	n.meter.RecordChange("regions", "route and workspace exclude each other")
}

// logSurveyorNote logs a change of what this node knows of the store. The version is
// that of the note or, if the note is not about one, of the configuration in force.
func (n *Node) logSurveyorNote(note surveyor.Note) {
	fields := logrus.Fields{"Source": note.Source, "Age": logger.FormatAge(note.Age)}
	if configuration, _ := n.view.Configuration(); configuration != nil {
		fields["Version"], fields["Revision"], fields["Era"] = configuration.Version, configuration.Revision, configuration.Era
	}
	if note.DataCentre != "" {
		fields["DataCentre"] = note.DataCentre
	}
	if note.Version != 0 {
		fields["Version"] = note.Version
	}
	if note.Position != (sequencer.Position{}) {
		fields["Revision"], fields["Era"] = note.Revision, note.Era
	}
	n.logger.WithFields(fields).Info(note.Text)
	n.meter.RecordChange("surveyor", note.Text)
}

// logScreenerNote logs a quarantine that began or ended at this node.
func (n *Node) logScreenerNote(note screener.Note) {
	fields := logrus.Fields{"Remaining": note.Remaining.String()}
	if fingerprint, ok := screener.RequestFingerprint(note.Trait); ok {
		fields["Fingerprint"] = fingerprint
	} else {
		fields["Part"] = note.Trait
	}
	n.logger.WithFields(fields).Info(note.Text)
	n.meter.RecordChange("screener", note.Text)
}

// logPlannerNote logs a decision of the planner.
func (n *Node) logPlannerNote(note planner.Note) {
	n.logger.WithFields(logrus.Fields{
		"Replica": note.Replica,
		"Model":   note.Model,
		"Reason":  note.Reason,
		"Age":     logger.FormatAge(note.Age),
		"Waiting": note.Waiting,
	}).Info(note.Text)
	n.meter.RecordChange("planner", note.Text)
}

// createGauges adds the gauges of the node's view of the fleet and of its log.
func (n *Node) createGauges() error {
	gauges := []struct {
		name, description string
		read              func() float64
	}{
		{"toucanhitch.configuration.version", "Version of the configuration in force.", func() float64 {
			configuration, _ := n.view.Configuration()
			if configuration == nil {
				return 0
			}
			return float64(configuration.Version)
		}},
		{"toucanhitch.configuration.age", "Seconds since the configuration was known to be the newest.", func() float64 {
			_, currentAsOf := n.view.Configuration()
			return n.clock.Since(currentAsOf).Seconds()
		}},
		{"toucanhitch.callers", "Nodes that are named to callers.", func() float64 {
			return float64(len(n.callers()))
		}},
		{"toucanhitch.replicas.cold", "Replicas that this node takes to be cold.", func() float64 {
			return float64(n.cold.replicas.Load())
		}},
		{"toucanhitch.cold.held_back", "Times that requests were held back from cold replicas, counted when they are warm again.", func() float64 {
			return float64(n.cold.heldBack.Load())
		}},
		{"toucanhitch.evacuations", "Data centres that are evacuated, as far as the node knows.", func() float64 {
			return float64(n.view.countEvacuations())
		}},
		{"toucanhitch.replicas.evacuated", "Replicas in evacuated data centres.", func() float64 {
			return float64(n.view.evacuatedReplicas.Load())
		}},
		{"toucanhitch.connections", "Open connections of callers and other nodes.", func() float64 {
			return float64(n.acceptor.Connections())
		}},
		{"toucanhitch.partitioned", "1 while the node reaches replicas through other nodes only.", func() float64 {
			if n.relayer.Partitioned() {
				return 1
			}
			return 0
		}},
		{"toucanhitch.connections.carried", "Connections between other nodes and replicas that lead through this node.", func() float64 {
			return float64(n.carrier.Open())
		}},
		{"toucanhitch.head.bytes", "Memory that the heads of requests hold, in bytes.", func() float64 {
			return float64(n.acceptor.HeadBytes())
		}},
		{"toucanhitch.full", "1 if the node could not accept a connection lately.", func() float64 {
			if n.acceptor.Full() {
				return 1
			}
			return 0
		}},
		{"toucanhitch.log.dropped", "Log lines that were dropped because the output was too slow.", func() float64 {
			return float64(n.settings.Dropped())
		}},
	}
	for _, gauge := range gauges {
		if err := n.meter.AddGauge(gauge.name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	return nil
}

// logFormUse counts the messages of nodes of other builds, and logs the first of a kind.
func (n *Node) logFormUse(use messenger.FormUse) {
	n.meter.RecordChange("messenger", use.Text)
	if use.First {
		n.logger.WithFields(logrus.Fields{"Peer": use.Peer, "Path": use.Path}).Warn(use.Text)
	}
}
