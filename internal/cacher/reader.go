package cacher

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// eventsWait is how long a replica may wait for a change before it answers. Calls that
	// wait less than 200 ms are priced.
	eventsWait = time.Second
	// minReadInterval is the shortest time between the starts of two calls, so that a busy
	// replica costs the node little.
	minReadInterval = 400 * time.Millisecond
	// maxStartDelay spreads the first calls of a node that takes over several replicas.
	maxStartDelay = time.Second
	// minRetryDelay and maxRetryDelay are the times after calls that failed. Refused calls
	// are priced, so that maxRetryDelay follows the first one.
	minRetryDelay, maxRetryDelay = time.Second, 15 * time.Second
	// pointsPerNode is the number of points of a node on the ring. With 8 the busiest node
	// reads about twice the mean.
	pointsPerNode = 8
)

// Reader decides which replicas this node reads, and when. Each replica is read by one node:
// the one whose point on a ring of hashes follows that of the replica. With rendezvous hashing
// a node would compute 35 million hashes after each change of 3,500 nodes with 10,000 replicas.
type Reader struct {
	// Self is this node's address for callers.
	Self     string
	Nodes    []string
	Replicas []Target
	// Reads holds the replicas that this node reads.
	Reads  map[string]*Read
	Random *rand.Rand
}

// Read is the state of reading one start of a replica.
type Read struct {
	Target Target
	// Epoch and Next are those of the last answer, empty before.
	Epoch, Next string
	// Reading is set while a call runs that began at StartedAt. NextAt is when the next
	// one is due.
	Reading   bool
	StartedAt time.Time
	NextAt    time.Time
	Failures  int
}

// NewReader returns the reader of a node.
func NewReader(self string, seed uint64) *Reader {
	return &Reader{Self: self, Reads: map[string]*Read{}, Random: rand.New(rand.NewPCG(seed, seed))}
}

// Wake returns when the next call is due.
func (r *Reader) Wake() time.Time {
	var wake time.Time
	for _, read := range r.Reads {
		if !read.Reading && (wake.IsZero() || read.NextAt.Before(wake)) {
			wake = read.NextAt
		}
	}
	return wake
}

// Step handles one message and returns the resulting effects.
func (r *Reader) Step(now time.Time, message Message) []Effect {
	var effects []Effect
	switch message := message.(type) {
	case SetReplicas:
		if !slices.Equal(r.Replicas, message.Replicas) {
			r.Replicas = message.Replicas
			r.assign(now)
		}
	case SetNodes:
		if !slices.Equal(r.Nodes, message.Nodes) {
			r.Nodes = message.Nodes
			r.assign(now)
		}
	case EventsRead:
		effects = r.recordEvents(now, message)
	}
	return append(effects, r.readDue(now)...)
}

// assign determines the replicas that this node reads.
func (r *Reader) assign(now time.Time) {
	own := map[string]bool{}
	for _, target := range r.ownTargets() {
		own[target.Replica] = true
		if read := r.Reads[target.Replica]; read == nil || read.Target != target {
			delay := time.Duration(r.Random.Int64N(int64(maxStartDelay)))
			r.Reads[target.Replica] = &Read{Target: target, NextAt: now.Add(delay)}
		}
	}
	maps.DeleteFunc(r.Reads, func(id string, _ *Read) bool { return !own[id] })
}

// ringPoint is a point of a node on the ring.
type ringPoint struct {
	hash uint64
	own  bool
}

func (r *Reader) ownTargets() []Target {
	if len(r.Replicas) == 0 || !slices.Contains(r.Nodes, r.Self) {
		return nil
	}
	ring := make([]ringPoint, 0, pointsPerNode*len(r.Nodes))
	for _, node := range r.Nodes {
		for i := range pointsPerNode {
			ring = append(ring, ringPoint{xxhash.Sum64String(strconv.Itoa(i) + "\x00" + node), node == r.Self})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	var own []Target
	for _, target := range r.Replicas {
		i, _ := slices.BinarySearchFunc(ring, xxhash.Sum64String(target.Replica), func(p ringPoint, hash uint64) int { return cmp.Compare(p.hash, hash) })
		if ring[i%len(ring)].own {
			own = append(own, target)
		}
	}
	return own
}

// readDue starts the calls that are due.
func (r *Reader) readDue(now time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(r.Reads)) {
		read := r.Reads[id]
		if !read.Reading && !now.Before(read.NextAt) {
			read.Reading, read.StartedAt = true, now
			effects = append(effects, ReadEvents{Target: read.Target, Since: cmp.Or(read.Next, "0"), Wait: eventsWait})
		}
	}
	return effects
}

func (r *Reader) recordEvents(now time.Time, message EventsRead) []Effect {
	read := r.Reads[message.Target.Replica]
	if read == nil || !read.Reading || read.Target != message.Target {
		return nil
	}
	read.Reading = false
	if message.Failed || message.Refused {
		return read.recordFailure(now, message.Refused)
	}
	read.Failures = 0
	read.NextAt = read.StartedAt.Add(minReadInterval)
	answer := message.Answer
	// The first answer may lack earlier changes as well. What was believed before remains: a
	// part that is no longer kept is read and so kept again when it is next used.
	gap := read.Epoch != "" && (answer.Lost || answer.Epoch != read.Epoch)
	read.Epoch, read.Next = answer.Epoch, answer.Next
	if !gap && len(answer.Changes) == 0 {
		return nil
	}
	effects := []Effect{Observed{Target: read.Target, Gap: gap, Events: answer.Changes}}
	if gap {
		effects = append(effects, Note{Text: "changes of a replica's cache missed", Replica: read.Target.Replica})
	}
	return effects
}

// recordFailure delays the next call, and returns a note for the first failure.
func (r *Read) recordFailure(now time.Time, refused bool) []Effect {
	delay := min(maxRetryDelay, minRetryDelay<<min(r.Failures, 8))
	text := "replica's cache cannot be read"
	if refused {
		delay, text = maxRetryDelay, "replica refuses to report its cache"
	}
	r.NextAt = now.Add(delay)
	if r.Failures++; r.Failures > 1 {
		return nil
	}
	return []Effect{Note{Text: text, Replica: r.Target.Replica}}
}
