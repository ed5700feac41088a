package commander_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"toucanhitch.example/toucanhitch/internal/tester"
)

// TestScripts runs the scripts of testdata/script against separate processes
// over loopback sockets.
//
// In addition to testscript's own commands a script can use:
//
//	start NAME COMMAND...              starts a process in the background
//	signal NAME SIGNAL [CODE]          signals a process and, with a code, waits for that exit code
//	within DURATION COMMAND...         repeats a command until it succeeds
//	match DURATION REGEXP COMMAND...   repeats a command until its output matches
//	capture VARIABLE REGEXP COMMAND... sets a variable to the first submatch of the output
//	lacks NAME TEXT                    fails if the output of the process contains the text
//	wrote NAME REGEXP                  fails unless the output of the process matches
//	prefixes N ADDRESS...              fails unless the engines have stored N prefixes in total
//	fleet N [OPTION...]                starts the platform, and N nodes in N data centres
//
// The variables PLATFORM, NODE1 to NODE6 and PEER1 to PEER6 hold loopback
// addresses with free ports for the platform and the nodes, and PORT1 to PORT6
// such addresses for endpoints.
func TestScripts(t *testing.T) {
	binaries := build(t)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			processes := &processes{running: map[string]*process{}}
			env.Values[processesKey{}] = processes
			env.Defer(processes.killAll)
			env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
			setAddresses(t, env)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":   start,
			"signal":  signalProcess,
			"within":  within,
			"match":   match,
			"capture": capture,
			"lacks":   lacks,
			"wrote":   wrote,
			"fleet":   fleet,

			"prefixes": prefixes,
		},
	})
}

func build(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	command := exec.Command("go", "build", "-o", directory, "../../cmd/toucanhitch", "../../cmd/standin")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return directory
}

const addressesPerKind = 6

func setAddresses(t *testing.T, env *testscript.Env) {
	names := []string{"PLATFORM"}
	for i := 1; i <= addressesPerKind; i++ {
		names = append(names, fmt.Sprint("NODE", i), fmt.Sprint("PEER", i), fmt.Sprint("PORT", i))
	}
	for _, name := range names {
		env.Setenv(name, tester.FreeAddress(t))
	}
	env.Setenv("TOUCANHITCH_PLATFORM", env.Getenv("PLATFORM"))
	env.Setenv("STANDIN_PLATFORM", env.Getenv("PLATFORM"))
	env.Setenv("TOUCANHITCH_ACTOR", "tester")
	env.Setenv("TOUCANHITCH_REGION", "pl-north")
	env.Setenv("STANDIN_REGION", "pl-north")
}

type processesKey struct{}

// processes are the background processes that a script has started.
type processes struct {
	running map[string]*process
}

type process struct {
	command *exec.Cmd
	output  *syncBuffer
	done    chan struct{}
}

type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

func (p *processes) killAll() {
	for _, process := range p.running {
		_ = process.command.Process.Kill()
		<-process.done
	}
}

