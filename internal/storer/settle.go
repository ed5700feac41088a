package storer

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
)

// resolvePut finds out what became of a write without a reply. The write may
// still be on its way, so an object at the old version proves nothing; the
// same write is then sent again. Of two copies only one can succeed, because
// both are conditional on the same version.
func (c *Client) resolvePut(ctx context.Context, put write) (Object, error) {
	current, err := c.readBack(ctx, put.object.ID)
	if err != nil {
		return Object{}, err
	}
	switch {
	case current.WriteID == put.object.WriteID:
		return current, nil
	case current.Version != put.ifVersion:
		return Object{}, uncertainError(put.object.ID, "the object was written by another since")
	}
	written, err := c.put(ctx, put)
	if err == nil {
		return written, nil
	}
	current, err = c.readBack(ctx, put.object.ID)
	if err == nil && current.WriteID == put.object.WriteID {
		return current, nil
	}
	return Object{}, uncertainError(put.object.ID, "the object was read back and written again")
}

// resolveDelete finds out what became of a deletion without a reply.
func (c *Client) resolveDelete(ctx context.Context, id ID, ifVersion uint64) error {
	current, err := c.readBack(ctx, id)
	switch {
	case err != nil:
		return err
	case current.Version == 0:
		return nil
	case current.Version != ifVersion:
		return uncertainError(id, "the object was written by another since")
	}
	if err := c.delete(ctx, id, ifVersion); err == nil || errors.Is(err, ErrConflict) {
		return err
	}
	return uncertainError(id, "the deletion was sent twice")
}

// readBack returns the object, with version 0 if it does not exist.
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
