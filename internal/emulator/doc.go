// Package emulator implements stand-ins for the external systems: the platform
// (object API, instance list, weight store), model engines and plain services.
//
// Stand-ins implement the published HTTP protocols and inject faults on
// request, so that tests and benchmarks can exercise the failures of the real
// systems without running them. PUT /faults changes the faults of a running
// stand-in.
package emulator
