// Command standins-2 plays the scripts of the second review: it starts nodes as separate
// processes among stand-ins of the platform's store, of replicas and of requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// The exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// scripts are the cases by name.
var scripts = map[string]func(play *Play) int{
	"streams":  playStreams,
	"joined":   playJoined,
	"moved":    playMoved,
	"resized":  playResized,
	"restored": playRestored,
}

// Play is what a script is started with.
type Play struct {
	Binary, Folder string
	Record         *Record
	Trouble        bool

	mu    sync.Mutex
	fleet *Fleet
}

func (p *Play) setFleet(fleet *Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = fleet
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 SCRIPT NODE-PROGRAM TEMPORARY-FOLDER RECORD")
		os.Exit(failed)
	}
	script, known := scripts[os.Args[1]]
	record, err := NewRecord(os.Args[4])
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "unknown script, or no record:", err)
		os.Exit(failed)
	}
	play := &Play{Binary: os.Args[2], Folder: os.Args[3], Record: record, Trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- script(play) }()
	code := failed
	select {
	case code = <-result:
	case <-signals:
	}
	play.mu.Lock()
	defer play.mu.Unlock()
	if play.fleet != nil {
		play.fleet.Stop()
	}
	os.Exit(code)
}
