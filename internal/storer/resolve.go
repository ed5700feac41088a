package storer

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// resolvePut determines the outcome of a write that got no reply. The write may
// still be in transit, so that an object at the old version does not prove a
// failure. In this case the same write is sent again. Only one of the two copies
// can succeed, because both are conditional on the same version.
func (c *Client) resolvePut(ctx context.Context, put conditionalWrite) (Object, error) {
	current, err := c.readBack(ctx, put.object.ID)
	if err != nil {
		return Object{}, err
	}
	switch {
	case current.WriteID == put.object.WriteID:
		return current, nil
	case current.Version != put.ifVersion:
		return Object{}, uncertainError(put.object.ID, fmt.Sprintf("another writer has changed the object: version %d instead of %d", current.Version, put.ifVersion))
	}
	written, err := c.put(ctx, put)
	if err == nil {
		return written, nil
	}
	current, err = c.readBack(ctx, put.object.ID)
	if err == nil && current.WriteID == put.object.WriteID {
		return current, nil
	}
	return Object{}, uncertainError(put.object.ID, "no result after reading the object back and sending the write twice")
}

// resolveDelete determines the outcome of a deletion that got no reply.
func (c *Client) resolveDelete(ctx context.Context, id ID, ifVersion uint64) error {
	current, err := c.readBack(ctx, id)
	switch {
	case err != nil:
		return err
	case current.Version == 0:
		return nil
	case current.Version != ifVersion:
		return uncertainError(id, fmt.Sprintf("another writer has changed the object: version %d instead of %d", current.Version, ifVersion))
	}
	if err := c.delete(ctx, id, ifVersion); err == nil || errors.Is(err, ErrConflict) {
		return err
	}
	return uncertainError(id, "no result after sending the deletion twice")
}

// readBack returns the object, or one with version 0 if it does not exist.
func (c *Client) readBack(ctx context.Context, id ID) (Object, error) {
	object, err := c.Get(ctx, id)
	if err == nil || errors.Is(err, ErrNotFound) {
		return object, nil
	}
	return Object{}, uncertainError(id, err.Error())
}

func uncertainError(id ID, reason string) error {
	return merry.Wrap(ErrUncertain, merry.AppendMessagef("%s: %s", id, reason))
}
