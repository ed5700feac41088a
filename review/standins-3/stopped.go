package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// workTime is how long a replica works on a booking, keptChannels the number of channels that
	// callers keep to the node, and secondTerm the time from the first SIGTERM to the next one.
	workTime     = 400 * time.Millisecond
	keptChannels = 12
	secondTerm   = 1500 * time.Millisecond
	// grace is the time from a SIGTERM to the platform's SIGKILL.
	grace = 8 * time.Second
)

// lost is a request that was sent whole and whose channel ended without a complete answer.
type lost struct {
	attempt string
	err     error
}

// stopped plays a node that gets a SIGTERM, and another one while it still finishes its requests.
func stopped(ctx context.Context, w *world) (int, error) {
	w.store.put("config", "main", bookingConfiguration())
	runs := &ledger{work: workTime}
	for i := range 2 {
		r := newReplica(fmt.Sprintf("i-%d", i), bookingService, w.store, w.record)
		r.serve = runs.book
		if err := r.start("v1"); err != nil {
			return notRun, err
		}
		defer r.crash()
	}
	if err := w.startNodes(2); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	n := w.nodes[0]
	var group sync.WaitGroup
	var mutex sync.Mutex
	var losses []lost
	answered := 0
	until := time.Now().Add(8 * time.Second)
	for channel := range keptChannels {
		group.Go(func() {
			complete, loss := w.bookOnChannel(ctx, n, channel, until)
			mutex.Lock()
			defer mutex.Unlock()
			answered += complete
			if loss != nil {
				losses = append(losses, *loss)
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.record.write("SIGTERM to %s", n.name)
	_ = n.command.Process.Signal(syscall.SIGTERM)
	if w.trouble {
		time.Sleep(secondTerm)
		w.record.write("SIGTERM to %s again", n.name)
		_ = n.command.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-n.exited:
		w.record.write("%s has ended: %v", n.name, n.command.ProcessState)
	case <-time.After(grace):
		w.record.write("%s still runs after %v", n.name, grace)
	}
	group.Wait()
	ran := 0
	for _, loss := range losses {
		if runs.has(loss.attempt) {
			ran++
		}
		w.record.write("%s has no answer: %v", loss.attempt, loss.err)
	}
	w.say("%d requests were answered, %d got no answer after a replica had begun to run them", answered, ran)
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}

// bookOnChannel sends bookings on one kept channel, and on another one to the same address when the
// node has closed it in order. Callers keep the directory's answer for up to three times ttl-s. It
// returns the number of answers, and the request that got none.
func (w *world) bookOnChannel(ctx context.Context, n *node, channel int, until time.Time) (answered int, loss *lost) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; time.Now().Before(until); i++ {
		if conn == nil {
			var err error
			if conn, err = (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", n.frontAddress()); err != nil {
				w.record.write("caller: channel %d not opened: %v", channel, err)
				return answered, nil
			}
			reader = bufio.NewReader(conn)
		}
		attempt := fmt.Sprintf("b%02d-%d", channel, i)
		response, sent, err := exchange(conn, reader, attempt)
		switch {
		case err != nil && !sent:
			w.record.write("caller: %s not sent: %v", attempt, err)
			conn.Close()
			return answered, nil
		case err != nil:
			w.record.write("caller: %s sent to %s: %v", attempt, n.name, err)
			conn.Close()
			return answered, &lost{attempt, err}
		}
		answered++
		w.record.write("caller: %s sent to %s, got %d", attempt, n.name, response.StatusCode)
		if response.Close {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
	return answered, nil
}

// exchange sends a request and reads its whole answer. sent is set once all bytes were sent.
func exchange(conn net.Conn, reader *bufio.Reader, attempt string) (response *http.Response, sent bool, err error) {
	body := "slot " + attempt
	if err := conn.SetDeadline(time.Now().Add(1700 * time.Millisecond)); err != nil {
		return nil, false, err
	}
	request := "POST /puxa403/2f HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: 1500\r\nKey: " + callerKey +
		fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.Copy(conn, strings.NewReader(request)); err != nil {
		return nil, false, err
	}
	if response, err = http.ReadResponse(reader, nil); err != nil {
		return nil, true, err
	}
	_, err = io.ReadAll(response.Body)
	return response, true, err
}
