package balancer

import (
	"time"

	"toucanhitch.example/toucanhitch/internal/planner"
)

const (
	// noticeLifetime is how long a notice is kept after its replica has left the list.
	// The list may be of an older copy of the store, or lack entries for a while.
	noticeLifetime = time.Minute
	// reopenSpread is the longest time by which a node delays its first request to a
	// replica that is open again, so that not all nodes return at once.
	reopenSpread = 250 * time.Millisecond
	// leavingRetryAfter is the retry delay when all replicas of a service leave: others
	// take their place at an unknown time.
	leavingRetryAfter = time.Second
)

// Notice is what one start of a replica has announced in its answers. It does not
// depend on the lists of replicas.
type Notice struct {
	StartedMS int64
	// RateLimit is the requests a second that the replica takes from all nodes, or 0.
	// NamedAt is when an answer to this node last named a limit or none, and PublishedLimit
	// what the holder published last: a limit, planner.NoLimit, or 0 if it does not know.
	RateLimit, PublishedLimit float64
	NamedAt                   time.Time
	// Brittleness is known like the limit, PublishedBrittle what the holder published with
	// PublishedLimit.
	Brittleness
	PublishedBrittle Brittleness
	// BrittleUnpublished is set if the holder publishes limits without the brittleness.
	BrittleUnpublished bool
	// ThrottledUntil is when this node may next try to take a request of the limit.
	ThrottledUntil time.Time
	// Leaving is set once an answer to this node has announced that the replica leaves.
	Leaving bool
	// ClosedUntil is the end of the time for which the replica wants no requests of this
	// node, and ReopensAt when this node uses it again. MaxReturning then bounds the
	// requests of this node that the replica has not answered yet, which Returning
	// counts. It doubles with each answer that begins; 0 is no bound.
	ClosedUntil, ReopensAt  time.Time
	MaxReturning, Returning int
	// ClosedElsewhereUntil is the end of the time for which the replica wants no
	// requests of another node.
	ClosedElsewhereUntil time.Time
	// Cold is the cold time of the start.
	Cold Coldness
	// UnlistedAt is when the start was first missing from the list, zero while it is
	// listed.
	UnlistedAt time.Time
}

// replicaStart identifies one start of a replica.
type replicaStart struct {
	id        string
	startedMS int64
}

// noticeOf returns the notice of one start of a replica.
func (c *Controller) noticeOf(id string, startedMS int64) *Notice {
	start := replicaStart{id, startedMS}
	notice := c.Notices[start]
	if notice == nil {
		notice = &Notice{StartedMS: startedMS}
		c.Notices[start] = notice
	}
	return notice
}

// expireNotices forgets starts that have long left the list.
func (c *Controller) expireNotices(now time.Time) {
	for start, notice := range c.Notices {
		listed := c.Replicas[start.id]
		switch {
		case listed != nil && listed.Notice == notice:
			notice.UnlistedAt = time.Time{}
		case notice.UnlistedAt.IsZero():
			notice.UnlistedAt = now
		case now.Sub(notice.UnlistedAt) > noticeLifetime:
			delete(c.Notices, start)
		}
	}
}

// recordNotice records what an answer to this node has announced about its replica.
func (c *Controller) recordNotice(now time.Time, message NoticeReceived) []Effect {
	notice := c.Notices[replicaStart{message.Replica, message.StartedMS}]
	if notice == nil {
		return nil
	}
	var effects []Effect
	if answered := c.Assignments[message.PlacementID]; answered != nil && answered.endReturn(now, message.Accepted) {
		effects = append(effects, Note{Text: "replica takes requests again", Replica: message.Replica, Late: now.Sub(notice.ReopensAt)})
	}
	notice.NamedAt = now
	effects = append(effects, notice.setLimit(message.Replica, message.RateLimit)...)
	effects = append(effects, notice.setBrittle(message.Replica, message.Brittleness)...)
	if replica := c.Replicas[message.Replica]; replica != nil {
		c.noteBrittle(now, replica)
	}
	if message.Leaving && !notice.Leaving {
		notice.Leaving = true
		effects = append(effects, Note{Text: "replica said that it leaves", Replica: message.Replica})
	}
	if until := now.Add(message.RetryAfter); message.RetryAfter > 0 && until.After(notice.ClosedUntil) {
		if !now.Before(notice.ReopensAt) {
			effects = append(effects, Note{Text: "replica wants no requests for a time", Replica: message.Replica, Remaining: message.RetryAfter})
		}
		notice.ClosedUntil = until
		notice.ReopensAt = until.Add(time.Duration(c.Random.Int64N(int64(reopenSpread))))
		notice.MaxReturning = 1
	}
	return append(effects, c.serveWaiters(now)...)
}

// isClosed reports whether the replica wants no requests of this node at the given time.
func (r *Replica) isClosed(at time.Time) bool { return at.Before(r.Notice.ReopensAt) }

// mayReopen reports whether a replica that was closed takes another request of this
// node.
func (r *Replica) mayReopen() bool {
	return r.Notice.MaxReturning == 0 || r.Notice.Returning < r.Notice.MaxReturning
}

// endReturn ends the return of a request to a replica that was closed. If the replica has
// accepted it and not closed again since, more may return. endReturn reports whether it
// is the first one accepted.
func (a *assignment) endReturn(now time.Time, accepted bool) bool {
	if !a.returning {
		return false
	}
	a.returning = false
	notice := a.replica.Notice
	notice.Returning--
	if !accepted || notice.MaxReturning == 0 || now.Before(notice.ReopensAt) {
		return false
	}
	first := notice.MaxReturning == 1
	if notice.MaxReturning *= 2; notice.MaxReturning >= a.replica.Description.Slots {
		notice.MaxReturning = 0
	}
	return first
}

// unavailable returns a refusal if every replica of the service leaves or stays closed
// beyond the time of the request. RetryAfter is the time to the earliest return.
func (c *Controller) unavailable(now time.Time, need Need) *Refusal {
	var reopensAt time.Time
	for _, replica := range c.Replicas {
		switch {
		case !need.allows(replica.Description), replica.isExcluded():
		case !replica.isClosed(need.GiveUpAt):
			return nil
		case reopensAt.IsZero() || replica.Notice.ReopensAt.Before(reopensAt):
			reopensAt = replica.Notice.ReopensAt
		}
	}
	if reopensAt.IsZero() {
		return &Refusal{Reason: "all replicas leave", RetryAfter: leavingRetryAfter}
	}
	return &Refusal{Reason: "all replicas want no requests for a time", RetryAfter: reopensAt.Sub(now)}
}

// collectNotices returns the replicas that announced to this node that they leave or want
// no requests for a time.
func (c *Controller) collectNotices(now time.Time) []planner.Notice {
	var notices []planner.Notice
	for _, id := range c.sortedIDs() {
		replica := c.Replicas[id]
		notice := planner.Notice{
			Replica: id, StartedMS: replica.Description.StartedMS,
			Leaving: replica.Notice.Leaving && !replica.Description.Leaving, ClosedFor: max(0, replica.Notice.ClosedUntil.Sub(now)),
		}
		if notice.Leaving || notice.ClosedFor > 0 {
			notices = append(notices, notice)
		}
	}
	return notices
}
