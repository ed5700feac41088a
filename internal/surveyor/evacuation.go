package surveyor

import (
	"slices"
	"time"
)

const (
	// The holder reads the evacuations at this interval or, if that is longer, at the
	// given fraction of the time within which they must be in force.
	holderEvacuationsInterval = 250 * time.Millisecond
	holderEvacuationsShare    = 0.1
	// candidateMaxEvacuationsAge is above the sum of the holder's interval and an exchange
	// with it.
	candidateMaxEvacuationsAge = 1100 * time.Millisecond
	// maxEvacuationsRetry is the longest time between two failed reads. A node that
	// reaches the store again must comply within 3 s, also if one more answer is lost,
	// which takes 0.8 s to be noticed.
	maxEvacuationsRetry = 1100 * time.Millisecond
	// evacuationsWait is how long a node that has just started publishes no replicas while
	// it does not know the evacuations.
	evacuationsWait = 2 * time.Second
	// evacuationRewriteTime is the time after a restoration within which the operator
	// writes the evacuations again, and evacuationRetention how long those known before
	// are kept without being in the store.
	evacuationRewriteTime = 2 * time.Second
	evacuationRetention   = 2500 * time.Millisecond
	// restoredMaxEvacuationsAge is the age of its list above which a node without a holder
	// reads it again until evacuationRewriteTime after a restoration, of which the first
	// answer to a process may be one. Nodes that missed an evacuation before the restoration
	// would otherwise learn of it too late to comply.
	restoredMaxEvacuationsAge = 800 * time.Millisecond
)

// Evacuations is a node's knowledge of the evacuated data centres.
type Evacuations struct {
	Source
	// DataCentres are the evacuated data centres, sorted. Known is set once a list is
	// known, which may be empty.
	DataCentres []string
	Known       bool
	// Retained are the data centres that were evacuated before the last restoration of the
	// store. Lists as of a time before RetainedUntil may lack them.
	Retained      []string
	RetainedUntil time.Time
	// StoreAnsweredAt is when the store last answered another read of this node. After a
	// failed read it is a sign that the next one need not wait.
	StoreAnsweredAt time.Time
	// SeenAt is when this node first knew of each evacuation.
	SeenAt map[string]time.Time
	// ReplicasWithheld is set if replicas were not published because no list was known.
	ReplicasWithheld bool
}

func (c *Controller) readsEvacuations() bool { return c.Bounds.EvacuateWithin > 0 }

func (c *Controller) maxEvacuationsAge() time.Duration {
	switch {
	case c.readsForOthers():
		return max(holderEvacuationsInterval, share(c.Bounds.EvacuateWithin, holderEvacuationsShare))
	case c.Candidate:
		return candidateMaxEvacuationsAge
	}
	return max(candidateMaxEvacuationsAge, c.Bounds.EvacuateWithin-followerMargin)
}

// evacuationsDueAt returns when the evacuations are next read, or the zero time if they
// are not read or a read is in progress. A list that may be older than the rewriting after
// a restoration is read again, unless other nodes keep it current.
func (c *Controller) evacuationsDueAt() time.Time {
	s := c.Evacuations.Source
	if !c.readsEvacuations() || s.Reading {
		return time.Time{}
	}
	maxAge := c.maxEvacuationsAge()
	due := s.CurrentAsOf.Add(maxAge)
	if !c.RestoredAt.IsZero() && s.CurrentAsOf.Before(c.RestoredAt.Add(evacuationRewriteTime)) {
		alone := later(s.CurrentAsOf.Add(restoredMaxEvacuationsAge), c.HolderExchangeAt.Add(holderTimeout))
		due = earlier(due, earlier(alone, s.CurrentAsOf.Add(candidateMaxEvacuationsAge)))
	}
	retry := c.retryDelay(s, maxAge, maxEvacuationsRetry)
	if c.Evacuations.StoreAnsweredAt.After(s.LastReadAt) {
		retry = min(retry, retryInterval)
	}
	return later(due, s.LastReadAt.Add(retry))
}

// recordStoreAnswer records that the store has answered a read of any source.
func (c *Controller) recordStoreAnswer(now time.Time, message Message) {
	failed := true
	switch message := message.(type) {
	case ConfigurationRead:
		failed = message.Failed
	case ReplicasRead:
		failed = message.Failed
	case NodesRead:
		failed = message.Failed
	}
	if !failed {
		c.Evacuations.StoreAnsweredAt = now
	}
}

// replicasReleasedAt returns when withheld replicas are published at the latest, or the
// zero time if none are withheld.
func (c *Controller) replicasReleasedAt() time.Time {
	if !c.Evacuations.ReplicasWithheld {
		return time.Time{}
	}
	return c.StartedAt.Add(evacuationsWait)
}

func (c *Controller) handleEvacuationsRead(now time.Time, message EvacuationsRead) []Effect {
	if !message.Failed && c.isLost(message.Era) {
		c.Evacuations.Reading = false
		return nil
	}
	previousAsOf := c.Evacuations.CurrentAsOf
	effects := c.Evacuations.endRead(now, message.StartedAt, message.Failed, "evacuations")
	if message.Failed {
		return effects
	}
	effects = append(effects, c.observeEra(now, message.Era)...)
	if message.StartedAt.Before(previousAsOf) {
		// Another node has read a newer list meanwhile.
		return effects
	}
	return append(effects, c.adoptEvacuations(now, previousAsOf, message.StartedAt, message.DataCentres)...)
}

