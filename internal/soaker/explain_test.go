package soaker

import (
	"context"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"
)

// TestExplainByCommand guards against a command that does not get the answer of a node on the
// users' platform, that does not ask the holder where a model would be loaded, that shows a
// key, that sends or loads something, or that ends with exit code 0 after an error.
func TestExplainByCommand(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, buildBinary(t), 196, 2)
	for _, n := range d.nodes {
		d.start(n)
		defer n.stop()
	}
	d.awaitReady()
	explain := func(n *node, arguments ...string) (string, error) {
		output, err := exec.Command(d.binary, append([]string{"explain", "--node", n.address(peersPort)}, arguments...)...).CombinedOutput()
		for _, key := range d.keys {
			if strings.Contains(string(output), key) {
				t.Errorf("the output contains a key: %s", output)
			}
		}
		return string(output), err
	}
	await := func(n *node, pattern string, arguments ...string) {
		deadline := time.Now().Add(15 * time.Second)
		for {
			output, err := explain(n, arguments...)
			if err == nil && regexp.MustCompile(pattern).MatchString(output) {
				t.Logf("%v at %s:\n%s", arguments, n.name, output)
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%v at %s: got %v and %s; want %q", arguments, n.name, err, output, pattern)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	request := []string{"--route", "r/stream/", "--workspace", "tenant-1", "--prompt-tokens", "100", "--output-tokens", "50", "--model"}
	for _, n := range d.nodes {
		await(n, `Service llm \(100% of the route\): placed`, append(request, "m1")...)
		// The first copy of a model is loaded soon after the start. Until then, the holder
		// answers for both nodes.
		await(n, `Load: (none now: |i-\d \(z1\) would load )|: placed`, append(request, "m5")...)
		await(n, `"Outcome":"placed"`, append(request, "m1", "--json")...)
		await(n, `Service app \(100% of the route\): placed`, "--host", soakHost, "--path", "/safe/x", "--workspace", "tenant-1")
	}
	for text, arguments := range map[string][]string{
		`route "none"`:     {"--route", "none", "--workspace", "tenant-1"},
		`workspace "none"`: {"--route", "r/stream/", "--workspace", "none"},
		`model "none"`:     append(request, "none"),
	} {
		if output, err := explain(d.nodes[0], arguments...); err == nil || !strings.Contains(output, "not in the configuration: "+text) {
			t.Errorf("%v: got %v and %s; want an error with %s", arguments, err, output, text)
		}
	}
	for _, r := range d.replicas {
		if runs := r.emulated.Runs(); len(runs) > 0 {
			t.Errorf("%s got %d requests from questions", r.id, len(runs))
		}
	}
	d.nodes[1].stop()
	if output, err := explain(d.nodes[1], append(request, "m1")...); err == nil || !strings.Contains(output, "peer did not answer") {
		t.Errorf("a node that has ended: got %v and %s", err, output)
	}
}
