package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"toucanhitch.example/toucanhitch/internal/emulator"
)

// injector injects random faults.
type injector struct {
	deployment  *deployment
	random      *rand.Rand
	withdrawnAt map[string]time.Time
	resumeTimes []time.Time
	// faultsAt holds the times of faults of nodes, by their address for callers, and of
	// paths to replicas, by ID.
	faultsAt map[string][]time.Time
	log      []string
}

// run injects faults until a time, and reverts all of them before it returns.
// Faults overlap: each one has its own duration.
func (in *injector) run(until time.Time) {
	type undo struct {
		at   time.Time
		call func()
	}
	var undos []undo
	for time.Now().Before(until) {
		revert, duration := in.injectFault()
		if revert != nil {
			undos = append(undos, undo{time.Now().Add(duration), revert})
		}
		next := time.Now().Add(time.Duration(200+in.random.IntN(900)) * time.Millisecond)
		for time.Now().Before(next) {
			time.Sleep(20 * time.Millisecond)
			remaining := undos[:0]
			for _, u := range undos {
				if time.Now().After(u.at) {
					u.call()
				} else {
					remaining = append(remaining, u)
				}
			}
			undos = remaining
		}
	}
	for _, u := range undos {
		u.call()
	}
}

// recordFault records that a node or the path to a replica has failed.
func (in *injector) recordFault(name string) {
	in.faultsAt[name] = append(in.faultsAt[name], time.Now())
}

// excuses reports whether a node or the path to a replica has failed since a time, or
// shortly before it.
func (in *injector) excuses(node, replica string, since time.Time) bool {
	const longestFault = 4 * time.Second
	for _, at := range slices.Concat(in.faultsAt[node], in.faultsAt[replica]) {
		if at.After(since.Add(-longestFault)) {
			return true
		}
	}
	return false
}

func (in *injector) logFault(format string, values ...any) {
	in.log = append(in.log, fmt.Sprintf(format, values...))
}

// injectFault injects one fault. It returns the function that reverts the fault,
// which may be nil, and the duration after which to call it.
func (in *injector) injectFault() (func(), time.Duration) {
	d := in.deployment
	n := d.nodes[in.random.IntN(len(d.nodes))]
	r := d.replicas[in.random.IntN(len(d.replicas))]
	duration := time.Duration(300+in.random.IntN(3500)) * time.Millisecond
	switch in.random.IntN(12) {
	case 0, 1:
		in.logFault("kill %s", n.name)
		in.recordFault(n.address(callersPort))
		n.stop()
		return func() { d.start(n) }, duration / 2
	case 2, 3:
		in.logFault("pause %s for %v", n.name, duration)
		in.recordFault(n.address(callersPort))
		n.signal(syscall.SIGSTOP)
		return func() {
			n.signal(syscall.SIGCONT)
			in.resumeTimes = append(in.resumeTimes, time.Now())
		}, duration
	case 4:
		in.logFault("terminate %s", n.name)
		in.recordFault(n.address(callersPort))
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGTERM)
		return func() {
			n.stop()
			d.start(n)
		}, drainGrace
	case 5:
		in.logFault("reload %s", n.name)
		n.signal(syscall.SIGHUP)
		return nil, 0
	case 6:
		m := []mode{delay, blackHole, discardReplies, reset}[in.random.IntN(4)]
		in.logFault("path to the store in mode %d for %v", m, duration)
		d.storeProxy.setMode(m)
		return func() { d.storeProxy.setMode(forward) }, duration
	case 7:
		faults := []emulator.StoreFaults{{Busy: true}, {Silent: true}, {Delay: 150 * time.Millisecond}, {LoseEvery: 2}}[in.random.IntN(4)]
		in.logFault("store %+v for %v", faults, duration)
		d.store.SetFaults(faults)
		return func() { d.store.SetFaults(emulator.StoreFaults{}) }, duration
	case 8, 9:
		m := []mode{delay, blackHole, discardReplies, reset}[in.random.IntN(4)]
		in.logFault("path to %s in mode %d for %v", r.id, m, duration)
		in.recordFault(r.id)
		r.proxy.setMode(m)
		return func() { r.proxy.setMode(forward) }, duration
	case 10:
		faults := []emulator.ReplicaFaults{{BreakEvery: 3}, {LoseEvery: 4}, {FailEvery: 2}, {Full: true}}[in.random.IntN(4)]
		in.logFault("%s %+v for %v", r.id, faults, duration)
		r.emulated.SetFaults(faults)
		return func() { r.emulated.SetFaults(emulator.ReplicaFaults{}) }, duration
	}
	if in.random.IntN(2) == 0 && len(d.keys) > 1 {
		in.logFault("withdraw key-b")
		d.configure(func() { d.keys = d.keys[:1] })
		in.withdrawnAt["key-b"] = time.Now()
		return nil, 0
	}
	in.logFault("%s leaves for %v", r.id, duration)
	r.leaving.Store(true)
	r.emulated.SetLeaving(true)
	// A replica that left has ended, so it returns as a new start.
	return func() {
		r.emulated.Restart()
		r.leaving.Store(false)
	}, duration
}