// applyEvacuations adopts another node's list if it is newer than this node's.
func (c *Controller) applyEvacuations(now, asOf time.Time, known bool, dataCentres []string) []Effect {
	previousAsOf := c.Evacuations.CurrentAsOf
	if !c.readsEvacuations() || !known || !asOf.After(previousAsOf) {
		return nil
	}
	c.Evacuations.CurrentAsOf = asOf
	return c.adoptEvacuations(now, previousAsOf, asOf, dataCentres)
}

// adoptEvacuations puts a list that was current at asOf in force, with the evacuations
// that the store may have lost in a restoration.
func (c *Controller) adoptEvacuations(now, previousAsOf, asOf time.Time, listed []string) []Effect {
	e := &c.Evacuations
	current := slices.Clone(listed)
	if asOf.Before(e.RetainedUntil) {
		current = append(current, e.Retained...)
	}
	slices.Sort(current)
	current = slices.Compact(current)
	effects := c.noteEvacuations(now, previousAsOf, current)
	changed := !slices.Equal(e.DataCentres, current)
	e.DataCentres, e.Known = current, true
	effects = append(effects, PublishEvacuations{DataCentres: current, CurrentAsOf: e.CurrentAsOf})
	if changed {
		effects = append(effects, c.publishedReplicas(now)...)
	}
	return effects
}

// noteEvacuations returns notes on the evacuations that are new in a list or missing from
// it. The age of a new one is the longest time since its acknowledgement, 0 if unknown, and
// that of a missing one the time since this node first knew of it.
func (c *Controller) noteEvacuations(now, previousAsOf time.Time, current []string) []Effect {
	e := &c.Evacuations
	var effects []Effect
	for _, dataCentre := range current {
		if slices.Contains(e.DataCentres, dataCentre) {
			continue
		}
		note := Note{Text: "data centre evacuated", Source: "evacuations", DataCentre: dataCentre}
		if e.Known {
			note.Age = now.Sub(previousAsOf)
		}
		if e.SeenAt == nil {
			e.SeenAt = map[string]time.Time{}
		}
		e.SeenAt[dataCentre] = now
		effects = append(effects, note)
	}
	for _, dataCentre := range e.DataCentres {
		if !slices.Contains(current, dataCentre) {
			effects = append(effects, Note{Text: "evacuation lifted", Source: "evacuations", DataCentre: dataCentre, Age: now.Sub(e.SeenAt[dataCentre])})
			delete(e.SeenAt, dataCentre)
		}
	}
	return effects
}

// retainEvacuations keeps what is evacuated now for a while, because the store that was
// restored may lack it.
func (c *Controller) retainEvacuations(now time.Time) {
	c.Evacuations.Retained = c.Evacuations.DataCentres
	c.Evacuations.RetainedUntil = now.Add(evacuationRetention)
}

// markReplicas marks the replicas to be published that are in evacuated data centres. A
// node that has just started publishes none before it knows the evacuations.
func (c *Controller) markReplicas(now time.Time, effects []Effect) []Effect {
	if !c.readsEvacuations() {
		return effects
	}
	if !c.Evacuations.Known && now.Before(c.StartedAt.Add(evacuationsWait)) {
		return slices.DeleteFunc(effects, func(effect Effect) bool {
			switch effect.(type) {
			case PublishStoreReplicas, PublishReplicas:
				c.Evacuations.ReplicasWithheld = true
				return true
			}
			return false
		})
	}
	if c.Evacuations.ReplicasWithheld {
		c.Evacuations.ReplicasWithheld = false
		effects = append(effects, c.withheldReplicas(now)...)
	}
	for i, effect := range effects {
		switch effect := effect.(type) {
		case PublishStoreReplicas:
			effect.Replicas = c.marked(effect.Replicas)
			effects[i] = effect
		case PublishReplicas:
			effect.Replicas = c.marked(effect.Replicas)
			effects[i] = effect
		}
	}
	return effects
}

// withheldReplicas returns the publications that were withheld, as of now.
func (c *Controller) withheldReplicas(now time.Time) []Effect {
	var effects []Effect
	if !c.ListedAt.IsZero() {
		effects = append(effects, PublishStoreReplicas{Replicas: c.withColdTimes(c.ListedAt, c.Listed), Era: c.Era, CurrentAsOf: c.ListedAt})
	}
	return append(effects, c.publishedReplicas(now)...)
}

// publishedReplicas publishes the replicas again that were published last, or none if there
// were none.
func (c *Controller) publishedReplicas(now time.Time) []Effect {
	if !c.FromHolder && c.ListedAt.IsZero() {
		return nil
	}
	return []Effect{c.publication(now)}
}

// marked returns the replicas with those in evacuated data centres marked. The slice, which
// was published before or is compared with later ones, is not modified.
func (c *Controller) marked(replicas []Replica) []Replica {
	if len(c.Evacuations.DataCentres) == 0 {
		return replicas
	}
	replicas = slices.Clone(replicas)
	for i, replica := range replicas {
		replicas[i].Evacuated = slices.Contains(c.Evacuations.DataCentres, replica.DataCentre)
	}
	return replicas
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
