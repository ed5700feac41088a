package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// Node is one process of the project's own program.
type Node struct {
	Name, IP, Zone string
	Front          string

	settings string
	binary   string
	log      io.Writer
	ports    ports
	store    string

	mu      sync.Mutex
	process *os.Process
	// ended is closed when the process has ended. closed is set once the node must not start
	// again.
	ended  chan struct{}
	closed bool
}

var errClosed = errors.New("the script ends")

type ports struct{ front, ready, control, directory, internal int }

// Start starts the process with the command of the deploy file.
func (n *Node) Start(first bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return errClosed
	}
	if err := os.WriteFile(n.settings, []byte(n.settingsText(first)), 0o600); err != nil {
		return err
	}
	command := exec.Command(n.binary, "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(n.settings), "TOUCANHITCH_CONFIG=" + n.settings}
	// The program starts in the root of the repository.
	command.Dir = filepath.Dir(filepath.Dir(n.binary))
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = command.Process, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process. The channel is closed when the process has ended.
func (n *Node) Signal(signal os.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(signal)
	return n.ended
}

// Close ends the process at once and for good.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	if n.process != nil {
		<-n.Signal(os.Kill)
	}
}

// Ready reports whether the node says that it is ready.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/toucanhitch/readyz", n.IP, n.ports.ready))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *Node) settingsText(first bool) string {
	return fmt.Sprintf(`node-name = %q
role = "node"
machine-class = "frontend"
serves = ["frontend","registry"]
ip = %q
zone = %q
region = "north"
internal-ports = [%d,%d]
seeds = []
bootstrap = %t
loss-counts = false
discovery = "platform"
entry = "registry"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
a = "north"
b = "north"
c = "north"
[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
directory = "%s:%d"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 52
quota-window-s = 8
quota-overage = 0.1
quota-slack = 110000
recover-s = 12
pass-ms = 120
retry-after-s = 0
fencing-enforced = false
lease-ms = 3000
thaw-ms = 300
ceiling-window-s = 5
origin-overage = 1.1
ttl_max_s = 5
[platform]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
`, n.Name, n.IP, n.Zone, n.ports.internal, n.ports.internal+1, first,
		n.IP, n.ports.front, n.IP, n.ports.ready, n.IP, n.ports.control, n.IP, n.ports.directory, n.store)
}
