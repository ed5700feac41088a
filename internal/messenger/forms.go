package messenger

import (
	"fmt"
	"sync"
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
)

// Form is a form of reports and of the answers to them: the number in their path.
type Form int

// The forms of reports. The rules for changing and removing one are in docs/design/upgrades.md.
const (
	// FormV5 is that of 6c37a91. Its receivers refuse fields that they do not know.
	FormV5 Form = 5
	// FormV6 is that of b6bbad4, with brittle replicas and partitioned nodes. Its receivers
	// refuse fields that they do not know.
	FormV6 Form = 6
	// FormV7 has the fields of FormV6 and grows: its receivers ignore fields that they do not
	// know.
	FormV7 Form = 7
)

// reportForms are the forms that this build reads and writes, the newest first.
var reportForms = []Form{FormV7, FormV6, FormV5}

func (f Form) path() string { return fmt.Sprintf("/peer/v%d/report", int(f)) }

// restrictReport returns the report with the fields of the form only. Another node treats a
// report that lacks a field like one of the build that did not have it.
func (f Form) restrictReport(report planner.Report) planner.Report {
	report.RateLimits = mapEach(report.RateLimits, func(limit planner.RateLimit) planner.RateLimit {
		limit.BrittleUnknown = false
		if f == FormV5 {
			limit.Brittle, limit.MaxRefusals = false, 0
		}
		return limit
	})
	if f < FormV7 {
		report.Assigning, report.ConfigurationVersion = false, 0
	}
	if f == FormV5 {
		report.Partitioned = false
		report.Demands = mergeVersions(report.Demands)
	}
	return report
}

// completeReport sets in a report that was received what the absence of fields in the form
// means, where that differs from their zero values.
func (f Form) completeReport(report planner.Report) planner.Report {
	report.RateLimits = mapEach(report.RateLimits, func(limit planner.RateLimit) planner.RateLimit {
		limit.BrittleUnknown = f == FormV5
		return limit
	})
	return report
}

// completeState is like completeReport for a state.
func (f Form) completeState(state *planner.State) *planner.State {
	if state != nil {
		state.BrittleUnknown = f == FormV5
	}
	return state
}

// restrictState returns the state with the fields of the form only.
func (f Form) restrictState(state planner.State) planner.State {
	state.BrittleUnknown = false
	if f < FormV7 {
		state.Versions.Assigned, state.Versions.KeepersUnknown, state.Assignments, state.RemovedAssignments = false, false, nil, nil
		state.ConfigurationVersion = 0
	}
	if f == FormV5 {
		state.Brittle, state.Partitioned = nil, nil
	}
	return state
}

// mergeVersions removes the software versions from demands. The receiver keeps one demand for a
// model or adapter, so those that differ in the version only are added up.
func mergeVersions(demands []planner.Demand) []planner.Demand {
	type key struct{ service, model, adapter, dataCentres string }
	var merged []planner.Demand
	indexes := map[key]int{}
	for _, demand := range demands {
		demand.Version = ""
		id := key{demand.Service, demand.Model, demand.Adapter, fmt.Sprintf("%q", demand.DataCentres)}
		i, found := indexes[id]
		if !found {
			indexes[id] = len(merged)
			merged = append(merged, demand)
			continue
		}
		merged[i].Waiting += demand.Waiting
		merged[i].ReplicasFull = merged[i].ReplicasFull || demand.ReplicasFull
		merged[i].TimeToDeadline = max(merged[i].TimeToDeadline, demand.TimeToDeadline)
		merged[i].TimeToLate = max(merged[i].TimeToLate, demand.TimeToLate)
	}
	return merged
}

func mapEach[V any](values []V, change func(V) V) []V {
	var changed []V
	for _, value := range values {
		changed = append(changed, change(value))
	}
	return changed
}

// FormUse is a report in an earlier form than the newest of this build, or a message whose form
// only one of two nodes knows.
type FormUse struct {
	// Text names what was done. It is also a metric label value.
	Text string
	// Peer is the address or the name of the other node, and Path that of the message.
	Peer, Path string
	// First is set unless the same was reported before.
	First bool
}

const (
	sentEarlier     = "sent a report in an earlier form"
	sentNewest      = "sends reports in the newest form again"
	receivedEarlier = "received a report in an earlier form"
	noCommonForm    = "no form of reports in common with a node"
	noRelay         = "a node does not know relayed connections"
	unknownMessage  = "refused a message of an unknown form"
)

const (
	// formCheckInterval is the time after which the newest form is tried again at a node that
	// took an earlier one. A node that is replaced stops answering in between, which starts
	// from the newest form as well.
	formCheckInterval = 10 * time.Second
	// formRetention is above the time between two reports to a node that holds the lease.
	formRetention = time.Minute
	// maxFormUses bounds the uses that are remembered as reported.
	maxFormUses = 4096
)

// peerForm is the form that a peer takes.
type peerForm struct {
	// index is that of the form. It is the number of forms if the peer takes none.
	index int
	// checkedAt is when the newest form was last refused, and usedAt when the peer was last
	// sent a report.
	checkedAt, usedAt time.Time
	// logged is the index that was last logged.
	logged int
}

// peerForms remembers by address the forms that peers take, for those that do not take the
// newest.
type peerForms struct {
	mutex sync.Mutex
	peers map[string]*peerForm
}

// choose returns the index of the form in which the peer gets the next report.
func (p *peerForms) choose(now time.Time, address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.peers[address]
	if peer == nil {
		return 0
	}
	peer.usedAt = now
	if now.Sub(peer.checkedAt) >= formCheckInterval {
		peer.index = 0
	}
	return peer.index
}

// recordUnknown records that the peer does not know the form with an index, so that the next
// one is tried.
func (p *peerForms) recordUnknown(now time.Time, address string, index int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for other, peer := range p.peers {
		if now.Sub(peer.usedAt) >= formRetention {
			delete(p.peers, other)
		}
	}
	peer := p.peers[address]
	if peer == nil {
		if p.peers == nil {
			p.peers = map[string]*peerForm{}
		}
		peer = &peerForm{}
		p.peers[address] = peer
	}
	peer.index, peer.checkedAt, peer.usedAt = index+1, now, now
}

// reset makes the next report to the peer start with the newest form, because another build may
// answer at the address after a failure.
func (p *peerForms) reset(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if peer := p.peers[address]; peer != nil {
		peer.index = 0
	}
}

// recordUse reports whether an index is another one than was last logged for the peer.
func (p *peerForms) recordUse(address string, index int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.peers[address]
	if peer == nil || peer.logged == index {
		return false
	}
	peer.logged = index
	return true
}

// seenUses remembers which uses were reported.
type seenUses struct {
	mutex sync.Mutex
	seen  map[string]bool
}

// first reports whether a use was not reported before.
func (s *seenUses) first(use string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.seen == nil || len(s.seen) >= maxFormUses {
		s.seen = map[string]bool{}
	}
	first := !s.seen[use]
	s.seen[use] = true
	return first
}
