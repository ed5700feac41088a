package planner

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"toucanhitch.example/toucanhitch/internal/surveyor"
)

const (
	// suspendingReplicas is the number of replicas that must not answer the holder, while no
	// other does, for it to read the state of further replicas and, after quietTime, to send no
	// orders.
	suspendingReplicas = 2
	// quietTime is the time without an answer of any replica after which the holder may be the
	// cause. If some replicas are lost, others are read and answer in it.
	quietTime = 400 * time.Millisecond
	// unreachedReplicas is the number from which on the holder is the likely cause.
	unreachedReplicas = 4
	// furtherReads is the number of other replicas that are then read at a time.
	furtherReads = 4
	// handOverDelay is the time from the decision to hand the lease over until it is done. In
	// it the other nodes learn that this one is not a candidate, and orders end.
	handOverDelay = 600 * time.Millisecond
	// withdrawnReadInterval is the time between two reads of replicas after the lease was
	// handed over, and withdrawnReads their number.
	withdrawnReadInterval = time.Second
	withdrawnReads        = 3
	// maxWithdrawal bounds the time for which a node does not take the lease again, since all
	// other candidates may be lost.
	maxWithdrawal = 15 * time.Second
)

// Contact is what is known of this node's own way to the replicas of engines. Orders and reads
// of states do not lead through other nodes.
type Contact struct {
	// Silent holds the replicas that have not answered a call since any replica has. The value
	// is false if it was only an order, whose answer may have been lost.
	Silent map[string]bool
	// AnsweredAt is when a replica last answered a call.
	AnsweredAt time.Time
	// ReadAt is when replicas were last read to find out whether they are reached.
	ReadAt time.Time
	// AnswersBefore holds the number of answers that each node had had when the replicas were
	// found not to be reached. It is nil while they are.
	AnswersBefore map[string]uint64
	// HandOverAt is when the lease is handed over, zero if it is not.
	HandOverAt time.Time
	// WithdrawnAt is when the lease was handed over, zero if this node may take it. Epoch is
	// that of the tenure. Answering holds the replicas that have answered since.
	WithdrawnAt time.Time
	Epoch       uint64
	Answering   map[string]bool
}

// recordContact records whether a replica has answered a call of this node.
func (c *Controller) recordContact(now time.Time, message Message) {
	contact := &c.Contact
	replica, answered, mayBeLost := "", false, false
	switch message := message.(type) {
	case StateRead:
		replica, answered = message.Replica, !message.Failed
	case OrderResult:
		replica, answered = message.Replica, message.Outcome != Unanswered && message.Outcome != Unsent
		mayBeLost = message.Outcome == Unanswered
	default:
		return
	}
	if !answered {
		if contact.Silent == nil {
			contact.Silent = map[string]bool{}
		}
		contact.Silent[replica] = contact.Silent[replica] || !mayBeLost
		return
	}
	contact.Silent, contact.AnsweredAt = nil, now
	if contact.Answering != nil {
		contact.Answering[replica] = true
	}
}

// silentReplicas returns the number of listed replicas that do not answer reads of this node, or
// to which it cannot connect, while no other answers. It is 0 if one has answered within quietTime.
func (c *Controller) silentReplicas(now time.Time) int {
	count := 0
	if now.Sub(c.Contact.AnsweredAt) < quietTime {
		return 0
	}
	for id, certain := range c.Contact.Silent {
		if certain && c.Tenure.Endpoints[id] != nil {
			count++
		}
	}
	return count
}

func (c *Controller) isSilent(id string) bool {
	_, silent := c.Contact.Silent[id]
	return silent
}

// isSuspended reports whether the holder sends no orders because several replicas do not answer
// it.
func (c *Controller) isSuspended(now time.Time) bool {
	return c.silentReplicas(now) >= suspendingReplicas
}

// isUnreached reports whether this node is likely to have lost its way to the replicas. If it
// knows from its requests that other nodes reach them, one replica that does not answer is
// enough.
func (c *Controller) isUnreached(now time.Time) bool {
	silent := c.silentReplicas(now)
	return silent > 0 && c.isPartitioned(now, c.Settings.Node) || silent >= max(suspendingReplicas, min(unreachedReplicas, len(c.Tenure.Endpoints)))
}

// isPartitioned reports whether a live node sends its requests through other nodes.
func (c *Controller) isPartitioned(now time.Time, name string) bool {
	peer := c.Tenure.Peers[name]
	return peer != nil && peer.Partitioned && now.Sub(peer.LastReportAt) < peerReportTimeout
}

// partitionedNodes returns the names of the nodes that must not take the lease, sorted. While the
// lease is handed over, these include the holder, and the nodes that no replica answers though
// replicas answer others.
func (c *Controller) partitionedNodes(now time.Time) []string {
	answered := map[string]bool{}
	if !c.Contact.HandOverAt.IsZero() {
		answered = c.answeredNodes(now)
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.Tenure.Peers)) {
		own := name == c.Settings.Node && !c.Contact.HandOverAt.IsZero()
		if own || c.isPartitioned(now, name) || len(answered) > 0 && !answered[name] {
			names = append(names, name)
		}
	}
	return names
}

