package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/runner"
)

// Errors that users of the package can test for.
var (
	// ErrSettings reports settings with which a client cannot work.
	ErrSettings = merry.Sentinel("invalid settings")
	// ErrNoAddress reports that no known node answered.
	ErrNoAddress = merry.Sentinel("no known node answered")
	// ErrSilent reports a connection that stopped delivering data.
	ErrSilent = merry.Sentinel("the node fell silent")
)

// Settings describes a client. Durations that are 0 get their defaults.
type Settings struct {
	// Nodes are caller addresses "IP:port" of some nodes, at least one.
	Nodes []string
	// Key is the workspace's key; empty for open routes.
	Key string
	// Hint spreads the callers of one machine over the nodes.
	Hint  string
	Clock clockwork.Clock
	// Ask bounds a question for addresses and the opening of a connection.
	Ask time.Duration
	// Silence is the longest time without data in a stream.
	Silence time.Duration
	// Answer is the longest time until an answer without a stream begins.
	Answer time.Duration
}

const (
	defaultAsk = time.Second
	// defaultSilence is above twice the nodes' interval of comment lines.
	defaultSilence = 12 * time.Second
	// defaultAnswer is above the deadline of assured requests.
	defaultAnswer = 90 * time.Second
	// callerIdle is below the nodes' time for idle connections.
	callerIdle = 5 * time.Second

	directoryInbox = 1024
	maxAnswerBytes = 16 << 20
)

// Client sends requests. It can be used by many goroutines at once.
type Client struct {
	settings  Settings
	task      *runner.Task[DirectoryMessage, DirectoryEffect]
	transport *http.Transport
	// once serves calls that must not be sent twice: net/http never sends a
	// request again by itself on a connection that was not used before.
	once *http.Transport
}

// New returns a client and a function that stops it.
func New(settings Settings) (*Client, func(), error) {
	if len(settings.Nodes) == 0 {
		return nil, nil, merry.Wrap(ErrSettings, merry.AppendMessage("Nodes is empty; want at least one IP:port"))
	}
	if settings.Clock == nil {
		settings.Clock = clockwork.NewRealClock()
	}
	settings.Ask = orDefault(settings.Ask, defaultAsk)
	settings.Silence = orDefault(settings.Silence, defaultSilence)
	settings.Answer = orDefault(settings.Answer, defaultAnswer)
	client := &Client{settings: settings, transport: newTransport(settings), once: newTransport(settings)}
	client.once.DisableKeepAlives = true
	client.task = runner.New(runner.Settings[DirectoryMessage, DirectoryEffect]{
		Name:       "directory",
		Clock:      settings.Clock,
		Controller: NewDirectory(settings.Nodes, rand.IntN(len(settings.Nodes))),
		Tick:       DirectoryTick{},
		Perform:    client.perform,
		InboxSize:  directoryInbox,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = client.task.Run(ctx)
	}()
	return client, func() {
		cancel()
		<-ended
		client.transport.CloseIdleConnections()
	}, nil
}

func orDefault(value, standard time.Duration) time.Duration {
	if value == 0 {
		return standard
	}
	return value
}

func newTransport(settings Settings) *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: settings.Ask}).DialContext,
		DisableCompression: true,
		IdleConnTimeout:    callerIdle,
	}
}

// perform carries out the directory's effects.
func (c *Client) perform(handle runner.Handle[DirectoryMessage], effect DirectoryEffect) {
	switch effect := effect.(type) {
	case AskNode:
		handle.Start(func(ctx context.Context) DirectoryMessage { return c.ask(ctx, effect.Node) })
	case UseAddress:
		handle.Reply(effect.Call, effect)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

type addressesWire struct {
	Addresses []struct {
		Address    string
		DataCentre string
	}
	CacheFor string
}

// ask asks a node for addresses, on a connection of its own, since a silent
// one would make every node look dead.
func (c *Client) ask(ctx context.Context, node string) DirectoryMessage {
	ctx, cancel := clockwork.WithTimeout(ctx, c.settings.Clock, c.settings.Ask)
	defer cancel()
	request := (&http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http", Host: node, Path: "/v1/address",
			RawQuery: url.Values{"Caller": {c.settings.Hint}}.Encode(),
		},
		Header: http.Header{},
	}).WithContext(ctx)
	response, err := c.once.RoundTrip(request)
	if err != nil {
		return NodeFailed{Node: node}
	}
	defer response.Body.Close()
	wire, err := encoder.DecodeFrom[addressesWire](response.Body, maxAnswerBytes)
	lifetime, lifetimeErr := time.ParseDuration(wire.CacheFor)
	if response.StatusCode != http.StatusOK || err != nil || lifetimeErr != nil || len(wire.Addresses) == 0 {
		return NodeFailed{Node: node}
	}
	found := AddressesFound{CacheFor: lifetime}
	for _, address := range wire.Addresses {
		found.Addresses = append(found.Addresses, address.Address)
	}
	return found
}

// request is a request in progress, over its attempts.
type request struct {
	identity   string
	idempotent bool
	avoid      []string
	// send makes one attempt at an address.
	send func(ctx context.Context, address string) error
}

// do sends a request until it is answered or may not be repeated. The
// identity stays the same.
func (c *Client) do(ctx context.Context, request request) error {
	var last error
	for attempts := 1; ; attempts++ {
		use, err := c.find(ctx, request, attempts > 1)
		switch {
		case last != nil && (err != nil || use.Denied):
			return last
		case err != nil:
			return Failure{Run: NotRun, Identity: request.identity, Temporary: true, Err: err}
		}
		err = request.send(ctx, use.Address)
		var failure Failure
		if err == nil || !errors.As(err, &failure) {
			return err
		}
		failure.Identity = request.identity
		last = failure
		request.avoid = append(request.avoid, use.Address)
		wait, again := mayRepeat(failure, request.idempotent, attempts)
		if !again || !c.pause(ctx, wait) {
			return last
		}
	}
}

// pause waits before a repetition, and says whether the caller still wants it.
func (c *Client) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-c.settings.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) find(ctx context.Context, request request, again bool) (UseAddress, error) {
	use, err := runner.Ask[UseAddress](ctx, c.task,
		func(call runner.Call) DirectoryMessage {
			return FindAddress{Call: call, Avoid: request.avoid, Again: again}
		},
		func(call runner.Call) DirectoryMessage { return ForgetCall{Call: call} })
	switch {
	case err != nil:
		return use, err
	case use.Address == "" && !use.Denied:
		return use, merry.Wrap(ErrNoAddress)
	}
	return use, nil
}

func newIdentity(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}
