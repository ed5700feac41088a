package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// ReplicaFaults are the faults of a replica.
type ReplicaFaults struct {
	// BreakEvery aborts every n-th answer midway, LoseEvery never sends every
	// n-th answer, and FailEvery answers every n-th request of a plain service
	// with 500, 503, 429 or 408 of its own; 0 disables the fault.
	BreakEvery, LoseEvery, FailEvery int
	// AnswerTime replaces that of the settings, unless it is 0.
	AnswerTime time.Duration
	// Full refuses all requests.
	Full bool
	// CrashOnPart crashes the replica when it begins to write an answer to a request
	// with this shared part in its prompt. "" disables the fault.
	CrashOnPart string
	// CrashOnBody crashes the replica when it begins to answer a request with this
	// body. "" disables the fault.
	CrashOnBody string
	// NamedLimit is the limit in requests a second that the replica names in its
	// answers. 0 names none. The replica serves all requests all the same.
	NamedLimit float64
	// Room is the number of requests that the replica runs at once, 0 for any. It turns
	// others away.
	Room int
	// Brittle makes the replica name MaxRefusals in its answers and crash when it has to
	// turn more requests away in a second for want of room.
	Brittle     bool
	MaxRefusals int
}

// Restart simulates a restart of the replica's process: no model is loaded, and
// the models on disk remain.
func (r *FleetReplica) Restart() {
	r.executor.do(r.restart)
}

// Upgrade restarts the replica's process with another version of its software.
func (r *FleetReplica) Upgrade(version string) {
	r.executor.do(func() {
		r.settings.Version = version
		r.crashProcess()
	})
}

// SetZone moves the replica to another data centre.
func (r *FleetReplica) SetZone(zone string) { r.executor.do(func() { r.settings.Zone = zone }) }

func (r *FleetReplica) restart() {
	r.startedAtMs = r.settings.Clock.Now().UnixMilli()
	r.orderSequence, r.loading, r.leaving = 0, "", false
	clear(r.loaded)
}

// crashDowntime is the time after which a replica that has crashed serves again.
const crashDowntime = time.Second

// crash ends the replica's process with all requests that it runs. It starts again
// after crashDowntime.
func (r *FleetReplica) crash() { r.executor.do(r.crashProcess) }

func (r *FleetReplica) crashProcess() {
	close(r.crashed)
	r.crashed = make(chan struct{})
	r.restart()
	r.active, r.full = 0, nil
	r.downUntil = r.settings.Clock.Now().Add(crashDowntime)
}

// streamFaults are the faults of one stream.
type streamFaults struct {
	// run is the index of the run.
	run int
	// answerTime is the time before each event.
	answerTime time.Duration
	// origin ends the data of each event: a space, the replica, a space and its software
	// version, or "" if it has none.
	origin string
	// breakOff aborts the stream in the middle of the second event, and crash ends
	// the replica's process at the first one.
	breakOff, crash bool
	// crashed is closed when the replica's process ends.
	crashed <-chan struct{}
}

// writeStream writes the events after the one that Last-Event-Id names.
func (r *FleetReplica) writeStream(w http.ResponseWriter, request *http.Request, faults streamFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for id := from + 1; id <= r.settings.EventsPerStream; id++ {
		select {
		case <-r.settings.Clock.After(faults.answerTime):
		case <-faults.crashed:
			panic(http.ErrAbortHandler)
		}
		if request.Context().Err() != nil {
			return
		}
		if faults.crash {
			_ = control.Flush()
			r.crash()
			panic(http.ErrAbortHandler)
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d%s\n\n", id, request.Header.Get("Attempt-Id"), id, faults.origin)
		if faults.breakOff && id == from+2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil || control.Flush() != nil {
			return
		}
		r.executor.do(func() { r.runs[faults.run].Events++ })
	}
}
