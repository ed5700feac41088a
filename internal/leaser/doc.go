// Package leaser elects one node for each exclusive task by means of leases in
// the object API.
//
// A holder renews its lease by conditional updates. It counts the validity from
// before it sent a renewal, less a margin for clock drift. A candidate takes
// the lease after it has seen the same version of it, on its own clock, for the
// lease's duration plus the margin. Clocks of different nodes are never
// compared, so only their rates have to agree, within the margin. Every tenure
// has a higher epoch, which fences orders of earlier holders. Lease objects are
// never deleted.
package leaser
