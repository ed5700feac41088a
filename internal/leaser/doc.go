// Package leaser elects one node for each exclusive job through leases in the
// object API.
//
// A holder renews its lease by conditional updates and counts its validity
// from before it sent a renewal, less a margin for clock drift. A candidate
// takes the lease when it has seen one version of it for the whole duration
// plus the margin, on its own clock. Clocks of different nodes are never
// compared, so that only their rates must agree, within the margin. Every
// tenure has a higher epoch, which fences orders of earlier holders. Lease
// objects are never deleted.
package leaser
