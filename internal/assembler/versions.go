package assembler

import (
	"toucanhitch.example/toucanhitch/internal/balancer"
	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/planner"
	"toucanhitch.example/toucanhitch/internal/resumer"
	"toucanhitch.example/toucanhitch/internal/syncer"
)

// leaseData is what holders store in the placement lease for the next one.
type leaseData struct {
	// HandedOver is set if the lease may have been released before it expired.
	HandedOver bool `json:",omitempty"`
	// Versions are the software versions that may have begun streams. Incomplete is set if
	// there may be others. StoreEra is the era of the store in which the holder knew that, 0 if
	// it knew of none.
	Versions   []resumer.Service `json:",omitempty"`
	Incomplete bool              `json:",omitempty"`
	StoreEra   uint64            `json:",omitempty"`
	// Assignments are those of streams to software versions. Assigned is set if all nodes begin
	// streams so.
	Assignments []resumer.Assignment `json:",omitempty"`
	Assigned    bool                 `json:",omitempty"`
	// FormerSizes are the sizes with which replicas may still hold models that the
	// configuration lists with smaller ones or not at all.
	FormerSizes []planner.FormerSize `json:",omitempty"`
}

// decodeLeaseData decodes the data in a lease. Data of an earlier format were stored when
// the lease was released.
func decodeLeaseData(data []byte) leaseData {
	if len(data) == 0 {
		return leaseData{}
	}
	decoded, err := encoder.DecodeLenient[leaseData](data)
	if err != nil {
		return leaseData{HandedOver: true}
	}
	return decoded
}

// versions returns the software versions in a lease that was read in an era of the store.
// They are complete if a holder has stored that in the same era. Data of an earlier one may have
// come back with an older copy of the store, which lacks the versions that joined since.
func (d leaseData) versions(era uint64) resumer.Published {
	complete := len(d.Versions) > 0 && !d.Incomplete && d.StoreEra == era
	return resumer.Published{Services: d.Versions, Complete: complete, Assigned: complete && d.Assigned}
}

// storeLeaseData requests that the placement lease contain what its next holder has to know.
func (n *Node) storeLeaseData(effect planner.StoreLeaseData) {
	data := leaseData{
		Versions:    effect.Services,
		Incomplete:  effect.Incomplete,
		StoreEra:    effect.StoreEra,
		Assignments: effect.Assignments,
		Assigned:    effect.Assigned,
		FormerSizes: effect.FormerSizes,
	}
	n.dataInLease.Store(&data)
	n.logPostError("leaser", n.leaser.SetData(placementLease, encoder.Encode(data)))
}

// releaseData returns the data to leave in a lease that this node releases.
func (n *Node) releaseData() []byte {
	data := leaseData{}
	if known := n.dataInLease.Load(); known != nil {
		data = *known
	}
	data.HandedOver = true
	return encoder.Encode(data)
}

// applyVersions passes on what a holder has published of software versions.
func (n *Node) applyVersions(effect syncer.HolderAnswered) {
	state := effect.Answer.State
	listedAt := effect.AsOf.Add(-state.ReplicasAge)
	n.logPostError("planner", n.planner.Post(planner.VersionsInherited{Versions: state.Versions, Assignments: effect.Assignments, AsOf: listedAt}))
	n.logPostError("resumer", n.resumer.Post(resumer.StateReceived{
		Published:   state.Versions,
		ListedAt:    listedAt,
		Peers:       n.peerAddresses(effect.Callers),
		Assignments: effect.Assignments,
	}))
}

// peerAddresses returns the addresses of the other nodes that serve callers.
func (n *Node) peerAddresses(callers []planner.Caller) []string {
	addresses := make([]string, 0, len(callers))
	for _, caller := range callers {
		if caller.PeerAddress != "" && caller.PeerAddress != n.self.PeerAddress {
			addresses = append(addresses, caller.PeerAddress)
		}
	}
	return addresses
}

// rememberStreams keeps the origins of streams of other nodes.
func (n *Node) rememberStreams(records []resumer.Record) error {
	return n.resumer.Post(resumer.Remember{Records: records})
}

// setBeginning passes the versions that may begin streams to the balancer.
func (n *Node) setBeginning(effect resumer.SetBeginning) {
	n.logPostError("balancer", n.balancer.Post(balancer.SetBeginning{Versions: effect.Versions, Assignments: effect.Assignments}))
}
