package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	// maxDescriptors is max-fds of the settings.
	maxDescriptors = 4100
	// requesterDescriptors is what the requesters of the case need themselves: both nodes'
	// channels, and those that wait to be taken.
	requesterDescriptors = 9500
	// idleLimit is idle-timeout-ms of the desired state, and idleReuse the four fifths of it
	// for which requesters reuse channels.
	idleLimit = 15 * time.Second
	idleReuse = idleLimit * 4 / 5
	// lookupInterval is the time between two lookups, which come on new channels: the traffic
	// of niyebe-archive at two machines.
	lookupInterval = time.Second / 149
	lookupTime     = 85 * time.Second
	lookupLimit    = 1500 * time.Millisecond
	// contact is contact-ms, and minRequesters the number of requesters that the rule names.
	contact       = 3 * time.Second
	minRequesters = 7
)

// lookup is a request on a new channel, or a readiness check on a kept one.
type lookup struct {
	node     string
	at       time.Time
	answered bool
}

// idleChannels checks RECOVER while requesters leave channels idle for longer than the limit
// of the desired state. Without the disruption they close them within the limit.
func idleChannels(f *fleet, trouble bool) verdict {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < requesterDescriptors {
		return verdict{Err: fmt.Errorf("the requesters need %d descriptors, the limit is %d (%v)", requesterDescriptors, own.Cur, err)}
	}
	for i := range 8 {
		settings := replicaSettings{Service: plainService, Zone: "gdansk-a", Slots: 6, WorkTime: 60 * time.Millisecond}
		if err := f.addReplica(fmt.Sprintf("app%d", i), settings); err != nil {
			return verdict{Err: err}
		}
	}
	f.store.put("config", "main", configuration{Version: 3, Models: []string{"m0"}}.spec())
	for _, name := range []string{"frontend-gdansk-a-1", "frontend-gdansk-a-2"} {
		n, err := f.addNode(name, "gdansk-a")
		if err != nil {
			return verdict{Err: err}
		}
		if err := limitDescriptors(n.command.Process.Pid, maxDescriptors); err != nil {
			return verdict{Err: err}
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return verdict{Err: err}
	}
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	var lookups, checks []lookup
	var open int
	var group sync.WaitGroup
	end := time.Now().Add(lookupTime)
	for _, n := range f.nodes {
		group.Go(func() {
			client := http.Client{Timeout: time.Second, Transport: newTransport()}
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				check := lookup{node: n.name, at: time.Now()}
				if response, err := client.Get("http://" + n.ready + "/toucanhitch/readyz"); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
					check.answered = response.StatusCode == http.StatusOK
				}
				mutex.Lock()
				checks = append(checks, check)
				f.record.printf("%s is ready: %t; %d channels of requesters are open, %d lookups so far", n.name, check.answered, open, len(lookups))
				mutex.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	idle := idleReuse
	if trouble {
		idle = lookupTime
	}
	for i := 0; time.Now().Before(end); i++ {
		n := f.nodes[i%2]
		group.Go(func() {
			started := lookup{node: n.name, at: time.Now()}
			conn, err := lookUp(n)
			mutex.Lock()
			started.answered = err == nil
			lookups = append(lookups, started)
			open++
			mutex.Unlock()
			if conn != nil {
				defer conn.Close()
			}
			if err == nil {
				_ = conn.SetReadDeadline(earliest(end, time.Now().Add(idle)))
				_, _ = conn.Read(make([]byte, 1)) // returns when the node closes the channel
			}
			mutex.Lock()
			open--
			mutex.Unlock()
		})
		time.Sleep(lookupInterval)
	}
	group.Wait()
	answered := 0
	for _, l := range lookups {
		if l.answered {
			answered++
		}
	}
	f.record.printf("%d of %d lookups were answered", answered, len(lookups))
	if answered < len(lookups)/4 {
		return verdict{Err: fmt.Errorf("only %d of %d lookups were answered", answered, len(lookups))}
	}
	var result verdict
	for _, n := range f.nodes {
		if text := deafSpan(n.name, lookups, checks); text != "" {
			result.Broken = append(result.Broken, text)
		}
	}
	return result
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// deafSpan returns what breaks RECOVER at a node: a span of contact-ms in which it says that
// it is ready, minRequesters or more open channels to it, and none of them is answered.
func deafSpan(name string, lookups, checks []lookup) string {
	for _, first := range checks {
		if first.node != name || !first.answered {
			continue
		}
		until := first.at.Add(contact)
		tried, answered, ready := 0, 0, 0
		for _, l := range lookups {
			if l.node == name && l.at.After(first.at) && l.at.Before(until) {
				tried++
				if l.answered {
					answered++
				}
			}
		}
		for _, check := range checks {
			if check.node == name && check.answered && check.at.After(first.at) && check.at.Before(until.Add(time.Second)) {
				ready++
			}
		}
		if tried >= minRequesters && answered == 0 && ready >= 3 {
			return fmt.Sprintf("RECOVER: %s said %d times within %v that it was ready, and took none of %d new channels", name, ready+1, contact, tried)
		}
	}
	return ""
}

// lookUp sends a lookup on a new channel and reads the answer. It returns the channel.
func lookUp(n *node) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", n.caller, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(lookupLimit))
	attempt := lastAttempt.Add(1)
	_, err = fmt.Fprintf(conn, "GET %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: a%06d\r\nKey: %s\r\nDeadline-Ms: %d\r\n\r\n", lookupPath, hostName, attempt, apiKey, lookupLimit.Milliseconds())
	if err != nil {
		return conn, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return conn, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return conn, err
}

// limitDescriptors limits the descriptors of a process of this case, as max-fds does.
func limitDescriptors(pid int, limit uint64) error {
	rlimit := syscall.Rlimit{Cur: limit, Max: limit}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&rlimit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
