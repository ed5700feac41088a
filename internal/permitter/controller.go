package permitter

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// settleTime is how long the requests that the asking node knows of are counted as well
	// after the first request for a replica: they may have permits of another node, or none.
	settleTime = 2 * time.Second
	// idleTime is how long a replica without permits is remembered.
	idleTime = 10 * time.Second
	// releasedTime is how long a released permit cannot be acquired, because a request for
	// it may arrive after its release.
	releasedTime = 2 * time.Second
	// deniedTime is how long a node counts as waiting after it was denied a permit.
	deniedTime = 400 * time.Millisecond
	// retryPerNode is the retry delay for each waiting node, so that the requests for permits
	// do not grow with the number of nodes. minRetryAfter and maxRetryAfter bound it.
	retryPerNode  = 3 * time.Millisecond
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
	// refusalPeriod is the time in which a replica counts the requests that it turns away.
	refusalPeriod = time.Second
	// recoveryTime is the time after which a replica that turned a request away is tried
	// with one request more.
	recoveryTime = 500 * time.Millisecond
	// maxReleaseAttempts bounds how often a release is sent. Permits expire without it.
	maxReleaseAttempts = 2
)

// Controller hands out the permits of the replicas for which other nodes ask this node.
type Controller struct {
	Replicas map[string]*Replica
	// Released holds the permits that were released, with the times.
	Released map[Permit]time.Time
	// Random spreads the retry delays.
	Random    *rand.Rand
	cleanedAt time.Time
}

// Replica holds the permits of one start of a replica.
type Replica struct {
	StartedMS int64
	Since     time.Time
	UsedAt    time.Time
	// Permits holds the permits in use, with the times at which they expire.
	Permits map[string]time.Time
	// Limit is the number of requests that the replica took when it last turned one away
	// at RefusedAt, the zero time if it has turned none away.
	Limit     int
	RefusedAt time.Time
	// MaxRefusals is the number of requests that the replica can turn away in a second.
	MaxRefusals int
	// Denied holds the nodes that were denied a permit, with the last times.
	Denied map[string]time.Time
}

// NewController returns a controller whose random choices are derived from seed.
func NewController(seed uint64) *Controller {
	return &Controller{Replicas: map[string]*Replica{}, Released: map[Permit]time.Time{}, Random: rand.New(rand.NewPCG(seed, seed))}
}

// Wake returns when expired entries are next removed.
func (c *Controller) Wake() time.Time {
	if len(c.Replicas)+len(c.Released) == 0 {
		return time.Time{}
	}
	return c.cleanedAt.Add(releasedTime)
}

// Step handles one message and returns the resulting effects.
func (c *Controller) Step(now time.Time, message Message) []Effect {
	if now.Sub(c.cleanedAt) >= releasedTime {
		c.clean(now)
	}
	switch message := message.(type) {
	case Tick:
	case Acquire:
		return []Effect{AnswerAcquire{message.Call, c.decide(now, message.Request)}}
	case Release:
		return c.release(now, message)
	case ForwardRelease:
		return []Effect{SendRelease{Address: message.Address, Release: message.Release}}
	case ReleaseForwarded:
		sent := message.Sent
		if sent.Attempts++; message.Failed && sent.Attempts < maxReleaseAttempts {
			return []Effect{sent}
		}
	}
	return nil
}

// clean removes what is out of date.
func (c *Controller) clean(now time.Time) {
	c.cleanedAt = now
	maps.DeleteFunc(c.Released, func(_ Permit, at time.Time) bool { return now.Sub(at) > releasedTime })
	maps.DeleteFunc(c.Replicas, func(_ string, replica *Replica) bool {
		replica.expire(now)
		return len(replica.Permits) == 0 && now.Sub(replica.UsedAt) > idleTime
	})
}

func (c *Controller) decide(now time.Time, request Request) Decision {
	permit := request.Permit
	replica := c.Replicas[permit.Replica]
	if replica == nil || replica.StartedMS < permit.StartedMS {
		replica = &Replica{StartedMS: permit.StartedMS, Since: now, Permits: map[string]time.Time{}, Denied: map[string]time.Time{}}
		c.Replicas[permit.Replica] = replica
	}
	_, released := c.Released[permit]
	if released || permit.StartedMS < replica.StartedMS {
		return Decision{RetryAfter: maxRetryAfter}
	}
	replica.expire(now)
	replica.UsedAt, replica.MaxRefusals = now, request.MaxRefusals
	if pause := replica.pause(now); pause > 0 {
		replica.Denied[request.Node] = now
		return Decision{RetryAfter: pause + c.retryAfter(replica)}
	}
	used := len(replica.Permits)
	if request.CountActive || now.Sub(replica.Since) < settleTime {
		used = max(used, request.Active)
	}
	if used >= replica.limit(now, request.Capacity) {
		replica.Denied[request.Node] = now
		return Decision{RetryAfter: c.retryAfter(replica)}
	}
	delete(replica.Denied, request.Node)
	replica.Permits[permit.ID] = now.Add(request.TTL)
	return Decision{Granted: true}
}

// retryAfter returns a random delay with a mean in proportion to the waiting nodes.
func (c *Controller) retryAfter(replica *Replica) time.Duration {
	mean := min(maxRetryAfter, max(minRetryAfter, retryPerNode*time.Duration(len(replica.Denied))))
	return mean/2 + time.Duration(c.Random.Int64N(int64(mean)))
}

func (c *Controller) release(now time.Time, message Release) []Effect {
	permit := message.Permit
	replica := c.Replicas[permit.Replica]
	if replica == nil || replica.StartedMS != permit.StartedMS {
		c.Released[permit] = now
		return nil
	}
	replica.expire(now)
	if message.Linger > 0 {
		if expiresAt, held := replica.Permits[permit.ID]; held && now.Add(message.Linger).Before(expiresAt) {
			replica.Permits[permit.ID] = now.Add(message.Linger)
		}
		return nil
	}
	c.Released[permit] = now
	delete(replica.Permits, permit.ID)
	if !message.Refused {
		return nil
	}
	replica.Limit, replica.RefusedAt = max(1, len(replica.Permits)), now
	return []Effect{Note{Text: "replica turned away a request with a permit", Replica: permit.Replica, Limit: replica.Limit}}
}

// pause returns the time for which no permit is granted because the replica has turned a
// request away: it may lack something else than slots, and turn the next one away as well.
func (r *Replica) pause(now time.Time) time.Duration {
	if r.RefusedAt.IsZero() {
		return 0
	}
	return r.RefusedAt.Add(refusalPeriod / time.Duration(max(1, r.MaxRefusals))).Sub(now)
}

// limit returns the number of permits that may be in use.
func (r *Replica) limit(now time.Time, capacity int) int {
	if r.RefusedAt.IsZero() {
		return capacity
	}
	return min(capacity, r.Limit+int(now.Sub(r.RefusedAt)/recoveryTime))
}

// expire removes the permits that have expired, and the nodes that wait no more.
func (r *Replica) expire(now time.Time) {
	maps.DeleteFunc(r.Permits, func(_ string, expiresAt time.Time) bool { return !now.Before(expiresAt) })
	maps.DeleteFunc(r.Denied, func(_ string, at time.Time) bool { return now.Sub(at) > deniedTime })
}
