// Package benchmarker measures the system and prints the results as tables. It
// drives controllers in virtual time, or runs whole nodes over loopback
// connections.
package benchmarker
