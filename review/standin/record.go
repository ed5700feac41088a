package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens in a case to a file, one line for each event.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

// printf writes a line that begins with the seconds since the start of the case.
func (r *record) printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// since returns a time as seconds since the start of the case.
func (r *record) since(t time.Time) float64 { return t.Sub(r.startedAt).Seconds() }
