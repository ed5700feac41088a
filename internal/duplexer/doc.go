// Package duplexer is for connections on which one goroutine writes a request while another
// reads the answer.
//
// The kernel reports a reset once, to a read or to a write, and every later read returns
// io.EOF. If a write has taken the reset, an answer that was cut off reads like one that ended
// with its connection, which RFC 9112, section 6.3, makes complete.
package duplexer
