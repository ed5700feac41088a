package soaker

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	otherBinary    = flag.String("soak.other", "", "binary of another build for TestSoakOfTwoBuilds; today's with reports in the form of 6c37a91 by default")
	twoBuildsSeeds = flag.Uint64("soak.two", 1, "number of seeds of TestSoakOfTwoBuilds")
)

// twoBuildsNetwork is the network of the first deployment with nodes of two builds.
const twoBuildsNetwork = 220

// TestSoakOfTwoBuilds guards against guarantees that are violated while nodes of two builds
// serve side by side. Half of the nodes start with the other build, and each process that is
// killed or terminated is replaced by one of the build that it was not of, so that upgrades and
// rollbacks overlap with each other and with the faults of TestSoak.
func TestSoakOfTwoBuilds(t *testing.T) {
	binary, other := buildBinary(t), *otherBinary
	if other == "" {
		other = buildEarlierForm(t)
	}
	for i := range *twoBuildsSeeds {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, other, seed, twoBuildsNetwork+int(i%20))
		})
	}
}

// TestTwoBuildsShareNodes guards against nodes of two builds that do not hear each other: each
// names only nodes of its own build to callers then, at the end of an upgrade only nodes that
// leave.
func TestTwoBuildsShareNodes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), twoBuildsNetwork+20, 4)
	if d.otherBinary = *otherBinary; d.otherBinary == "" {
		d.otherBinary = buildEarlierForm(t)
	}
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	for _, n := range d.nodes {
		for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			named := d.namedNodes(n)
			if len(named) == len(d.nodes) {
				break
			}
			if time.Now().After(deadline) {
				t.Errorf("%s names %v to callers, want %d nodes", n.name, named, len(d.nodes))
				break
			}
		}
	}
}

// namedNodes returns the addresses for callers that a node names.
func (d *deployment) namedNodes(n *node) []string {
	response, err := http.Get("http://" + n.address(directoryPort) + "/toucanhitch/resolve?name=" + soakHost + "&region=r1&zone=z1")
	if err != nil {
		d.t.Fatal(err)
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		d.t.Fatal(err)
	}
	return answer.Addresses
}

// buildEarlierForm builds the program with reports in the form of 6c37a91 only.
func buildEarlierForm(t *testing.T) string {
	dir := t.TempDir()
	added, err := filepath.Abs("../messenger/earlier.go")
	if err != nil {
		t.Fatal(err)
	}
	source, overlay := filepath.Join(dir, "earlier.go"), filepath.Join(dir, "overlay.json")
	replacements, err := json.Marshal(map[string]map[string]string{"Replace": {added: source}})
	if err != nil {
		t.Fatal(err)
	}
	for path, content := range map[string]string{
		source:  "package messenger\n\nfunc init() { reportForms = []Form{FormV5} }\n",
		overlay: string(replacements),
	} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	binary := filepath.Join(dir, "toucanhitch")
	output, err := exec.Command("go", "build", "-overlay", overlay, "-o", binary, "toucanhitch.example/toucanhitch/cmd/toucanhitch").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return binary
}

// binaryOf returns the program of a node's next process.
func (d *deployment) binaryOf(n *node) string {
	if d.otherBinary == "" || (n.index+int(n.starts.Load()))%2 == 0 {
		return d.binary
	}
	return d.otherBinary
}
