// Package benchmarker measures the system: it drives controllers in virtual
// time or the whole node over loopback, and prints tables.
package benchmarker
