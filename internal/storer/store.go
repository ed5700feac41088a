package storer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"toucanhitch.example/toucanhitch/internal/tracker"
)

// Errors that users of a store can test for.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrConflict reports that the object had another version than the
	// write expected. The write had no effect.
	ErrConflict = merry.Sentinel("object has another version")
	// ErrUnavailable reports that the call certainly had no effect: it was
	// refused, throttled or never sent.
	ErrUnavailable = merry.Sentinel("object API unavailable")
	// ErrUncertain reports that a write may have taken effect, and that
	// reading the object back did not show whether it had.
	ErrUncertain = merry.Sentinel("outcome of the write is unknown")
	// ErrTooLarge reports a value above the platform's limit.
	ErrTooLarge = merry.Sentinel("object too large")
	// ErrUnchanged reports that a watch ended without a change.
	ErrUnchanged = merry.Sentinel("unchanged")
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// ID names an object.
type ID struct {
	Kind string
	Name string
}

// Object is one version of an object.
type Object struct {
	ID
	// Version is set by the platform and grows with every write of an era.
	Version uint64
	// Era is the era in which the object had this version, see sequencer.Position.
	Era uint64
	// WriteID is the UUID of the write that made this version.
	WriteID string
	// Data is the object's content in JSON.
	Data []byte
}

// Store is the object API and the instance list.
type Store interface {
	// Get returns an object, or an Object with the era only and ErrNotFound. Errors:
	// ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, id ID) (Object, error)
	// Put writes data if the object has the version ifVersion, where 0 means
	// that it must not exist. After a lost reply it reads the object back to
	// determine the outcome. Errors: ErrConflict, ErrTooLarge, ErrUnavailable,
	// ErrUncertain.
	Put(ctx context.Context, id ID, ifVersion uint64, data []byte) (Object, error)
	// Delete removes an object if it has the version ifVersion. Deleting an
	// object that does not exist succeeds. Errors: ErrConflict, ErrUnavailable,
	// ErrUncertain.
	Delete(ctx context.Context, id ID, ifVersion uint64) error
	// List returns the objects of a kind whose names have a prefix, without
	// their data. Errors: ErrUnavailable.
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	// Watch waits until the object's version is above after and returns it. After wait it
	// returns an Object with the era only and ErrUnchanged: the object is unchanged only
	// if after is a version of that era. Errors: ErrUnchanged, ErrUnavailable.
	Watch(ctx context.Context, id ID, after uint64, wait time.Duration) (Object, error)
	// Instances waits until the instance list's version is above after and
	// returns it. Versions are ordinals, see sequencer.Position. A list with the version after and no instances means that
	// nothing changed within wait. Errors: ErrUnavailable.
	Instances(ctx context.Context, after uint64, wait time.Duration) (tracker.InstanceList, error)
}
