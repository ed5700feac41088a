package storer

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
)

// settlePut finds out what became of a write without a reply. The write may
// still be on its way, so an object at the old version proves nothing; the
// same write is then sent again. Of two copies only one can succeed, because
// both are conditional on the same version.
func (c *Client) settlePut(ctx context.Context, put write) (Object, error) {
	found, err := c.readBack(ctx, put.object.ID)
	if err != nil {
		return Object{}, err
	}
	switch {
	case found.WriteID == put.object.WriteID:
		return found, nil
	case found.Version != put.ifVersion:
		return Object{}, uncertain(put.object.ID, "the object was written by another since")
	}
	written, err := c.put(ctx, put)
	if err == nil {
		return written, nil
	}
	found, err = c.readBack(ctx, put.object.ID)
	if err == nil && found.WriteID == put.object.WriteID {
		return found, nil
	}
	return Object{}, uncertain(put.object.ID, "the object was read back and written again")
}

// settleDelete finds out what became of a deletion without a reply.
func (c *Client) settleDelete(ctx context.Context, id ID, ifVersion uint64) error {
	found, err := c.readBack(ctx, id)
	switch {
	case err != nil:
		return err
	case found.Version == 0:
		return nil
	case found.Version != ifVersion:
		return uncertain(id, "the object was written by another since")
	}
	if err := c.delete(ctx, id, ifVersion); err == nil || errors.Is(err, ErrConflict) {
		return err
	}
	return uncertain(id, "the deletion was sent twice")
}

// readBack returns the object, with version 0 if it does not exist.
func (c *Client) readBack(ctx context.Context, id ID) (Object, error) {
	found, err := c.Get(ctx, id)
	if err == nil || errors.Is(err, ErrNotFound) {
		return found, nil
	}
	return Object{}, uncertain(id, err.Error())
}

func uncertain(id ID, reason string) error {
	return merry.Wrap(ErrUncertain, merry.AppendMessagef("%s: %s", id, reason))
}
