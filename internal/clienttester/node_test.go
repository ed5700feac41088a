package clienttester

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/emulator"
	"toucanhitch.example/toucanhitch/internal/tester"
)

const (
	// memoryMB and maxDescriptors are the limits in the node's settings and the bounds
	// of the tests. The smallest instances have 144 MB and 3,075 descriptors; less shows
	// a fault with fewer clients.
	memoryMB       = 64
	maxDescriptors = 400
	// maxHeaderBytes is the limit of a head in the configuration.
	maxHeaderBytes = 16_384
	// answerTime is how long the replica holds a request.
	answerTime = 700 * time.Millisecond
	// bigAnswerBytes is the size of an answer below bigPath.
	bigAnswerBytes = 1 << 20
	bigPath        = "/big/"
	host           = "h.example"
	serviceName    = "app"
)

// node is a node process with its store and one replica.
type node struct {
	t       *testing.T
	command *exec.Cmd
	logs    *bytes.Buffer
	exited  chan struct{}
	// callers, readiness, directory and peers are its addresses.
	callers, readiness, directory, peers string
	// maxOpen is the largest number of descriptors that were seen open.
	maxOpen atomic.Int64
}

var (
	binaryPath string
	buildOnce  sync.Once
)

func buildBinary(t *testing.T) string {
	buildOnce.Do(func() {
		directory, err := os.MkdirTemp("", "clienttester")
		if err != nil {
			t.Fatal(err)
		}
		binaryPath = filepath.Join(directory, "toucanhitch")
		output, err := exec.Command("go", "build", "-o", binaryPath, "toucanhitch.example/toucanhitch/cmd/toucanhitch").CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, output)
		}
	})
	return binaryPath
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaryPath != "" {
		os.RemoveAll(filepath.Dir(binaryPath))
	}
	os.Exit(code)
}

// replicaHandler answers requests below bigPath with a large body, and all others as the
// stand-in does.
type replicaHandler struct {
	standIn atomic.Pointer[emulator.FleetReplica]
}

func (h *replicaHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) < len(bigPath) || r.URL.Path[:len(bigPath)] != bigPath {
		h.standIn.Load().ServeHTTP(w, r)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Seal", emulator.Seal("i-0", attempt))
	w.Header().Set("Content-Length", strconv.Itoa(bigAnswerBytes))
	_, _ = w.Write(make([]byte, bigAnswerBytes))
}

func serve(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// startNode starts a store, a replica and a node process, and waits until it answers.
func startNode(t *testing.T) *node {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	clock := clockwork.NewRealClock()
	store := emulator.NewFleetStore(ctx, clock)
	handler := &replicaHandler{}
	replica := emulator.NewFleetReplica(ctx, emulator.FleetReplicaSettings{
		ID: "i-0", Service: serviceName, Zone: "z1", Slots: 1000, AnswerTime: answerTime, Clock: clock, Address: serve(t, handler),
	})
	handler.standIn.Store(replica)
	go func() {
		for ctx.Err() == nil {
			store.Put("servers", "i-0", replica.Entry("ready"))
			time.Sleep(300 * time.Millisecond)
		}
	}()
	configure(store)
	port := tester.FreePorts(t, 14)
	address := func(offset int) string { return fmt.Sprint("127.0.0.1:", port+offset) }
	n := &node{
		t: t, logs: &bytes.Buffer{}, exited: make(chan struct{}),
		callers: address(0), readiness: address(1), directory: address(2), peers: address(3),
	}
	settings := fmt.Sprintf(`node-name = "node-0"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
internal-ports = [%d, %d]
bootstrap = true
[listen]
front = %q
ready = %q
directory = %q
[limits]
memory-mb = %d
max-fds = %d
[bounds]
revoke-ms = 5000
grace-s = 4
lease-ms = 3000
retry-budget-ratio = 0.2
budget-slack = 50
quota-slack = 100000
ttl_max_s = 5
[platform]
address = %q
`, port+3, port+12, n.callers, n.readiness, n.directory, memoryMB, maxDescriptors, serve(t, store))
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	n.command = exec.Command(buildBinary(t), "serve", "--settings", path)
	n.command.Stdout, n.command.Stderr = n.logs, n.logs
	if err := n.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.command.Wait()
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.command.Process.Kill()
		<-n.exited
	})
	n.awaitAnswer()
	return n
}

// configure writes a configuration whose limits are those of the deployments. No test
// depends on its times: they are lowered so that slow clients meet them.
func configure(store *emulator.FleetStore) {
	route := func(prefix string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "host": host, "path-prefix": prefix, "route-kind": "idempotent", "service": serviceName,
			"timeout-ms": 4000, "target-latency-ms": 1000, "max-attempts": 1, "public": true,
		}
	}
	store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{route("/safe/"), route(bigPath)},
		"services": []any{map[string]any{"name": serviceName, "max-conns": 1000}},
		"limits": map[string]any{
			"max-header-bytes": maxHeaderBytes, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 4000,
		},
		"tenants": []any{},
	})
}

// ask sends an ordinary request on a connection of its own and reports its status, 0 if
// there is no answer.
func (n *node) ask(header string) int {
	conn, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, header); err != nil {
		return 0
	}
	line := make([]byte, 64)
	read, _ := io.ReadAtLeast(conn, line, len("HTTP/1.1 200"))
	status := regexp.MustCompile(`^HTTP/1\.1 (\d+)`).FindSubmatch(line[:read])
	if status == nil {
		return 0
	}
	code, _ := strconv.Atoi(string(status[1]))
	return code
}

const ordinaryRequest = "GET /safe/ordinary HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: a-1\r\n\r\n"

// awaitAnswer repeats an ordinary request until it is answered. The time is long, so that
// other load on the machine does not matter.
func (n *node) awaitAnswer() {
	n.t.Helper()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-n.exited:
			n.t.Fatalf("the process has exited: %s", n.lastLogs())
		default:
		}
		if n.ask(ordinaryRequest) == http.StatusOK {
			return
		}
	}
	n.t.Fatalf("an ordinary request is not answered: %s", n.lastLogs())
}

func (n *node) lastLogs() string {
	_ = n.command.Process.Kill()
	<-n.exited
	return string(n.logs.Bytes()[max(0, n.logs.Len()-2000):])
}

// watchDescriptors records how many descriptors of the process are open until stop is
// called.
func (n *node) watchDescriptors() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
			n.maxOpen.Store(max(n.maxOpen.Load(), int64(len(entries))))
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// check checks that the process lives within its memory and descriptors.
func (n *node) check() {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		n.t.Fatalf("the process has exited: %v", err)
	}
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if peak == nil {
		n.t.Fatalf("no memory of the process: %s", n.lastLogs())
	}
	kilobytes, _ := strconv.Atoi(string(peak[1]))
	n.t.Logf("peak memory %d MB of %d, %d descriptors of %d", kilobytes>>10, memoryMB, n.maxOpen.Load(), maxDescriptors)
	if kilobytes>>10 > memoryMB {
		n.t.Errorf("peak memory %d MB, want at most %d", kilobytes>>10, memoryMB)
	}
	if open := n.maxOpen.Load(); open > maxDescriptors {
		n.t.Errorf("%d open descriptors, want at most %d", open, maxDescriptors)
	}
}
