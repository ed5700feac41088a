// Command standin plays the cases of the review: it starts nodes of the system as separate
// processes between small stand-ins of the users' store, replicas and requesters, and
// checks one rule from what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case. Err is set if the case could not run.
type verdict struct {
	Broken []string
	Err    error
}

// cases holds the function of each case. trouble is false if the disruption is left out.
var cases = map[string]func(f *fleet, trouble bool) verdict{
	"long-stream-at-stop": longStreamAtStop,
	"withdrawn-model":     withdrawnModel,
	"idle-channels":       idleChannels,
	"failing-replica":     failingReplica,
	"lost-holder":         lostHolder,
}

func main() {
	name := flag.String("case", "", "name of the case")
	directory := flag.String("directory", "", "directory of the record")
	flag.Parse()
	os.Exit(play(*name, *directory, os.Getenv("TROUBLE") != "0"))
}

func play(name, directory string, trouble bool) int {
	body, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(directory, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.printf("case %s, with the disruption: %t", name, trouble)
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close(os.Getenv("REVIEW_LOGS"))
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupts
		f.close("")
		os.Exit(exitNotRun)
	}()
	result := body(f, trouble)
	switch {
	case result.Err != nil:
		r.printf("NOT RUN: %v", result.Err)
		fmt.Println("not run:", result.Err)
		return exitNotRun
	case len(result.Broken) > 0:
		for _, text := range result.Broken {
			r.printf("BROKEN: %s", text)
			fmt.Println("broken:", text)
		}
		return exitBroken
	}
	r.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
