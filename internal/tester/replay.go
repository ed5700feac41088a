package tester

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"golang.org/x/tools/txtar"
)

// Start is the time at which every script begins.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Controller is the part of runner.Controller that a script drives.
type Controller[M, E any] interface {
	Step(now time.Time, message M) []E
	Wake() time.Time
}

// Suite describes how to replay the scripts of one controller.
type Suite[M, E any] struct {
	// Directory holds the *.txtar scripts and their *.golden traces.
	Directory string
	// New returns the controller for a script's setup file (nil if absent).
	New func(t *testing.T, setup []byte) Controller[M, E]
	// Messages holds one value of every message type that scripts may use.
	Messages []M
	// Tick is the message delivered when the controller's wake time passes
	// between two lines of a script.
	Tick M
}

// Replay runs every script of the suite as a subtest and compares its trace
// with the golden file of the same name. Each line of a script reads
// "<offset> <MessageType> [<JSON>]", where the offset is a duration since
// Start that never decreases. A "!" before the offset means that no ticks are
// delivered before the line, as after a pause of the whole process. Lines that
// start with # are comments and are copied to the trace.
func Replay[M, E any](t *testing.T, suite Suite[M, E]) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(suite.Directory, "*.txtar"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts in %s: %v", suite.Directory, err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			golden := goldie.New(t, goldie.WithFixtureDir(suite.Directory))
			golden.Assert(t, name, suite.trace(t, archive))
		})
	}
}

func (s Suite[M, E]) trace(t *testing.T, archive *txtar.Archive) []byte {
	t.Helper()
	controller := s.New(t, File(archive, "setup"))
	run := replayer[M, E]{controller: controller, tick: s.Tick}
	for number, line := range strings.Split(string(File(archive, "script")), "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "":
		case strings.HasPrefix(line, "#"):
			fmt.Fprintln(&run.trace, line)
		default:
			line, paused := strings.CutPrefix(line, "!")
			at, message, err := s.parse(line)
			if err != nil {
				t.Fatalf("script line %d: %v", number+1, err)
			}
			if !paused {
				run.advance(at)
			}
			run.step(at, message)
		}
	}
	return run.trace.Bytes()
}

// File returns the named file of an archive, or nil.
func File(archive *txtar.Archive, name string) []byte {
	for _, file := range archive.Files {
		if file.Name == name {
			return file.Data
		}
	}
	return nil
}

func (s Suite[M, E]) parse(line string) (time.Duration, M, error) {
	var message M
	fields := strings.SplitN(line, " ", 3)
	if len(fields) < 2 {
		return 0, message, fmt.Errorf("%q: want an offset and a message", line)
	}
	at, err := time.ParseDuration(fields[0])
	if err != nil {
		return 0, message, err
	}
	for _, prototype := range s.Messages {
		messageType := reflect.TypeOf(prototype)
		if messageType.Name() != fields[1] {
			continue
		}
		value := reflect.New(messageType)
		if len(fields) == 3 {
			decoder := json.NewDecoder(strings.NewReader(fields[2]))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(value.Interface()); err != nil {
				return 0, message, fmt.Errorf("%s: %w", fields[1], err)
			}
		}
		return at, value.Elem().Interface().(M), nil
	}
	return 0, message, fmt.Errorf("unknown message %q", fields[1])
}

// maxTicks bounds the ticks between two script lines, so that a controller whose
// wake time never advances fails the test instead of looping forever.
const maxTicks = 10_000

type replayer[M, E any] struct {
	controller Controller[M, E]
	tick       M
	trace      bytes.Buffer
}

// advance delivers ticks for every wake time before the given offset.
func (r *replayer[M, E]) advance(offset time.Duration) {
	previous := time.Time{}
	for range maxTicks {
		wake := r.controller.Wake()
		if wake.IsZero() || !wake.Before(Start.Add(offset)) {
			return
		}
		if wake.Before(previous) {
			wake = previous
		}
		previous = wake
		r.step(wake.Sub(Start), r.tick)
	}
	fmt.Fprintf(&r.trace, "%s: more than %d ticks\n", offset, maxTicks)
}

func (r *replayer[M, E]) step(at time.Duration, message M) {
	fmt.Fprintf(&r.trace, "%s %s\n", at, describe(message))
	for _, effect := range r.controller.Step(Start.Add(at), message) {
		fmt.Fprintf(&r.trace, "    -> %s\n", describe(effect))
	}
}

func describe(value any) string {
	name := reflect.TypeOf(value).Name()
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprintf("%s %+v", name, value)
	}
	if string(encoded) == "{}" {
		return name
	}
	return name + " " + string(encoded)
}