// reviewContact decides whether the holder hands the lease over because it does not reach the
// replicas and another node does.
func (c *Controller) reviewContact(now time.Time) []Effect {
	contact := &c.Contact
	var effects []Effect
	switch {
	case !c.isUnreached(now):
		if contact.AnswersBefore != nil {
			effects = append(effects, Note{Text: "replicas answer the holder again"})
		}
		contact.AnswersBefore, contact.HandOverAt = nil, time.Time{}
	case contact.AnswersBefore == nil:
		contact.AnswersBefore = c.countAnswers()
		effects = append(effects, Note{Text: "no replica answers the holder", Reason: strconv.Itoa(c.silentReplicas(now)) + " asked"})
	case contact.HandOverAt.IsZero():
		if name := c.findSuccessor(now); name != "" {
			contact.HandOverAt = now.Add(handOverDelay)
			effects = append(effects, Note{Text: "handing the placement lease over", Reason: "replicas answer " + name})
		}
	case !now.Before(contact.HandOverAt) && !c.isSending():
		contact.WithdrawnAt, contact.Epoch, contact.Answering, contact.ReadAt = now, c.Tenure.Epoch, map[string]bool{}, now
		c.endTenure()
		return []Effect{HandOver{}}
	}
	return append(effects, c.readFurther(now)...)
}

// countAnswers returns the number of answers of replicas that each node has reported.
func (c *Controller) countAnswers() map[string]uint64 {
	counts := map[string]uint64{}
	for name, services := range c.Tenure.Prompts.NodeAnswers {
		for _, count := range services {
			counts[name] += count
		}
	}
	return counts
}

// answeredNodes returns the other nodes that replicas have answered since they ceased to answer
// the holder. Nodes whose requests lead through other nodes are left out.
func (c *Controller) answeredNodes(now time.Time) map[string]bool {
	answered := map[string]bool{}
	for name, count := range c.countAnswers() {
		before, known := c.Contact.AnswersBefore[name]
		if known && count > before && name != c.Settings.Node && !c.isPartitioned(now, name) {
			answered[name] = true
		}
	}
	return answered
}

// findSuccessor returns the name of a node that may hold the lease and reaches replicas, or "".
func (c *Controller) findSuccessor(now time.Time) string {
	answered := c.answeredNodes(now)
	for _, node := range surveyor.SortNodes(surveyor.CapableNodes(c.Nodes)) {
		peer := c.Tenure.Peers[node.Name]
		if node.Name == c.Settings.Node || peer == nil || peer.Leaving || peer.Partitioned || now.Sub(peer.LastReportAt) >= peerReportTimeout {
			continue
		}
		if answered[node.Name] || c.isPartitioned(now, c.Settings.Node) {
			return node.Name
		}
	}
	return ""
}

// isSending reports whether an order is in progress.
func (c *Controller) isSending() bool {
	for _, e := range c.Tenure.Endpoints {
		if e.Sending != nil {
			return true
		}
	}
	return false
}

// readFurther reads the states of silent replicas again, and of some others, to find out whether
// this node or the replicas are the cause. A new holder does so before it reads the states that it
// plans with, since the lease may have come from a holder that had lost its way as well.
func (c *Controller) readFurther(now time.Time) []Effect {
	isNew := c.awaitsOrders(now) && !c.Contact.AnsweredAt.After(c.Tenure.Since)
	needed := isNew || len(c.Contact.Silent) >= suspendingReplicas || c.isPartitioned(now, c.Settings.Node)
	if !needed || now.Sub(c.Contact.ReadAt) < readRetryInterval {
		return nil
	}
	c.Contact.ReadAt = now
	var silent, others []string
	for _, id := range c.endpointIDs() {
		e := c.Tenure.Endpoints[id]
		switch {
		case e.Evacuated || e.Reading || !e.Synced && !c.awaitsOrders(now):
			// Replicas whose state is not known are read in any case.
		case c.isSilent(id):
			silent = append(silent, id)
		default:
			others = append(others, id)
		}
	}
	var effects []Effect
	for _, id := range append(spread(silent, furtherReads), spread(others, furtherReads)...) {
		c.Tenure.Endpoints[id].Reading = true
		effects = append(effects, ReadState{Replica: id, Address: c.Tenure.Endpoints[id].Entry.Address})
	}
	return effects
}

// awaitsOrders reports whether the spacing of orders after another holder has not passed at a
// time. States that are read before may change.
func (c *Controller) awaitsOrders(at time.Time) bool {
	return at.Before(c.Tenure.OrdersAllowedAt.Add(-stateReadLead))
}

// spread returns up to count of the names, from all parts of the list. Replicas with successive
// names may be lost together.
func spread(names []string, count int) []string {
	if len(names) <= count {
		return names
	}
	chosen := make([]string, count)
	for i := range count {
		chosen[i] = names[i*len(names)/count]
	}
	return chosen
}

// reviewWithdrawal decides whether a node that has handed the lease over may take it again.
func (c *Controller) reviewWithdrawal(now time.Time) []Effect {
	contact := &c.Contact
	if contact.WithdrawnAt.IsZero() {
		return nil
	}
	var engines []surveyor.Replica
	for _, replica := range c.Replicas {
		if c.engine(replica.Service) != nil && !replica.Leaving {
			engines = append(engines, replica)
		}
	}
	if len(contact.Answering) >= min(suspendingReplicas, len(engines)) || now.Sub(contact.WithdrawnAt) >= maxWithdrawal {
		c.Contact = Contact{Epoch: contact.Epoch}
		return []Effect{Note{Text: "candidate for the placement lease again"}, RegainCandidacy{}}
	}
	if now.Sub(contact.ReadAt) < withdrawnReadInterval {
		return nil
	}
	// Each time, the next ones are read, since some may be down.
	first := int(now.Sub(contact.WithdrawnAt)/withdrawnReadInterval) * withdrawnReads
	contact.ReadAt = now
	var effects []Effect
	for i := range min(withdrawnReads, len(engines)) {
		replica := engines[(first+i)%len(engines)]
		effects = append(effects, ReadState{Replica: replica.ID, Address: replica.Address})
	}
	return effects
}
