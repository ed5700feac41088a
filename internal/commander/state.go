package commander

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/storer"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/internal/validator"
)

// FollowCommand waits until a version is in force on every node.
type FollowCommand struct {
	PlatformOptions
	Version uint64        `arg:"--version" help:"version to wait for; default: the newest" placeholder:"VERSION"`
	Timeout time.Duration `arg:"--for" default:"30s" help:"maximum wait" placeholder:"DURATION"`
}

// StateCommand shows the state of the fleet.
type StateCommand struct {
	PlatformOptions
	JSON  bool     `arg:"--json" help:"print the states of all nodes as JSON"`
	Peers []string `arg:"--peer,separate,env:TOUCANHITCH_PEERS" help:"peer address of a node to query, repeatable, instead of the platform's list, for instance during an outage of the platform" placeholder:"IP:PORT"`
}

// nodeState is the part of a node's state that is shown.
type nodeState struct {
	Node        string
	DataCentre  string
	Region      string
	Version     uint64
	NoteVersion uint64
	Current     bool
	Draining    bool
	Relay       bool
	Leases      []string
	Waiting     int
	Running     int
	Contacts    map[string]string
	Peers       []any
	Endpoints   []endpointState
	Troubles    []troubleState
	Placement   any `json:",omitempty"`
}

type troubleState struct {
	Endpoint string
	Model    string
	Adapter  string
	Text     string
	Age      string
}

type endpointState struct {
	Endpoint   string
	Kind       string
	DataCentre string
	Phase      string
	Suspected  bool
	Age        string
	Queued     int
	Running    int
	Slots      int
	UsedMB     int
	MemoryMB   int
	Models     []tracker.ModelState
}

const (
	stateRequestTimeout = 2 * time.Second
	maxStateBytes       = 64 << 20
	// maxConcurrentStateRequests limits the nodes that are queried
	// concurrently.
	maxConcurrentStateRequests = 64
	followInterval             = 200 * time.Millisecond
)

// nodeResult is the result of querying a node for its state: either the state or
// an error.
type nodeResult struct {
	instance tracker.Instance
	state    nodeState
	err      error
}

// nodeResults queries every live entry instance for its state, and returns the
// results sorted by name.
func (p PlatformOptions) nodeResults(env environment) ([]nodeResult, error) {
	store, cleanUp := storer.New(p.Platform, env.clock)
	defer cleanUp()
	list, err := store.Instances(env.ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	var results []nodeResult
	for _, instance := range list.Instances {
		if instance.Kind == tracker.Entry && instance.Phase == tracker.Live {
			results = append(results, nodeResult{instance: instance})
		}
	}
	slices.SortFunc(results, func(a, b nodeResult) int { return strings.Compare(a.instance.Name, b.instance.Name) })
	readStates(env, results)
	return results, nil
}

// readStates queries the nodes and fills in their states and errors. It sends at
// most maxConcurrentStateRequests at a time.
func readStates(env environment, results []nodeResult) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentStateRequests)
	for i := range results {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i].state, results[i].err = readState(env, results[i].instance.PeerAddress)
		})
	}
	group.Wait()
}

func readState(env environment, address string) (nodeState, error) {
	ctx, cancel := clockwork.WithTimeout(env.ctx, env.clock, stateRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nodeState{}, merry.Wrap(err)
	}
	request.Close = true
	response, err := validator.NewTransport(&http.Transport{}).RoundTrip(request)
	if err != nil {
		return nodeState{}, merry.Wrap(err)
	}
	defer response.Body.Close()
	return encoder.DecodeFrom[nodeState](response.Body, maxStateBytes)
}

func (c *FollowCommand) run(env environment) error {
	if err := c.check(false); err != nil {
		return err
	}
	version := c.Version
	if version == 0 {
		publisher, cleanUp := c.publisher(env)
		defer cleanUp()
		log, err := publisher.Read(env.ctx)
		if err != nil {
			return err
		}
		version = log.Configuration.Version
	}
	return waitForVersion(env, c.PlatformOptions, version, c.Timeout)
}

