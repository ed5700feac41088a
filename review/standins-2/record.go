package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	runs    []Run
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Ran records that a replica begins to run a request from an event on.
func (r *Record) Ran(run Run, first int) {
	r.Printf("replica %s (version %s) runs request %s of tenant %q from event %d", run.Replica, run.Version, run.Attempt, run.Tenant, first)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// RunOf returns the first run of a request.
func (r *Record) RunOf(attempt string) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.Attempt == attempt {
			return run, true
		}
	}
	return Run{}, false
}