func processesFrom(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

func start(ts *testscript.TestScript, _ bool, arguments []string) {
	name, path := arguments[0], binaryPath(ts, arguments[1])
	command := exec.Command(path, arguments[2:]...)
	command.Env = environment(ts)
	command.Dir = ts.MkAbs(".")
	output := &syncBuffer{}
	command.Stdout, command.Stderr = output, output
	ts.Check(command.Start())
	started := &process{command: command, output: output, done: make(chan struct{})}
	processesFrom(ts).running[name] = started
	go func() {
		_ = command.Wait()
		close(started.done)
	}()
}

func binaryPath(ts *testscript.TestScript, name string) string {
	path := filepath.Join(filepath.SplitList(ts.Getenv("PATH"))[0], name)
	if _, err := os.Stat(path); err != nil {
		ts.Fatalf("%s is not one of the programs under test", name)
	}
	return path
}

func environment(ts *testscript.TestScript) []string {
	var variables []string
	for _, name := range []string{"PATH", "HOME", "TOUCANHITCH_PLATFORM", "STANDIN_PLATFORM", "TOUCANHITCH_ACTOR", "TOUCANHITCH_REGION", "STANDIN_REGION", "STANDIN_KEY"} {
		variables = append(variables, name+"="+ts.Getenv(name))
	}
	return variables
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

const exitTimeout = 60 * time.Second

func signalProcess(ts *testscript.TestScript, _ bool, arguments []string) {
	target, ok := processesFrom(ts).running[arguments[0]]
	if !ok {
		ts.Fatalf("%s was not started", arguments[0])
	}
	if err := target.command.Process.Signal(signals[arguments[1]]); !errors.Is(err, os.ErrProcessDone) {
		ts.Check(err)
	}
	if len(arguments) < 3 {
		return
	}
	select {
	case <-target.done:
	case <-time.After(exitTimeout):
		ts.Fatalf("%s is still running %s after the signal", arguments[0], exitTimeout)
	}
	if got := strconv.Itoa(target.command.ProcessState.ExitCode()); got != arguments[2] {
		ts.Fatalf("%s exited with code %s; want %s\n%s", arguments[0], got, arguments[2], target.output)
	}
}

const retryInterval = 100 * time.Millisecond

// retryUntil runs a command until accept returns true for its output and error,
// and returns the last output. It fails the script after the limit.
func retryUntil(ts *testscript.TestScript, limit string, arguments []string, accept func(string, error) bool) string {
	timeout, err := time.ParseDuration(limit)
	ts.Check(err)
	deadline := time.Now().Add(timeout)
	for {
		command := exec.Command(binaryPath(ts, arguments[0]), arguments[1:]...)
		command.Env = environment(ts)
		command.Dir = ts.MkAbs(".")
		output, err := command.CombinedOutput()
		if accept(string(output), err) {
			return string(output)
		}
		if time.Now().After(deadline) {
			logOutputs(ts)
			state := exec.Command(binaryPath(ts, "toucanhitch"), "state")
			state.Env = environment(ts)
			stateOutput, _ := state.CombinedOutput()
			ts.Logf("state:\n%s", stateOutput)
			ts.Fatalf("%s: condition not met within %s: %v\n%s", strings.Join(arguments, " "), limit, err, output)
		}
		time.Sleep(retryInterval)
	}
}

func logOutputs(ts *testscript.TestScript) {
	for name, process := range processesFrom(ts).running {
		output := process.output.String()
		ts.Logf("%s wrote:\n%s", name, output[max(0, len(output)-4000):])
	}
}

func within(ts *testscript.TestScript, _ bool, arguments []string) {
	retryUntil(ts, arguments[0], arguments[1:], func(_ string, err error) bool { return err == nil })
}

func match(ts *testscript.TestScript, neg bool, arguments []string) {
	pattern := regexp.MustCompile(arguments[1])
	output := retryUntil(ts, arguments[0], arguments[2:], func(output string, err error) bool {
		var exit *exec.ExitError
		return (err == nil || errors.As(err, &exit)) && pattern.MatchString(output) != neg
	})
	ts.Logf("%s", output)
}

func capture(ts *testscript.TestScript, _ bool, arguments []string) {
	pattern := regexp.MustCompile(arguments[1])
	output := retryUntil(ts, "10s", arguments[2:], func(output string, err error) bool {
		return err == nil && pattern.MatchString(output)
	})
	ts.Setenv(arguments[0], pattern.FindStringSubmatch(output)[1])
}

func lacks(ts *testscript.TestScript, _ bool, arguments []string) {
	process, ok := processesFrom(ts).running[arguments[0]]
	if !ok {
		ts.Fatalf("%s was not started", arguments[0])
	}
	if arguments[1] == "" || strings.Contains(process.output.String(), arguments[1]) {
		ts.Fatalf("output of %s contains %q, or the text is empty", arguments[0], arguments[1])
	}
}

func wrote(ts *testscript.TestScript, _ bool, arguments []string) {
	process, ok := processesFrom(ts).running[arguments[0]]
	if !ok {
		ts.Fatalf("%s was not started", arguments[0])
	}
	if output := process.output.String(); !regexp.MustCompile(arguments[1]).MatchString(output) {
		logOutputs(ts)
		ts.Fatalf("output of %s does not match %q:\n%s", arguments[0], arguments[1], output)
	}
}

// fleet starts the platform and nodes, and waits until all nodes are current.
func fleet(ts *testscript.TestScript, _ bool, arguments []string) {
	count, err := strconv.Atoi(arguments[0])
	ts.Check(err)
	options := append([]string{"platform", "standin", "platform", "--listen", ts.Getenv("PLATFORM"), "--list-lag", "200ms"}, arguments[1:]...)
	start(ts, false, options)
	for i := 1; i <= count; i++ {
		startNode(ts, i)
	}
	current := regexp.MustCompile(`(?m)^node-\d+ .* true `)
	retryUntil(ts, "20s", []string{"toucanhitch", "state"}, func(output string, _ error) bool {
		return len(current.FindAllString(output, -1)) == count
	})
}

func startNode(ts *testscript.TestScript, i int) {
	name, dataCentre := fmt.Sprintf("node-%d", i), fmt.Sprintf("dc-%d", i)
	caller, peer := ts.Getenv(fmt.Sprint("NODE", i)), ts.Getenv(fmt.Sprint("PEER", i))
	within(ts, false, []string{
		"10s", "standin", "register", "--platform", ts.Getenv("PLATFORM"), "--name", name,
		"--address", caller, "--peer-address", peer, "--data-centre", dataCentre, "--region", "pl-north",
	})
	start(ts, false, []string{
		name, "toucanhitch", "node", "--name", name, "--data-centre", dataCentre,
		"--caller-address", caller, "--peer-address", peer,
	})
}
