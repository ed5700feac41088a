// Program standins plays the cases of the third review: it starts the program under test and
// stands in for the platform's store, the replicas and the callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxTime = 110 * time.Second
	// endTime is left after maxTime for the end of a case.
	endTime = 5 * time.Second
)

// world is what a case plays with.
type world struct {
	binary, dir string
	trouble     bool
	record      *record
	store       *store
	nodes       []*node
}

var cases = map[string]func(context.Context, *world) (int, error){
	"entry":    entry,
	"silent":   silent,
	"stopped":  stopped,
	"upgraded": upgraded,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE PROGRAM RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, recordPath string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTime := context.WithTimeout(ctx, maxTime)
	defer cancelTime()
	w := &world{trouble: os.Getenv("TROUBLE") != "0"}
	defer w.end()
	watchdog := time.AfterFunc(maxTime+endTime, func() {
		fmt.Fprintln(os.Stderr, "the case could not run: it did not end in time")
		w.end()
		os.Exit(notRun)
	})
	defer watchdog.Stop()
	code, err := w.run(ctx, name, binary, recordPath)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return notRun
	}
	return code
}

func (w *world) run(ctx context.Context, name, binary, recordPath string) (int, error) {
	var err error
	if w.binary, err = filepath.Abs(binary); err != nil {
		return notRun, err
	}
	if w.record, err = newRecord(recordPath); err != nil {
		return notRun, err
	}
	if w.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return notRun, err
	}
	if w.store, err = newStore(ctx); err != nil {
		return notRun, err
	}
	return cases[name](ctx, w)
}

// startNodes starts nodes and waits until all are ready.
func (w *world) startNodes(count int) error {
	for i := range count {
		n, err := newNode(w.dir, i, w.store.address)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(w.binary); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return err
		}
		w.record.write("%s is ready", n.name)
	}
	return nil
}

// end stops all processes and removes what they have written, unless KEEP is set.
func (w *world) end() {
	for _, n := range w.nodes {
		n.stop()
	}
	if w.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, arguments ...any) {
	w.record.write(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
