// Package resumer knows at which software version a stream may go on. What two versions
// of a service generate does not fit together, and replicas do not check it.
//
// A node remembers the version of each stream that it has begun. While a service may have
// streams of more than one version, it also sends this to two other nodes, the keepers of
// the stream, whom a node asks to which a caller has taken the stream to go on. Where there
// was only one version for as long as streams last, nothing is sent or asked.
//
// The holder of the placement lease publishes which versions there may be, and assigns the
// streams of each model to them, so that any node can work out the origin of a stream whose
// nodes have ended. It stores both in the lease, for a fleet of which all processes have ended
// at once. A new version begins streams, and an assignment comes into force, only after every
// node has learned of it or knows that its view is old.
package resumer
