package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// silenceTime is how long a replica sends nothing on a direct connection before the ways
	// to the replicas are checked. Most answers begin sooner.
	silenceTime = 300 * time.Millisecond
	// partitionSilence is how long a direct connection, and all others, must have been silent
	// for an attempt to end early while the node is partitioned. Connections may also outlive
	// the beginning of a partition.
	partitionSilence = 700 * time.Millisecond
)

// ErrPartitioned reports an attempt on a direct connection that failed while the node was
// partitioned from the replicas. It shows nothing about the replica, which may run the request.
var ErrPartitioned = merry.Sentinel("node is partitioned from the replicas")

// activity is when something last happened.
type activity struct {
	clock clockwork.Clock
	since time.Time
	// last is the time of the last activity after since, in nanoseconds.
	last atomic.Int64
}

// record records an activity. Without a clock, the activity is not of interest.
func (a *activity) record() {
	if a.clock == nil {
		return
	}
	a.last.Store(int64(a.clock.Since(a.since)))
}

// age returns the time since the last activity.
func (a *activity) age() time.Duration {
	return a.clock.Since(a.since) - time.Duration(a.last.Load())
}

// observedReader records when something is received on a connection.
type observedReader struct {
	connection *connection
	connector  Connector
}

// Read implements io.Reader.
func (r *observedReader) Read(buffer []byte) (int, error) {
	n, err := r.connection.Conn.Read(buffer)
	if n > 0 {
		r.connection.lastRead.record()
		if !r.connection.relayed {
			r.connector.RecordRead()
		}
	}
	return n, err
}

// partitionWatch watches the silence of one attempt.
type partitionWatch struct {
	mutex   sync.Mutex
	timer   clockwork.Timer
	stopped bool
	// paused is set while nothing is read because the caller takes its time. The last such
	// time ended with the activity of resumed.
	paused  atomic.Bool
	resumed activity
}

func (w *partitionWatch) schedule(clock clockwork.Clock, after time.Duration, check func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.stopped {
		w.timer = clock.AfterFunc(after, check)
	}
}

func (w *partitionWatch) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *partitionWatch) pause() { w.paused.Store(true) }

func (w *partitionWatch) resume() {
	w.resumed.record()
	w.paused.Store(false)
}

// watchPartition begins to watch the silence of the replica.
func (e *exchange) watchPartition() {
	if e.conn.relayed {
		return
	}
	e.partition.resumed.clock, e.partition.resumed.since = e.pool.clock, e.pool.clock.Now()
	e.partition.schedule(e.pool.clock, silenceTime, e.checkPartition)
}

// checkPartition reports a replica that is silent. If the node is partitioned and its direct
// connections are silent, it ends an attempt that may be repeated, once the answer has begun only
// if another replica is reserved for the rest. Kept connections may live on in a partition, and a
// sound replica may be silent for a second.
func (e *exchange) checkPartition() {
	connector, quiet := e.pool.connector, min(e.conn.lastRead.age(), e.partition.resumed.age())
	switch {
	case e.partition.paused.Load():
		quiet = 0
	case quiet < silenceTime:
	case connector.Partitioned():
		if e.attempt.Forward.Route.Repeatable() && quiet >= partitionSilence && connector.QuietFor() >= partitionSilence {
			e.abort()
		}
	default:
		connector.RecordSilence(e.attempt.Address)
	}
	next := silenceTime
	if quiet < silenceTime {
		next = silenceTime - quiet
	}
	e.partition.schedule(e.pool.clock, next, e.checkPartition)
}

// failedWhilePartitioned reports whether the attempt failed on a direct connection of a
// partitioned node.
func (e *exchange) failedWhilePartitioned() bool {
	return !e.conn.relayed && e.pool.connector.Partitioned()
}
