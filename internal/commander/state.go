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
)

// FollowCommand waits for a version.
type FollowCommand struct {
	Platform
	Version uint64        `arg:"--version" help:"version to wait for; default: the newest" placeholder:"VERSION"`
	For     time.Duration `arg:"--for" default:"30s" help:"longest wait" placeholder:"DURATION"`
}

// StateCommand shows the state of the fleet.
type StateCommand struct {
	Platform
	JSON  bool     `arg:"--json" help:"print the states of all nodes as JSON"`
	Peers []string `arg:"--peer,separate,env:TOUCANHITCH_PEERS" help:"peer address to ask, repeatable, instead of the platform's list, for instance in its outage" placeholder:"IP:PORT"`
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
	stateTimeout  = 2 * time.Second
	maxStateBytes = 64 << 20
	// statesAtOnce bounds the nodes that are asked at the same time.
	statesAtOnce = 64
	followEvery  = 200 * time.Millisecond
)

// standing is where one node stands.
type standing struct {
	instance tracker.Instance
	state    nodeState
	err      error
}

// standings asks every live entry instance for its state.
func (p Platform) standings(env environment) ([]standing, error) {
	store, cleanUp := storer.New(p.Platform, env.clock)
	defer cleanUp()
	list, err := store.Instances(env.ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	var all []standing
	for _, instance := range list.Instances {
		if instance.Kind == tracker.Entry && instance.Phase == tracker.Live {
			all = append(all, standing{instance: instance})
		}
	}
	slices.SortFunc(all, func(a, b standing) int { return strings.Compare(a.instance.Name, b.instance.Name) })
	askAll(env, all)
	return all, nil
}

// askAll fills in the states, a bounded number at a time.
func askAll(env environment, all []standing) {
	var group sync.WaitGroup
	permits := make(chan struct{}, statesAtOnce)
	for i := range all {
		group.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			all[i].state, all[i].err = readState(env, all[i].instance.PeerAddress)
		})
	}
	group.Wait()
}

func readState(env environment, address string) (nodeState, error) {
	ctx, cancel := clockwork.WithTimeout(env.ctx, env.clock, stateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nodeState{}, merry.Wrap(err)
	}
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
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
	return followFor(env, c.Platform, version, c.For)
}

// followFor waits until a version is in force on every live node. A wait of 0
// does nothing.
func followFor(env environment, platform Platform, version uint64, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(env.ctx, env.clock, wait)
	defer cancel()
	started := env.clock.Now()
	reported := ""
	for {
		all, err := platform.standings(env)
		if err != nil {
			return err
		}
		behind := behindNodes(all, version)
		progress := fmt.Sprintf("version %d is in force on %d of %d nodes", version, len(all)-len(behind), len(all))
		if progress != reported {
			fmt.Fprintf(env.errors, "%6s  %s\n", env.clock.Since(started).Round(time.Millisecond), progress)
			reported = progress
		}
		if len(behind) == 0 && len(all) > 0 {
			return nil
		}
		if !pause(ctx, env.clock, followEvery) {
			if len(all) == 0 {
				behind = []string{"the platform lists no live node"}
			}
			return merry.Wrap(ErrNotInForce, merry.AppendMessage(strings.Join(behind, "; ")))
		}
	}
}

// pause waits and says whether ctx still runs.
func pause(ctx context.Context, clock clockwork.Clock, wait time.Duration) bool {
	select {
	case <-clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func behindNodes(all []standing, version uint64) []string {
	var behind []string
	for _, node := range all {
		switch {
		case node.err != nil:
			behind = append(behind, node.instance.Name+" cannot be reached")
		case node.state.Version < version:
			behind = append(behind, fmt.Sprintf("%s has version %d", node.instance.Name, node.state.Version))
		}
	}
	return behind
}

func (c *StateCommand) run(env environment) error {
	all, err := c.collect(env)
	if err != nil {
		return err
	}
	if c.JSON {
		states := []nodeState{}
		for _, node := range all {
			if node.err == nil {
				states = append(states, node.state)
			}
		}
		return printJSON(env, states)
	}
	if err := printNodes(env, all); err != nil {
		return err
	}
	if err := printEndpoints(env, all); err != nil {
		return err
	}
	return printTroubles(env, all)
}

// collect asks the nodes that the platform lists, or those that were named.
func (c *StateCommand) collect(env environment) ([]standing, error) {
	if len(c.Peers) == 0 {
		if err := c.check(false); err != nil {
			return nil, err
		}
		return c.standings(env)
	}
	var wrong mistakes
	var all []standing
	for _, peer := range c.Peers {
		wrong.address("--peer", peer)
		all = append(all, standing{instance: tracker.Instance{Name: peer, PeerAddress: peer}})
	}
	if err := wrong.err(); err != nil {
		return nil, err
	}
	askAll(env, all)
	return all, nil
}

func printTroubles(env environment, all []standing) error {
	var rows []troubleState
	for _, node := range all {
		rows = append(rows, node.state.Troubles...)
	}
	if len(rows) == 0 {
		return nil
	}
	fmt.Fprintln(env.output)
	return printTable(env, "TROUBLE AT\tMODEL\tSINCE\tWHAT", rows, func(row troubleState) string {
		return fmt.Sprintf("%s\t%s %s\t%s\t%s", row.Endpoint, row.Model, row.Adapter, row.Age, row.Text)
	})
}

func printNodes(env environment, all []standing) error {
	return printTable(env, "NODE\tDATA CENTRE\tVERSION\tNOTE\tCURRENT\tWAITING\tRUNNING\tDUTIES", all, func(node standing) string {
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

// printEndpoints prints the endpoints as the first reachable node of each
// region sees them.
func printEndpoints(env environment, all []standing) error {
	regions := map[string]bool{}
	var rows []endpointState
	for _, node := range all {
		if node.err != nil || regions[node.state.Region] {
			continue
		}
		regions[node.state.Region] = true
		rows = append(rows, node.state.Endpoints...)
	}
	fmt.Fprintln(env.output)
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
