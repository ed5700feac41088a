package storer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"toucanhitch.example/toucanhitch/internal/encoder"
	"toucanhitch.example/toucanhitch/internal/sequencer"
	"toucanhitch.example/toucanhitch/internal/tracker"
	"toucanhitch.example/toucanhitch/internal/validator"
)

const (
	// callTimeout is far above the platform's usual response time of
	// milliseconds, and short enough that a lease does not expire because of one
	// connection that stops responding.
	callTimeout = 2 * time.Second
	// watchTimeoutMargin is how much longer than its wait time a watch may take.
	watchTimeoutMargin = time.Second
	// idleTimeout is short enough to close idle connections before a stateful
	// device on the network path drops them.
	idleTimeout = 5 * time.Second
	// maxIdleConnections is above the number of concurrent calls of a node.
	maxIdleConnections = 8
	// eraHeader names the era of the object API, which is 0 until it is restored from an
	// older copy for the first time.
	eraHeader = "Object-Era"
)

// Client is a Store that calls the platform over HTTP.
type Client struct {
	caller Caller
	// Unreadable receives the entries of lists that are skipped.
	Unreadable Unreadable
}

var _ Store = (*Client)(nil)

// New returns a client for the platform at an address ("IP:port") and a
// function that closes its idle connections.
func New(address string, clock clockwork.Clock) (*Client, func()) {
	transport := validator.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxResponseHeaderBytes: encoder.MaxHeadBytes,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdleConnections,
	})
	client := &Client{caller: Caller{Address: address, Clock: clock, Transport: transport, MaxResponseBytes: maxResponseBytes, EraHeader: eraHeader}}
	return client, transport.CloseIdleConnections
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, id ID) (Object, error) {
	response, err := c.caller.Call(ctx, callTimeout, http.MethodGet, objectPath(id), nil)
	if err != nil {
		return Object{}, err
	}
	switch response.Status {
	case http.StatusOK:
		return decodeObject(response)
	case http.StatusNotFound:
		return Object{Era: response.Era}, merry.Wrap(ErrNotFound, merry.AppendMessage(id.String()))
	}
	return Object{}, statusError(response)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, id ID, ifVersion uint64, data []byte) (Object, error) {
	object := Object{ID: id, WriteID: uuid.NewString(), Data: data}
	put := conditionalWrite{object: object, ifVersion: ifVersion}
	written, err := c.put(ctx, put)
	if isUncertain(err) {
		return c.resolvePut(ctx, put)
	}
	return written, err
}

// put sends a write once.
func (c *Client) put(ctx context.Context, put conditionalWrite) (Object, error) {
	response, err := c.caller.Call(ctx, callTimeout, http.MethodPut, objectPath(put.object.ID), put.encode())
	if err != nil {
		return Object{}, err
	}
	switch response.Status {
	case http.StatusOK:
		version, err := encoder.Decode[wireVersion](response.Body)
		if err != nil {
			return Object{}, merry.Wrap(ErrUncertain, merry.AppendMessagef("response to the write: %v", err))
		}
		put.object.Version, put.object.Era = version.Version, response.Era
		return put.object, nil
	case http.StatusConflict:
		return Object{}, merry.Wrap(ErrConflict, merry.AppendMessagef("%s is not at version %d", put.object.ID, put.ifVersion))
	case http.StatusRequestEntityTooLarge:
		return Object{}, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%s: %d bytes", put.object.ID, len(put.object.Data)))
	}
	return Object{}, statusError(response)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, id ID, ifVersion uint64) error {
	err := c.delete(ctx, id, ifVersion)
	if isUncertain(err) {
		return c.resolveDelete(ctx, id, ifVersion)
	}
	return err
}

// delete sends a deletion once.
func (c *Client) delete(ctx context.Context, id ID, ifVersion uint64) error {
	path := fmt.Sprintf("%s?IfVersion=%d", objectPath(id), ifVersion)
	response, err := c.caller.Call(ctx, callTimeout, http.MethodDelete, path, nil)
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusNoContent, http.StatusNotFound:
		return nil
	case http.StatusConflict:
		return merry.Wrap(ErrConflict, merry.AppendMessagef("%s is not at version %d", id, ifVersion))
	}
	return statusError(response)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	path := "/objects/" + kind + "?Prefix=" + url.QueryEscape(prefix)
	response, err := c.caller.Call(ctx, callTimeout, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, statusError(response)
	}
	return c.decodeObjects(response.Body)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, id ID, after uint64, wait time.Duration) (Object, error) {
	path := fmt.Sprintf("%s?After=%d&Wait=%s", objectPath(id), after, wait)
	response, err := c.caller.Call(ctx, wait+watchTimeoutMargin, http.MethodGet, path, nil)
	if err != nil {
		return Object{}, err
	}
	switch response.Status {
	case http.StatusOK:
		return decodeObject(response)
	case http.StatusNotModified:
		return Object{Era: response.Era}, merry.Wrap(ErrUnchanged, merry.AppendMessage(id.String()))
	}
	return Object{}, statusError(response)
}

// Instances implements Store. The list may not have changed since a version of an earlier
// era and yet differ from it, so that it is then read at once.
func (c *Client) Instances(ctx context.Context, after uint64, wait time.Duration) (tracker.InstanceList, error) {
	known := sequencer.PositionAt(after)
	for {
		path := fmt.Sprintf("/instances?After=%d&Wait=%s", known.Revision, wait)
		response, err := c.caller.Call(ctx, wait+watchTimeoutMargin, http.MethodGet, path, nil)
		switch {
		case err != nil:
			return tracker.InstanceList{}, err
		case response.Status == http.StatusOK:
			return c.decodeInstances(response)
		case response.Status != http.StatusNotModified:
			return tracker.InstanceList{}, statusError(response)
		case response.Era <= known.Era:
			return tracker.InstanceList{Version: after}, nil
		}
		known = sequencer.Position{Era: response.Era}
	}
}

// String returns the ID as "Kind/Name".
func (id ID) String() string { return id.Kind + "/" + id.Name }

func objectPath(id ID) string {
	return "/objects/" + url.PathEscape(id.Kind) + "/" + url.PathEscape(id.Name)
}
