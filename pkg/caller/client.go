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
	"toucanhitch.example/toucanhitch/internal/validator"
)

// Errors that users of the package can test for.
var (
	// ErrSettings reports invalid settings.
	ErrSettings = merry.Sentinel("invalid settings")
	// ErrNoAddress reports that no known node returned an address.
	ErrNoAddress = merry.Sentinel("no known node returned an address")
	// ErrReadTimeout reports that a node sent no data within the time allowed.
	ErrReadTimeout = merry.Sentinel("the node sent no data within the time allowed")
)

// Settings are the settings of a client. Durations that are 0 get their
// defaults.
type Settings struct {
	// Nodes are the caller addresses "IP:port" of some nodes, at least one.
	Nodes []string
	// Key is the workspace's key; it may be empty for open routes.
	Key string
	// CallerID distinguishes the callers of one machine, so that they are
	// spread over the nodes.
	CallerID string
	Clock    clockwork.Clock
	// LookupTimeout limits a query for addresses and the opening of a
	// connection.
	LookupTimeout time.Duration
	// ReadTimeout limits the time without data in a response body or stream.
	ReadTimeout time.Duration
	// ResponseTimeout limits the time until a response begins, for requests
	// without a deadline.
	ResponseTimeout time.Duration
}

const (
	defaultLookupTimeout = time.Second
	// defaultReadTimeout is more than twice the interval at which nodes send
	// keep-alive comments in a stream.
	defaultReadTimeout = 12 * time.Second
	// defaultResponseTimeout is longer than the deadline of assured requests.
	defaultResponseTimeout = 90 * time.Second
	// idleConnTimeout is shorter than the nodes' own timeout for idle
	// connections, so that the client closes them first.
	idleConnTimeout = 5 * time.Second

	directoryQueueSize = 1024
	maxResponseBytes   = 16 << 20
)

// Client sends requests. It is safe for concurrent use.
type Client struct {
	settings  Settings
	task      *runner.Task[DirectoryMessage, DirectoryEffect]
	transport validator.Transport
	// singleUse opens a connection for each request. It is used for calls that
	// must not be sent twice: net/http never resends a request by itself if its
	// connection was not used before.
	singleUse validator.Transport
}

// New returns a client and a function that stops it.
func New(settings Settings) (*Client, func(), error) {
	if len(settings.Nodes) == 0 {
		return nil, nil, merry.Wrap(ErrSettings, merry.AppendMessage("Nodes is empty; want at least one IP:port"))
	}
	if settings.Clock == nil {
		settings.Clock = clockwork.NewRealClock()
	}
	settings.LookupTimeout = orDefault(settings.LookupTimeout, defaultLookupTimeout)
	settings.ReadTimeout = orDefault(settings.ReadTimeout, defaultReadTimeout)
	settings.ResponseTimeout = orDefault(settings.ResponseTimeout, defaultResponseTimeout)
	client := &Client{settings: settings, transport: newTransport(settings), singleUse: newTransport(settings)}
	client.singleUse.DisableKeepAlives = true
	client.task = runner.New(runner.Settings[DirectoryMessage, DirectoryEffect]{
		Name:       "directory",
		Clock:      settings.Clock,
		Controller: NewDirectory(settings.Nodes, rand.IntN(len(settings.Nodes))),
		Tick:       DirectoryTick{},
		Perform:    client.perform,
		InboxSize:  directoryQueueSize,
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

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

func newTransport(settings Settings) validator.Transport {
	return validator.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: settings.LookupTimeout}).DialContext,
		DisableCompression:     true,
		MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		IdleConnTimeout:        idleConnTimeout,
	})
}

// perform executes the directory's effects.
func (c *Client) perform(handle runner.Handle[DirectoryMessage], effect DirectoryEffect) {
	switch effect := effect.(type) {
	case QueryNode:
		handle.Start(func(ctx context.Context) DirectoryMessage { return c.lookupAddresses(ctx, effect.Node) })
	case AddressReply:
		handle.Reply(effect.Call, effect)
	default:
		panic(fmt.Sprintf("unknown effect %T", effect))
	}
}