// waitForVersion waits until a version is in force on every live node. It
// returns ErrNotInForce after the timeout, and nil at once if the timeout is 0.
func waitForVersion(env environment, platform PlatformOptions, version uint64, timeout time.Duration) error {
	if timeout <= 0 {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(env.ctx, env.clock, timeout)
	defer cancel()
	started := env.clock.Now()
	lastProgress := ""
	for {
		results, err := platform.nodeResults(env)
		if err != nil {
			return err
		}
		lagging := laggingNodes(results, version)
		progress := fmt.Sprintf("version %d is in force on %d of %d nodes", version, len(results)-len(lagging), len(results))
		if progress != lastProgress {
			fmt.Fprintf(env.stderr, "%6s  %s\n", env.clock.Since(started).Round(time.Millisecond), progress)
			lastProgress = progress
		}
		if len(lagging) == 0 && len(results) > 0 {
			return nil
		}
		if !sleep(ctx, env.clock, followInterval) {
			if len(results) == 0 {
				lagging = []string{"the platform lists no live node"}
			}
			return merry.Wrap(ErrNotInForce, merry.AppendMessage(strings.Join(lagging, "; ")))
		}
	}
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, clock clockwork.Clock, duration time.Duration) bool {
	select {
	case <-clock.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// laggingNodes describes the nodes that cannot be reached or have an older
// version.
func laggingNodes(results []nodeResult, version uint64) []string {
	var lagging []string
	for _, node := range results {
		switch {
		case node.err != nil:
			lagging = append(lagging, node.instance.Name+" cannot be reached")
		case node.state.Version < version:
			lagging = append(lagging, fmt.Sprintf("%s has version %d", node.instance.Name, node.state.Version))
		}
	}
	return lagging
}

func (c *StateCommand) run(env environment) error {
	results, err := c.readNodes(env)
	if err != nil {
		return err
	}
	if c.JSON {
		states := []nodeState{}
		for _, node := range results {
			if node.err == nil {
				states = append(states, node.state)
			}
		}
		return printJSON(env, states)
	}
	if err := printNodes(env, results); err != nil {
		return err
	}
	if err := printEndpoints(env, results); err != nil {
		return err
	}
	return printTroubles(env, results)
}

// readNodes queries the nodes in c.Peers or, if it is empty, those in the
// platform's list.
func (c *StateCommand) readNodes(env environment) ([]nodeResult, error) {
	if len(c.Peers) == 0 {
		if err := c.check(false); err != nil {
			return nil, err
		}
		return c.nodeResults(env)
	}
	var errs settingErrors
	var results []nodeResult
	for _, peer := range c.Peers {
		errs.checkAddress("--peer", peer)
		results = append(results, nodeResult{instance: tracker.Instance{Name: peer, PeerAddress: peer}})
	}
	if err := errs.err(); err != nil {
		return nil, err
	}
	readStates(env, results)
	return results, nil
}

func printTroubles(env environment, results []nodeResult) error {
	var rows []troubleState
	for _, node := range results {
		rows = append(rows, node.state.Troubles...)
	}
	if len(rows) == 0 {
		return nil
	}
	fmt.Fprintln(env.stdout)
	return printTable(env, "TROUBLE AT\tMODEL\tSINCE\tWHAT", rows, func(row troubleState) string {
		return fmt.Sprintf("%s\t%s %s\t%s\t%s", row.Endpoint, row.Model, row.Adapter, row.Age, row.Text)
	})
}

func printNodes(env environment, results []nodeResult) error {
	return printTable(env, "NODE\tDATA CENTRE\tVERSION\tNOTE\tCURRENT\tWAITING\tRUNNING\tDUTIES", results, func(node nodeResult) string {
		if node.err != nil {
			return fmt.Sprintf("%s\t%s\tnot reached: %v\t\t\t\t\t", node.instance.Name, node.instance.DataCentre, node.err)
		}
		state := node.state
		duties := slices.Clone(state.Leases)
		if state.Relay {
			duties = append(duties, "relay")
		}
		if state.Draining {
			duties = append(duties, "leaving")
		}
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%t\t%d\t%d\t%s", state.Node, state.DataCentre, state.Version,
			state.NoteVersion, state.Current, state.Waiting, state.Running, strings.Join(duties, ", "))
	})
}

// printEndpoints prints the endpoints from the state of the first reachable node
// of each region.
func printEndpoints(env environment, results []nodeResult) error {
	printedRegions := map[string]bool{}
	var rows []endpointState
	for _, node := range results {
		if node.err != nil || printedRegions[node.state.Region] {
			continue
		}
		printedRegions[node.state.Region] = true
		rows = append(rows, node.state.Endpoints...)
	}
	fmt.Fprintln(env.stdout)
	return printTable(env, "ENDPOINT\tKIND\tDATA CENTRE\tPHASE\tBUSY\tMEMORY MB\tMODELS", rows, func(row endpointState) string {
		phase := row.Phase
		if row.Suspected {
			phase += ", suspected"
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d/%d+%d\t%d/%d\t%s", row.Endpoint, row.Kind, row.DataCentre, phase,
			row.Running, row.Slots, row.Queued, row.UsedMB, row.MemoryMB, describeModels(row.Models))
	})
}

func describeModels(models []tracker.ModelState) string {
	var parts []string
	for _, model := range models {
		part := model.Model
		if model.State != tracker.Loaded {
			part += " (" + string(model.State) + ")"
		}
		for _, adapter := range model.Adapters {
			part += " +" + adapter.Adapter
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}
