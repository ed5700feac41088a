// Package acceptor accepts connections of untrusted clients and bounds what they take of
// the process.
//
// net/http spends memory on a head before it bounds it: a header takes over 100 bytes
// however short its line is, and 700 heads within the limits took 315 MB. Therefore a
// reader on the connection, in front of net/http, bounds the bytes and the time of each
// head, and takes the memory that a head needs from a budget of all connections before
// net/http sees more of it.
//
// Each connection enforces its own bounds, so that reading never waits for a decision. A
// controller decides only what concerns all connections: which one is closed when
// descriptors or memory run short, when the node is full, and what is logged.
package acceptor