type addressesResponse struct {
	Addresses []struct {
		Address    string
		DataCentre string
	}
	CacheFor string
}

// lookupAddresses queries a node for addresses. Each query opens a connection of
// its own: reusing connections that no longer deliver data would make every
// node appear to have failed.
func (c *Client) lookupAddresses(ctx context.Context, node string) DirectoryMessage {
	ctx, cancel := clockwork.WithTimeout(ctx, c.settings.Clock, c.settings.LookupTimeout)
	defer cancel()
	request := (&http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http", Host: node, Path: "/v1/address",
			RawQuery: url.Values{"Caller": {c.settings.CallerID}}.Encode(),
		},
		Header: http.Header{},
	}).WithContext(ctx)
	response, err := c.singleUse.RoundTrip(request)
	if err != nil {
		return NodeFailed{Node: node}
	}
	defer response.Body.Close()
	decoded, err := encoder.DecodeFrom[addressesResponse](response.Body, maxResponseBytes)
	lifetime, lifetimeErr := time.ParseDuration(decoded.CacheFor)
	if response.StatusCode != http.StatusOK || err != nil || lifetimeErr != nil || len(decoded.Addresses) == 0 {
		return NodeFailed{Node: node}
	}
	addresses := AddressesFound{CacheFor: lifetime}
	for _, address := range decoded.Addresses {
		addresses.Addresses = append(addresses.Addresses, address.Address)
	}
	return addresses
}

// request is a request in progress, which may take several attempts.
type request struct {
	idempotencyKey string
	idempotent     bool
	avoid          []string
	// attempt sends the request once, to an address.
	attempt func(ctx context.Context, address string) error
}

// doWithRetries sends a request until it succeeds or must not be retried. The
// idempotency key stays the same for all attempts.
func (c *Client) doWithRetries(ctx context.Context, request request) error {
	var lastErr error
	for attempts := 1; ; attempts++ {
		chosen, err := c.findAddress(ctx, request, attempts > 1)
		switch {
		case lastErr != nil && (err != nil || chosen.RetryDenied):
			return lastErr
		case err != nil:
			return Failure{Run: NotRun, IdempotencyKey: request.idempotencyKey, Temporary: true, Err: err}
		}
		err = request.attempt(ctx, chosen.Address)
		var failure Failure
		if err == nil || !errors.As(err, &failure) {
			return err
		}
		failure.IdempotencyKey = request.idempotencyKey
		lastErr = failure
		request.avoid = append(request.avoid, chosen.Address)
		delay, retry := retryDelay(failure, request.idempotent, attempts)
		if !retry || !c.waitForRetry(ctx, delay) {
			return lastErr
		}
	}
}

// waitForRetry waits for the delay before a retry. It returns false if ctx ends
// first.
func (c *Client) waitForRetry(ctx context.Context, delay time.Duration) bool {
	select {
	case <-c.settings.Clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) findAddress(ctx context.Context, request request, retry bool) (AddressReply, error) {
	chosen, err := runner.Ask[AddressReply](ctx, c.task,
		func(call runner.Call) DirectoryMessage {
			return FindAddress{Call: call, Avoid: request.avoid, Retry: retry}
		},
		func(call runner.Call) DirectoryMessage { return CancelFindAddress{Call: call} })
	switch {
	case err != nil:
		return chosen, err
	case chosen.Address == "" && !chosen.RetryDenied:
		return chosen, merry.Wrap(ErrNoAddress)
	}
	return chosen, nil
}

// keyOrNew returns key, or a new idempotency key if it is empty.
func keyOrNew(key string) string {
	if key != "" {
		return key
	}
	return uuid.NewString()
}
